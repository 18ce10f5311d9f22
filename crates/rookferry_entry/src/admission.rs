//! Places streams on chains of engines, or has them wait for their turn.
//!
//! While nobody waits and a chain has room, a stream is placed without a lock.
//! Otherwise it joins the queue of its pool and model, which shares turns
//! among client accounts, and is placed when a stream ends or a load report
//! shows room. Whoever can't be served in time is told at once.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use arc_swap::ArcSwap;
use rookferry_core::Candidate;
use rookferry_core::ChainRequest;
use rookferry_core::ChosenChain;
use rookferry_core::DrainRate;
use rookferry_core::EngineStats;
use rookferry_core::FairQueue;
use rookferry_core::Fleet;
use rookferry_core::RequestSignature;
use rookferry_core::Stage;
use rookferry_net::BackoffTable;
use rookferry_net::clock;
use rookferry_wire::AccountId;
use rookferry_wire::EngineId;
use rookferry_wire::ReasonCode;
use tokio::sync::Notify;
use tokio::sync::oneshot;

use crate::snapshot::AccountPermit;
use crate::snapshot::Snapshot;

/// Places tried in one go when room appears.
const MAX_PLACED_AT_ONCE: usize = 64;

/// What a stream needs.
#[derive(Clone, Debug)]
pub(crate) struct StreamNeed {
    /// What tells that it is the same call when it comes again.
    pub(crate) signature: RequestSignature,
    /// The pool.
    pub(crate) pool: String,
    /// The model.
    pub(crate) model: String,
    /// The account.
    pub(crate) account: AccountId,
    /// The account's weight, raised by the route's priority.
    pub(crate) weight: f64,
    /// Expected work, in tokens.
    pub(crate) cost: f64,
    /// Differs from request to request.
    pub(crate) seed: u64,
    /// Engines that likely hold the prompt's prefix.
    pub(crate) cached: Vec<EngineId>,
    /// When it must have had its turn.
    pub(crate) turn_by: Instant,
    /// When the caller's time is over.
    pub(crate) deadline: Instant,
}

/// A stream's place on its engines until it is dropped.
pub(crate) struct Placement {
    /// The chain.
    pub(crate) stages: Vec<Stage>,
    /// Engines that were considered.
    pub(crate) candidates: Vec<Candidate>,
    /// Counts the stream on its engines.
    pub(crate) slots: StreamSlots,
}

/// Why a stream got no place.
#[derive(Debug)]
pub(crate) struct NoPlace {
    pub(crate) reason: ReasonCode,
    pub(crate) detail: String,
    pub(crate) retry_after: Duration,
    pub(crate) candidates: Vec<Candidate>,
}

/// Counts a stream on each of its engines.
pub(crate) struct StreamSlots {
    slots: Vec<(EngineId, Arc<EngineStats>)>,
    admission: Arc<Admission>,
    permit: Option<AccountPermit>,
}

type LaneKey = (String, String);

struct Waiter {
    need: StreamNeed,
    answer: oneshot::Sender<Result<Placement, NoPlace>>,
}

struct Lane {
    queue: FairQueue<Waiter>,
    drain: DrainRate,
}

/// The queues of all pools and models.
pub(crate) struct Admission {
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Backoffs that engines asked for.
    backoffs: Arc<BackoffTable>,
    waiting: AtomicUsize,
    /// Told when someone begins to wait.
    queued: Notify,
    lanes: Mutex<HashMap<LaneKey, Lane>>,
}

impl Admission {
    pub(crate) fn new(snapshot: Arc<ArcSwap<Snapshot>>, backoffs: Arc<BackoffTable>) -> Arc<Self> {
        Arc::new(Self {
            snapshot,
            backoffs,
            waiting: AtomicUsize::new(0),
            queued: Notify::new(),
            lanes: Mutex::default(),
        })
    }

    /// Requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Returns at once while someone waits, otherwise when someone begins to.
    pub(crate) async fn someone_waits(&self) {
        while self.waiting() == 0 {
            self.queued.notified().await;
        }
    }

