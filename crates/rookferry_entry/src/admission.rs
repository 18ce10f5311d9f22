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
const MAX_PLACED_PER_PASS: usize = 64;

/// Requirements of a stream on its engines and its queueing time.
#[derive(Clone, Debug)]
pub(crate) struct StreamRequirements {
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
    pub(crate) queue_deadline: Instant,
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
pub(crate) struct PlacementError {
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

type QueueKey = (String, String);

struct Waiter {
    requirements: StreamRequirements,
    answer: oneshot::Sender<Result<Placement, PlacementError>>,
}

struct ModelQueue {
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
    queues: Mutex<HashMap<QueueKey, ModelQueue>>,
}

impl Admission {
    pub(crate) fn new(snapshot: Arc<ArcSwap<Snapshot>>, backoffs: Arc<BackoffTable>) -> Arc<Self> {
        Arc::new(Self {
            snapshot,
            backoffs,
            waiting: AtomicUsize::new(0),
            queued: Notify::new(),
            queues: Mutex::default(),
        })
    }

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }

    /// Waits until at least one request is queued.
    pub(crate) async fn wait_until_queued(&self) {
        while self.waiting() == 0 {
            self.queued.notified().await;
        }
    }

    /// Places a stream, queueing it while its chains are full.
    pub(crate) async fn place(
        self: &Arc<Self>,
        requirements: StreamRequirements,
    ) -> Result<Placement, PlacementError> {
        if self.waiting() == 0 {
            match self.try_place(&requirements) {
                Ok(placement) => return Ok(placement),
                Err(chosen) if chosen.is_full => {}
                Err(chosen) => return Err(self.no_chain(&requirements, chosen)),
            }
        }
        let waiting = self.enqueue(requirements)?;
        self.place_waiting();
        waiting.await.unwrap_or_else(|_| {
            Err(PlacementError {
                reason: ReasonCode::Overloaded,
                detail: "the admission queue was closed".to_owned(),
                retry_after: Duration::from_secs(1),
                candidates: Vec::new(),
            })
        })
    }

    /// Places queued streams while there are free slots, and refuses those past
    /// their queueing deadline.
    pub(crate) fn place_waiting(self: &Arc<Self>) {
        if self.waiting() == 0 {
            return;
        }
        let now = clock::now();
        let mut results = Vec::new();
        {
            let mut queues = self.lock();
            for model_queue in queues.values_mut() {
                self.place_from_queue(now, model_queue, &mut results);
            }
            let waiting = queues
                .values()
                .map(|model_queue| model_queue.queue.len())
                .sum();
            self.waiting.store(waiting, Ordering::Relaxed);
        }
        for (waiter, result) in results {
            // If the caller has disconnected, the placement is dropped, which
            // releases its slots.
            let _ = waiter.answer.send(result);
        }
    }

    fn place_from_queue(
        self: &Arc<Self>,
        now: Instant,
        model_queue: &mut ModelQueue,
        results: &mut Vec<(Waiter, Result<Placement, PlacementError>)>,
    ) {
        let expired = model_queue.queue.remove_if(|waiter| {
            waiter.requirements.queue_deadline <= now || waiter.answer.is_closed()
        });
        for entry in expired {
            let placement_error = overloaded(model_queue, now, "the queueing deadline passed");
            results.push((entry.item, Err(placement_error)));
        }
        for _ in 0..MAX_PLACED_PER_PASS {
            let Some(next) = model_queue.queue.peek() else {
                return;
            };
            let result = match self.try_place(&next.requirements) {
                Ok(placement) => Ok(placement),
                Err(chosen) if chosen.is_full => return,
                Err(chosen) => Err(self.no_chain(&next.requirements, chosen)),
            };
            if let Some(entry) = model_queue.queue.pop() {
                model_queue.drain.record_dequeue(now);
                results.push((entry.item, result));
            }
        }
    }

    fn enqueue(
        self: &Arc<Self>,
        requirements: StreamRequirements,
    ) -> Result<oneshot::Receiver<Result<Placement, PlacementError>>, PlacementError> {
        let now = clock::now();
        let limit = self.snapshot.load().table.config().policy.queue_limit;
        let (answer, waiting) = oneshot::channel();
        let key = (requirements.pool.clone(), requirements.model.clone());
        let mut queues = self.lock();
        let model_queue = queues.entry(key).or_insert_with(|| ModelQueue {
            queue: FairQueue::new(limit),
            drain: DrainRate::new(),
        });
        model_queue.queue.set_limit(limit);
        let wait = model_queue
            .drain
            .expected_wait(now, model_queue.queue.len());
        if wait.is_some_and(|wait| now + wait > requirements.queue_deadline) {
            return Err(overloaded(
                model_queue,
                now,
                "the expected wait exceeds the queueing deadline",
            ));
        }
        let pushed = model_queue.queue.push(
            requirements.account.clone(),
            requirements.weight,
            requirements.cost,
            Waiter {
                requirements,
                answer,
            },
        );
        if let Some(evicted) = pushed.evicted {
            let placement_error = overloaded(
                model_queue,
                now,
                "the queue is full, and the account exceeds its fair share the most",
            );
            let _ = evicted.item.answer.send(Err(placement_error));
        }
        let waiting_count = queues
            .values()
            .map(|model_queue| model_queue.queue.len())
            .sum();
        self.waiting.store(waiting_count, Ordering::Relaxed);
        self.queued.notify_one();
        Ok(waiting)
    }

