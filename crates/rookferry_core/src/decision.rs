//! Decision records: how each request was routed or refused, in the terms of the
//! operators' configuration.
//!
//! An instance fills a record while it handles a request and keeps the newest ones
//! in a [`DecisionLog`], from which operators and peers read them by request id.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::sync::Arc;

use rookferry_wire::EngineId;
use rookferry_wire::InstanceId;
use rookferry_wire::Labels;
use rookferry_wire::ObjectVersion;
use rookferry_wire::Outcome;
use rookferry_wire::ReasonCode;
use rookferry_wire::RequestId;
use serde::Deserialize;
use serde::Serialize;

use crate::Candidate;
use crate::EvaluatedRoute;

/// Why a request was routed as it was, or refused.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request's id; a record without one isn't stored.
    pub request_id: Option<RequestId>,
    /// The instance that handled the request.
    pub instance: Option<InstanceId>,
    /// Arrival time, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Version of the active configuration.
    pub config_version: ObjectVersion,
    /// The request's labels that selectors were matched against.
    pub labels: Labels,
    /// Routes in the order in which they were evaluated.
    pub routes: Vec<EvaluatedRoute>,
    /// The pool of the matched route, if any matched.
    pub pool: Option<MatchedPool>,
    /// Engines considered when the first chain was chosen.
    pub candidates: Vec<Candidate>,
    /// The first chain, then each chain that replaced a lost stage.
    pub chains: Vec<Vec<EngineId>>,
    /// Time spent in the queue, in microseconds.
    pub queued_us: u64,
    /// The final result, `None` while the request is in flight.
    pub result: Option<DecisionResult>,
}

/// The pool of a matched route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MatchedPool {
    /// The pool's name.
    pub pool: String,
    /// The selector of its backend servers, as text.
    pub selector: String,
}

/// The final result of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum DecisionResult {
    /// The whole response was delivered.
    Answered {
        /// Size of the response, in tokens or in bytes.
        size: u64,
    },
    /// The request failed.
    Failed {
        /// Whether the request may have run.
        outcome: Outcome,
        /// The reason.
        reason: ReasonCode,
        /// The reason as text.
        detail: String,
    },
    /// The caller disconnected.
    CallerGone,
}

/// The newest decision records, up to a limit.
#[derive(Debug)]
pub struct DecisionLog {
    limit: usize,
    order: VecDeque<RequestId>,
    records: HashMap<RequestId, Arc<DecisionRecord>>,
}

impl DecisionLog {
    /// Creates a log of at most `limit` records (at least 1).
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            order: VecDeque::new(),
            records: HashMap::new(),
        }
    }

    /// Adds a record, or replaces the one of the same request; the oldest record is
    /// evicted above the limit.
    pub fn insert(&mut self, record: DecisionRecord) {
        let Some(request_id) = record.request_id.clone() else {
            return;
        };
        let is_new = self
            .records
            .insert(request_id.clone(), Arc::new(record))
            .is_none();
        if is_new {
            self.order.push_back(request_id);
        }
        while self.order.len() > self.limit {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.records.remove(&oldest);
        }
    }

    /// The record of a request, `None` if it is unknown or was evicted.
    #[must_use]
    pub fn get(&self, request_id: &str) -> Option<Arc<DecisionRecord>> {
        self.records.get(request_id).cloned()
    }
}