    /// Places a stream, waiting for its turn if need be.
    pub(crate) async fn place(self: &Arc<Self>, need: StreamNeed) -> Result<Placement, NoPlace> {
        if self.waiting() == 0 {
            match self.try_place(&need) {
                Ok(placement) => return Ok(placement),
                Err(chosen) if chosen.is_full => {}
                Err(chosen) => return Err(self.no_chain(&need, chosen)),
            }
        }
        let waiting = self.enqueue(need)?;
        self.pump();
        waiting.await.unwrap_or_else(|_| {
            Err(NoPlace {
                reason: ReasonCode::Overloaded,
                detail: "the queue was closed".to_owned(),
                retry_after: Duration::from_secs(1),
                candidates: Vec::new(),
            })
        })
    }

    /// Places those who wait, as far as there is room, and turns away those
    /// whose time is over.
    pub(crate) fn pump(self: &Arc<Self>) {
        if self.waiting() == 0 {
            return;
        }
        let now = clock::now();
        let mut told = Vec::new();
        {
            let mut lanes = self.lock();
            for lane in lanes.values_mut() {
                self.pump_lane(now, lane, &mut told);
            }
            let waiting = lanes.values().map(|lane| lane.queue.len()).sum();
            self.waiting.store(waiting, Ordering::Relaxed);
        }
        for (waiter, result) in told {
            // A caller that went away drops its placement, which frees it.
            let _ = waiter.answer.send(result);
        }
    }