    /// Engines whose requested backoff hasn't ended, with the time left, shortest
    /// first.
    pub(crate) fn backed_off(&self, snapshot: &Snapshot) -> Vec<(EngineId, Duration)> {
        let engines = snapshot.fleet.engines().iter();
        let engines = engines.map(|engine| (&engine.info.engine, engine.addr));
        let backing_off = self.backoffs.backed_off(engines).into_iter();
        backing_off
            .map(|(engine, left)| (engine.clone(), left))
            .collect()
    }

    /// The best chain that avoids the excluded engines.
    fn choose(
        snapshot: &Snapshot,
        requirements: &StreamRequirements,
        excluded: &[EngineId],
    ) -> ChosenChain {
        let Some(graph) = snapshot
            .fleet
            .graph(&requirements.pool, &requirements.model)
        else {
            return ChosenChain::default();
        };
        let request = ChainRequest {
            layers: graph.all_layers(),
            excluded,
            cached: &requirements.cached,
            seed: requirements.seed,
            ignores_limit: false,
        };
        let policy = &snapshot.table.config().policy;
        let engines = snapshot.fleet.engines();
        snapshot.chooser.choose(policy, graph, engines, &request)
    }

    /// Explains why there is no chain, and when to retry: if engines in backoff
    /// would complete one, at the end of the first backoff that makes a chain
    /// possible.
    fn no_chain(&self, requirements: &StreamRequirements, chosen: ChosenChain) -> PlacementError {
        let snapshot = self.snapshot.load();
        let backing_off = self.backed_off(&snapshot);
        let names: Vec<EngineId> = backing_off
            .iter()
            .map(|(engine, _)| engine.clone())
            .collect();
        let is_chain_possible_without = |still_backing_off: &[EngineId]| {
            let chosen = Self::choose(&snapshot, requirements, still_backing_off);
            chosen.is_full || !chosen.stages.is_empty()
        };
        // The backoffs are sorted by their end: once enough of them have ended for
        // a chain, later ends don't remove it, so a binary search is valid.
        let ended_counts: Vec<usize> = (1..=names.len()).collect();
        let first =
            ended_counts.partition_point(|ended| !is_chain_possible_without(&names[*ended..]));
        let Some((_, left)) = backing_off.get(first) else {
            return no_chain(requirements, chosen);
        };
        PlacementError {
            reason: ReasonCode::Overloaded,
            detail: "engines requested a backoff; retry when it ends".to_owned(),
            retry_after: *left,
            candidates: chosen.candidates,
        }
    }

    fn try_place(
        self: &Arc<Self>,
        requirements: &StreamRequirements,
    ) -> Result<Placement, ChosenChain> {
        let snapshot = self.snapshot.load();
        let backing_off = self.backed_off(&snapshot).into_iter();
        let excluded: Vec<EngineId> = backing_off.map(|(engine, _)| engine).collect();
        let chosen = Self::choose(&snapshot, requirements, &excluded);
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

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<QueueKey, ModelQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl StreamSlots {
    /// Keeps the account's permit until the slots are released.
    pub(crate) fn attach_permit(&mut self, permit: AccountPermit) {
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

    /// Releases the stream's slot on an engine.
    pub(crate) fn remove(&mut self, engine: &str) {
        self.slots.retain(|(name, stats)| {
            let is_kept = **name != *engine;
            if !is_kept {
                stats.record_stream_end(clock::now());
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
            stats.record_stream_end(clock::now());
        }
        self.permit = None;
        self.admission.place_waiting();
    }
}

fn overloaded(model_queue: &ModelQueue, now: Instant, detail: &str) -> PlacementError {
    PlacementError {
        reason: ReasonCode::Overloaded,
        detail: format!("{detail}; {} requests are queued", model_queue.queue.len()),
        retry_after: model_queue.drain.retry_after(now, model_queue.queue.len()),
        candidates: Vec::new(),
    }
}

fn no_chain(requirements: &StreamRequirements, chosen: ChosenChain) -> PlacementError {
    PlacementError {
        reason: ReasonCode::NoChain,
        detail: format!(
            "no live engines of pool {:?} cover all layers of model {:?}",
            requirements.pool, requirements.model
        ),
        retry_after: Duration::from_secs(1),
        candidates: chosen.candidates,
    }
}
