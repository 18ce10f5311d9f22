//! Writes one shard object: groups what waits, and settles lost answers.
//!
//! One write is under way at a time. A conflict shows the object as it is and
//! is merged and tried again. A lost answer is settled by reading: a claim
//! with this writer's own nonce means that the write took effect, however its
//! answer fared. Where nothing can be read, those who wait are refused; their
//! claims may have been written, and since they are never dispatched they are
//! withdrawn with the next write.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use serde_json::Value;

use super::Claim;
use super::ClaimObject;
use super::ClaimRefusal;

/// Names one who waits for a claim.
pub type AskId = u64;

/// Bytes of an object beyond which no claim is added.
const MAX_OBJECT_BYTES: usize = 900_000;
/// Bytes that a claim takes at most, for a bound that needs no encoding.
const CLAIM_BYTES: usize = 640;
/// Conflicts in a row before those who wait are refused.
const MAX_CONFLICTS: u32 = 8;

/// What the writer is told.
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// Someone asks for a claim; it waits for the next flush.
    Ask {
        /// Who.
        ask: AskId,
        /// Digest of the key.
        digest: String,
        /// The claim.
        claim: Claim,
        /// Whether a peer asks. Its claim is never withdrawn here: when the
        /// answer is lost the peer settles it itself, and may have dispatched.
        is_forwarded: bool,
    },
    /// All who wait may be written now.
    Flush,
    /// A claim of this instance that a peer refused; it may be written yet
    /// and is never dispatched.
    Withdraw {
        /// Its nonce.
        nonce: u64,
    },
    /// The write took effect.
    Written {
        /// The new version.
        version: ObjectVersion,
    },
    /// Another write came first.
    Conflict {
        /// The object as it is.
        current: Option<Object>,
    },
    /// The write's answer was lost; it may have taken effect.
    WriteLost,
    /// The write can't have reached the platform, or was turned away.
    WriteRejected,
    /// The object was read.
    Read {
        /// The object, if it exists.
        current: Option<Object>,
    },
    /// It can't be read.
    ReadFailed,
}

/// What the writer asks for, or tells those who wait.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Write the object.
    Put {
        /// The version that must be current.
        expected: ObjectVersion,
        /// The value.
        value: Value,
    },
    /// Read the object.
    Get,
    /// The claim is written: dispatch.
    Granted {
        /// To whom.
        ask: AskId,
    },
    /// Another claim holds the key: resume or report.
    Taken {
        /// To whom.
        ask: AskId,
        /// The other claim.
        claim: Claim,
    },
    /// Not claimed: don't dispatch.
    Refused {
        /// To whom.
        ask: AskId,
        /// Why.
        refusal: ClaimRefusal,
    },
}

#[derive(Clone, Debug)]
struct Ask {
    id: AskId,
    digest: String,
    claim: Claim,
    is_forwarded: bool,
}

#[derive(Debug, PartialEq, Eq)]
enum Phase {
    Idle,
    Writing,
    Reading,
}

/// The state of one shard object's writer.
#[derive(Debug)]
pub struct ClaimWriter {
    window_ms: u64,
    phase: Phase,
    /// The object as last seen, `None` before the first read.
    known: Option<(ObjectVersion, ClaimObject)>,
    /// What is being written.
    proposed: ClaimObject,
    waiting: Vec<Ask>,
    in_flight: Vec<Ask>,
    /// Nonces that were refused and must not stay.
    withdrawn: BTreeSet<u64>,
    conflicts: u32,
}