    fn pump_lane(
        self: &Arc<Self>,
        now: Instant,
        lane: &mut Lane,
        told: &mut Vec<(Waiter, Result<Placement, NoPlace>)>,
    ) {
        let over = lane
            .queue
            .remove_if(|waiter| waiter.need.turn_by <= now || waiter.answer.is_closed());
        for entry in over {
            let no_place = overloaded(lane, now, "its time for waiting passed");
            told.push((entry.item, Err(no_place)));
        }
        for _ in 0..MAX_PLACED_AT_ONCE {
            let Some(next) = lane.queue.peek() else {
                return;
            };
            let result = match self.try_place(&next.need) {
                Ok(placement) => Ok(placement),
                Err(chosen) if chosen.is_full => return,
                Err(chosen) => Err(self.no_chain(&next.need, chosen)),
            };
            if let Some(entry) = lane.queue.pop() {
                lane.drain.record_dequeue(now);
                told.push((entry.item, result));
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        need: StreamNeed,
    ) -> Result<oneshot::Receiver<Result<Placement, NoPlace>>, NoPlace> {
        let now = clock::now();
        let limit = self.snapshot.load().table.config().policy.queue_limit;
        let (answer, waiting) = oneshot::channel();
        let key = (need.pool.clone(), need.model.clone());
        let mut lanes = self.lock();
        let lane = lanes.entry(key).or_insert_with(|| Lane {
            queue: FairQueue::new(limit),
            drain: DrainRate::new(),
        });
        lane.queue.set_limit(limit);
        let wait = lane.drain.expected_wait(now, lane.queue.len());
        if wait.is_some_and(|wait| now + wait > need.turn_by) {
            return Err(overloaded(
                lane,
                now,
                "the wait would pass its time for waiting",
            ));
        }
        let pushed = lane.queue.push(
            need.account.clone(),
            need.weight,
            need.cost,
            Waiter { need, answer },
        );
        if let Some(evicted) = pushed.evicted {
            let no_place = overloaded(
                lane,
                now,
                "the queue is full, and the account is furthest over its share",
            );
            let _ = evicted.item.answer.send(Err(no_place));
        }
        let waiting_count = lanes.values().map(|lane| lane.queue.len()).sum();
        self.waiting.store(waiting_count, Ordering::Relaxed);
        self.queued.notify_one();
        Ok(waiting)
    }

    /// Engines to back off from now.
    pub(crate) fn backed_off(&self, snapshot: &Snapshot) -> Vec<(EngineId, Duration)> {
        let engines = snapshot.fleet.engines().iter();
        let engines = engines.map(|engine| (&engine.info.engine, engine.addr));
        let waiting = self.backoffs.backed_off(engines).into_iter();
        waiting
            .map(|(engine, left)| (engine.clone(), left))
            .collect()
    }

    /// The best chain without some engines.
    fn choose(snapshot: &Snapshot, need: &StreamNeed, excluded: &[EngineId]) -> ChosenChain {
        let Some(graph) = snapshot.fleet.graph(&need.pool, &need.model) else {
            return ChosenChain::default();
        };
        let request = ChainRequest {
            layers: graph.all_layers(),
            excluded,
            cached: &need.cached,
            seed: need.seed,
            ignores_limit: false,
        };
        let policy = &snapshot.table.config().policy;
        let engines = snapshot.fleet.engines();
        snapshot.chooser.choose(policy, graph, engines, &request)
    }

    /// Why there is no chain, and when to come back: if engines that are backed
    /// off from would make one, when the first such backoff ends.
    fn no_chain(&self, need: &StreamNeed, chosen: ChosenChain) -> NoPlace {
        let snapshot = self.snapshot.load();
        let waiting = self.backed_off(&snapshot);
        let names: Vec<EngineId> = waiting.iter().map(|(engine, _)| engine.clone()).collect();
        let is_chain_without = |later: &[EngineId]| {
            let chosen = Self::choose(&snapshot, need, later);
            chosen.is_full || !chosen.stages.is_empty()
        };
        // With the times in order, a chain that is there stays there.
        let ends: Vec<usize> = (1..=names.len()).collect();
        let first = ends.partition_point(|end| !is_chain_without(&names[*end..]));
        let Some((_, left)) = waiting.get(first) else {
            return no_chain(need, chosen);
        };
        NoPlace {
            reason: ReasonCode::Overloaded,
            detail: "engines asked for a backoff; come back when it ends".to_owned(),
            retry_after: *left,
            candidates: chosen.candidates,
        }
    }

    fn try_place(self: &Arc<Self>, need: &StreamNeed) -> Result<Placement, ChosenChain> {
        let snapshot = self.snapshot.load();
        let waiting = self.backed_off(&snapshot).into_iter();
        let excluded: Vec<EngineId> = waiting.map(|(engine, _)| engine).collect();
        let chosen = Self::choose(&snapshot, need, &excluded);
        if chosen.stages.is_empty() {
            return Err(chosen);
        }
        let mut slots = StreamSlots {
            slots: Vec::new(),
            admission: self.clone(),
            permit: None,
        };
        slots.add(&snapshot.fleet, &chosen.stages);
        Ok(Placement {
            stages: chosen.stages,
            candidates: chosen.candidates,
            slots,
        })
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<LaneKey, Lane>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamSlots {
    /// Counts the stream for its account as long as it has its place.
    pub(crate) fn hold(&mut self, permit: AccountPermit) {
        self.permit = Some(permit);
    }

    /// Counts the stream on further engines.
    pub(crate) fn add(&mut self, fleet: &Fleet, stages: &[Stage]) {
        for stage in stages {
            let Some(engine) = fleet.engine(&stage.engine) else {
                continue;
            };
            engine.stats.record_stream_start(clock::now());
            self.slots
                .push((stage.engine.clone(), engine.stats.clone()));
        }
    }

    /// Takes the stream off an engine.
    pub(crate) fn remove(&mut self, engine: &str) {
        self.slots.retain(|(name, stats)| {
            let is_kept = **name != *engine;
            if !is_kept {
                stats.record_stream_end(clock::now());
            }
            is_kept
        });
    }

    /// Learned figures of one of the engines.
    pub(crate) fn stats(&self, engine: &str) -> Option<&Arc<EngineStats>> {
        let slot = self.slots.iter().find(|(name, _)| **name == *engine);
        slot.map(|(_, stats)| stats)
    }
}

impl Drop for StreamSlots {
    fn drop(&mut self) {
        for (_, stats) in self.slots.drain(..) {
            stats.record_stream_end(clock::now());
        }
        self.permit = None;
        self.admission.pump();
    }
}

fn overloaded(lane: &Lane, now: Instant, detail: &str) -> NoPlace {
    NoPlace {
        reason: ReasonCode::Overloaded,
        detail: format!("{detail}; {} requests wait", lane.queue.len()),
        retry_after: lane.drain.retry_after(now, lane.queue.len()),
        candidates: Vec::new(),
    }
}

fn no_chain(need: &StreamNeed, chosen: ChosenChain) -> NoPlace {
    NoPlace {
        reason: ReasonCode::NoChain,
        detail: format!(
            "no live engines of pool {:?} cover all layers of model {:?}",
            need.pool, need.model
        ),
        retry_after: Duration::from_secs(1),
        candidates: chosen.candidates,
    }
}
