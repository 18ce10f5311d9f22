//! The record of what was decided about a request, in the terms that
//! operators configure it with.

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

/// Why a request went where it did, or was refused.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DecisionRecord {
    /// The request.
    pub request_id: Option<RequestId>,
    /// The instance that decided.
    pub instance: Option<InstanceId>,
    /// When it arrived, in milliseconds since 1970.
    pub at_ms: u64,
    /// The configuration in force.
    pub config_version: ObjectVersion,
    /// The labels that selectors saw.
    pub labels: Labels,
    /// Routes in the order they were tried.
    pub routes: Vec<EvaluatedRoute>,
    /// The pool of the matched route, with its selector.
    pub pool: Option<PoolUse>,
    /// Engines considered at the first choice.
    pub candidates: Vec<Candidate>,
    /// The chain at first, and each one after a stage was lost.
    pub chains: Vec<Vec<EngineId>>,
    /// How long it waited for its turn.
    pub queued_us: u64,
    /// What became of it.
    pub result: Option<DecisionResult>,
}

/// A pool and the selector that makes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolUse {
    /// Its name.
    pub pool: String,
    /// Its selector.
    pub selector: String,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "snake_case")]
pub enum DecisionResult {
    /// It was answered whole.
    Answered {
        /// Tokens or bytes of the answer.
        size: u64,
    },
    /// It got no answer.
    Failed {
        /// What is known about it.
        outcome: Outcome,
        /// Why.
        reason: ReasonCode,
        /// In words.
        detail: String,
    },
    /// The caller went away.
    CallerGone,
}

/// The newest records, up to a number.
#[derive(Debug)]
pub struct DecisionLog {
    limit: usize,
    order: VecDeque<RequestId>,
    records: HashMap<RequestId, Arc<DecisionRecord>>,
}

impl DecisionLog {
    /// A log of at most `limit` records.
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            limit: limit.max(1),
            order: VecDeque::new(),
            records: HashMap::new(),
        }
    }

    /// Adds a record, and drops the oldest one if there are too many.
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

    /// The record of a request, unless it is too old.
    #[must_use]
    pub fn get(&self, request_id: &str) -> Option<Arc<DecisionRecord>> {
        self.records.get(request_id).cloned()
    }
}
