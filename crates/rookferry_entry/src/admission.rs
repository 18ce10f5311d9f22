//! Admission control: assigns each stream to a chain of engines, or queues it.
//!
//! While no request is queued and a chain has free slots, a stream is placed
//! without taking a lock. Otherwise it joins the queue of its pool and model,
//! which is shared fairly among client accounts. Queues are served when a stream
//! ends, when an engine's load has been polled, and at a fixed interval. A
//! request that can't be placed before its queueing deadline is refused at once,
//! with the time after which a retry makes sense.

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

/// Most requests taken from one queue per pass.
const MAX_PLACED_AT_ONCE: usize = 64;

/// Requirements of a stream on its engines and its queueing time.
#[derive(Clone, Debug)]
pub(crate) struct StreamNeed {
    /// Identifies retries of the same call.
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
    /// Seed of the choice among chains, different for each request.
    pub(crate) seed: u64,
    /// Engines that likely hold the prompt's prefix.
    pub(crate) cached: Vec<EngineId>,
    /// Latest time to leave the queue.
    pub(crate) turn_by: Instant,
    /// Deadline of the whole request.
    pub(crate) deadline: Instant,
}

/// A stream's slots on the engines of its chain, released on drop.
pub(crate) struct Placement {
    /// Stages of the chain, in layer order.
    pub(crate) stages: Vec<Stage>,
    /// Engines considered, for the decision record.
    pub(crate) candidates: Vec<Candidate>,
    /// Counts the stream on its engines.
    pub(crate) slots: StreamSlots,
}

/// Why a stream was not placed.
#[derive(Debug)]
pub(crate) struct NoPlace {
    pub(crate) reason: ReasonCode,
    pub(crate) detail: String,
    pub(crate) retry_after: Duration,
    pub(crate) candidates: Vec<Candidate>,
}

/// Counts a stream on each of its engines, and for its account, until dropped.
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

/// The admission queues of all pools and models.
pub(crate) struct Admission {
    snapshot: Arc<ArcSwap<Snapshot>>,
    /// Backoffs requested by engines.
    backoffs: Arc<BackoffTable>,
    /// Number of queued requests.
    waiting: AtomicUsize,
    /// Notified when a request is queued.
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

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits until at least one request is queued.
    pub(crate) async fn someone_waits(&self) {
        while self.waiting() == 0 {
            self.queued.notified().await;
        }
    }

    /// Places a stream, queueing it while its chains are full.
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
                detail: "the admission queue was closed".to_owned(),
                retry_after: Duration::from_secs(1),
                candidates: Vec::new(),
            })
        })
    }

    /// Places queued streams while there are free slots, and refuses those past
    /// their queueing deadline.
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
            // If the caller has disconnected, the placement is dropped, which
            // releases its slots.
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
            let no_place = overloaded(lane, now, "the queueing deadline passed");
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
                lane.drain.drained(now);
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
        let wait = lane.drain.wait(now, lane.queue.len());
        if wait.is_some_and(|wait| now + wait > need.turn_by) {
            return Err(overloaded(
                lane,
                now,
                "the expected wait exceeds the queueing deadline",
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
                "the queue is full, and the account exceeds its fair share the most",
            );
            let _ = evicted.item.answer.send(Err(no_place));
        }
        let waiting_count = lanes.values().map(|lane| lane.queue.len()).sum();
        self.waiting.store(waiting_count, Ordering::Relaxed);
        self.queued.notify_one();
        Ok(waiting)
    }

    /// Engines whose requested backoff hasn't ended, with the time left, shortest
    /// first.
    pub(crate) fn backed_off(&self, snapshot: &Snapshot) -> Vec<(EngineId, Duration)> {
        let engines = snapshot.fleet.engines().iter();
        let engines = engines.map(|engine| (&engine.info.engine, engine.addr));
        let waiting = self.backoffs.backed_off(engines).into_iter();
        waiting
            .map(|(engine, left)| (engine.clone(), left))
            .collect()
    }

    /// The best chain that avoids the excluded engines.
    fn choose(snapshot: &Snapshot, need: &StreamNeed, excluded: &[EngineId]) -> ChosenChain {
        let Some(graph) = snapshot.fleet.graph(&need.pool, &need.model) else {
            return ChosenChain::default();
        };
        let request = ChainRequest {
            layers: graph.whole(),
            excluded,
            cached: &need.cached,
            seed: need.seed,
            beyond_limit: false,
        };
        let policy = &snapshot.table.config().policy;
        let engines = snapshot.fleet.engines();
        snapshot.chooser.choose(policy, graph, engines, &request)
    }

    /// Explains why there is no chain, and when to retry: if engines in backoff
    /// would complete one, at the end of the first backoff that makes a chain
    /// possible.
    fn no_chain(&self, need: &StreamNeed, chosen: ChosenChain) -> NoPlace {
        let snapshot = self.snapshot.load();
        let waiting = self.backed_off(&snapshot);
        let names: Vec<EngineId> = waiting.iter().map(|(engine, _)| engine.clone()).collect();
        let is_chain_without = |later: &[EngineId]| {
            let chosen = Self::choose(&snapshot, need, later);
            chosen.is_full || !chosen.stages.is_empty()
        };
        // The backoffs are sorted by their end: once enough of them have ended for
        // a chain, later ends don't remove it, so a binary search is valid.
        let ends: Vec<usize> = (1..=names.len()).collect();
        let first = ends.partition_point(|end| !is_chain_without(&names[*end..]));
        let Some((_, left)) = waiting.get(first) else {
            return no_chain(need, chosen);
        };
        NoPlace {
            reason: ReasonCode::Overloaded,
            detail: "engines requested a backoff; retry when it ends".to_owned(),
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
    /// Keeps the account's permit until the slots are released.
    pub(crate) fn hold(&mut self, permit: AccountPermit) {
        self.permit = Some(permit);
    }

    /// Counts the stream on further engines.
    pub(crate) fn add(&mut self, fleet: &Fleet, stages: &[Stage]) {
        for stage in stages {
            let Some(engine) = fleet.engine(&stage.engine) else {
                continue;
            };
            engine.stats.stream_started(clock::now());
            self.slots
                .push((stage.engine.clone(), engine.stats.clone()));
        }
    }

    /// Releases the stream's slot on an engine.
    pub(crate) fn remove(&mut self, engine: &str) {
        self.slots.retain(|(name, stats)| {
            let is_kept = **name != *engine;
            if !is_kept {
                stats.stream_ended(clock::now());
            }
            is_kept
        });
    }

    /// Measured statistics of an engine; `None` if the stream has no slot on it.
    pub(crate) fn stats(&self, engine: &str) -> Option<&Arc<EngineStats>> {
        let slot = self.slots.iter().find(|(name, _)| **name == *engine);
        slot.map(|(_, stats)| stats)
    }
}

impl Drop for StreamSlots {
    fn drop(&mut self) {
        for (_, stats) in self.slots.drain(..) {
            stats.stream_ended(clock::now());
        }
        self.permit = None;
        self.admission.pump();
    }
}

fn overloaded(lane: &Lane, now: Instant, detail: &str) -> NoPlace {
    NoPlace {
        reason: ReasonCode::Overloaded,
        detail: format!("{detail}; {} requests are queued", lane.queue.len()),
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