impl ClaimWriter {
    /// A writer that has read nothing.
    #[must_use]
    pub const fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            phase: Phase::Idle,
            known: None,
            proposed: ClaimObject {
                claims: BTreeMap::new(),
            },
            waiting: Vec::new(),
            in_flight: Vec::new(),
            withdrawn: BTreeSet::new(),
            conflicts: 0,
        }
    }

    /// Takes an event at a time given in milliseconds since 1970.
    pub fn on_event(&mut self, now_ms: u64, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Ask {
                ask,
                digest,
                claim,
                is_forwarded,
            } => {
                self.waiting.push(Ask {
                    id: ask,
                    digest,
                    claim,
                    is_forwarded,
                });
                Vec::new()
            }
            ClaimEvent::Flush => self.advance(now_ms),
            ClaimEvent::Withdraw { nonce } => {
                self.withdrawn.insert(nonce);
                Vec::new()
            }
            ClaimEvent::Written { version } => self.on_written(now_ms, version),
            ClaimEvent::Conflict { current } => self.on_conflict(now_ms, current),
            ClaimEvent::WriteLost => self.on_write_lost(),
            ClaimEvent::WriteRejected | ClaimEvent::ReadFailed => self.on_unavailable(),
            ClaimEvent::Read { current } => self.on_read(now_ms, current),
        }
    }

    fn on_written(&mut self, now_ms: u64, version: ObjectVersion) -> Vec<ClaimAction> {
        if self.phase != Phase::Writing {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.conflicts = 0;
        self.known = Some((version, std::mem::take(&mut self.proposed)));
        self.withdrawn.clear();
        let granted = std::mem::take(&mut self.in_flight);
        let mut actions: Vec<ClaimAction> = granted
            .into_iter()
            .map(|ask| ClaimAction::Granted { ask: ask.id })
            .collect();
        actions.extend(self.advance(now_ms));
        actions
    }

    fn on_conflict(&mut self, now_ms: u64, current: Option<Object>) -> Vec<ClaimAction> {
        if self.phase != Phase::Writing {
            return Vec::new();
        }
        self.conflicts += 1;
        self.phase = Phase::Idle;
        self.learn(current);
        if self.conflicts >= MAX_CONFLICTS {
            self.conflicts = 0;
            return self.refuse_all(ClaimRefusal::Contended);
        }
        self.requeue();
        self.advance(now_ms)
    }

    fn on_write_lost(&mut self) -> Vec<ClaimAction> {
        if self.phase != Phase::Writing {
            return Vec::new();
        }
        self.phase = Phase::Reading;
        vec![ClaimAction::Get]
    }

    fn on_unavailable(&mut self) -> Vec<ClaimAction> {
        if self.phase == Phase::Idle {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.known = None;
        self.refuse_all(ClaimRefusal::Unavailable)
    }

    fn on_read(&mut self, now_ms: u64, current: Option<Object>) -> Vec<ClaimAction> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.learn(current);
        self.requeue();
        self.advance(now_ms)
    }

    fn learn(&mut self, current: Option<Object>) {
        let Some(object) = current else {
            self.known = Some((0, ClaimObject::default()));
            return;
        };
        let version = object.version;
        self.known = serde_json::from_value(object.value)
            .ok()
            .or_else(|| Some(ClaimObject::default()))
            .map(|claims| (version, claims));
    }

    fn requeue(&mut self) {
        let mut asks = std::mem::take(&mut self.in_flight);
        asks.append(&mut self.waiting);
        self.waiting = asks;
    }

    fn refuse_all(&mut self, refusal: ClaimRefusal) -> Vec<ClaimAction> {
        self.requeue();
        let refused = std::mem::take(&mut self.waiting);
        refused
            .into_iter()
            .map(|ask| {
                if !ask.is_forwarded {
                    self.withdrawn.insert(ask.claim.nonce);
                }
                ClaimAction::Refused {
                    ask: ask.id,
                    refusal,
                }
            })
            .collect()
    }

    /// Starts a read or a write if someone waits and nothing is under way.
    fn advance(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        if self.phase != Phase::Idle || self.waiting.is_empty() {
            return Vec::new();
        }
        let Some((version, known)) = &self.known else {
            self.phase = Phase::Reading;
            return vec![ClaimAction::Get];
        };
        let expected = *version;
        let mut object = known.clone();
        object.prune(now_ms, self.window_ms);
        object
            .claims
            .retain(|_, claim| !self.withdrawn.contains(&claim.nonce));
        let mut actions = Vec::new();
        for ask in std::mem::take(&mut self.waiting) {
            self.merge(ask, &mut object, &mut actions);
        }
        if self.in_flight.is_empty() {
            return actions;
        }
        let Ok(value) = serde_json::to_value(&object) else {
            actions.extend(self.refuse_all(ClaimRefusal::Unavailable));
            return actions;
        };
        self.proposed = object;
        self.phase = Phase::Writing;
        actions.push(ClaimAction::Put { expected, value });
        actions
    }

    fn merge(&mut self, ask: Ask, object: &mut ClaimObject, actions: &mut Vec<ClaimAction>) {
        if let Some(existing) = object.claims.get(&ask.digest) {
            let action = if existing.nonce == ask.claim.nonce {
                ClaimAction::Granted { ask: ask.id }
            } else {
                ClaimAction::Taken {
                    ask: ask.id,
                    claim: existing.clone(),
                }
            };
            actions.push(action);
            return;
        }
        if (object.claims.len() + 1) * CLAIM_BYTES > MAX_OBJECT_BYTES {
            actions.push(ClaimAction::Refused {
                ask: ask.id,
                refusal: ClaimRefusal::Full,
            });
            return;
        }
        object.claims.insert(ask.digest.clone(), ask.claim.clone());
        self.in_flight.push(ask);
    }
}
