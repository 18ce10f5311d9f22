//! Writes the claims of one shard object, batching pending requests.
//!
//! The caller feeds platform results and claim requests in as events, and runs
//! the platform calls that the actions ask for. One call is in flight at a
//! time; requests that arrive meanwhile share the next write.
//!
//! After a conflict the claims are merged into the current object and written
//! again. After a lost response the object is read back: a claim with the
//! writer's own nonce means that the write took effect. If the platform refuses
//! the write or the object can't be read, all pending requests are refused.
//! Their claims may have been written; since they are never dispatched, the next
//! write withdraws them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use serde_json::Value;

use super::Claim;
use super::ClaimObject;
use super::ClaimRefusal;

/// Identifies a claim request within one writer.
pub type ClaimRequestId = u64;

/// Estimated object size beyond which no claim is added, in bytes.
const MAX_OBJECT_BYTES: usize = 900_000;
/// Largest encoded claim, in bytes; bounds an object's size without encoding it.
const MAX_CLAIM_BYTES: usize = 640;
/// Consecutive conflicts after which all pending requests are refused.
const MAX_CONFLICTS: u32 = 8;

/// Input of a [`ClaimWriter`].
#[derive(Clone, Debug)]
pub enum ClaimEvent {
    /// A claim is requested; it waits for the next flush.
    Request {
        /// Identifies the request in the actions that answer it.
        id: ClaimRequestId,
        /// Digest of account and key.
        digest: String,
        /// The claim to write.
        claim: Claim,
        /// Whether a peer sent the request. Its claim is never withdrawn here:
        /// if the reply is lost the peer claims the key itself with the same
        /// nonce, and may have dispatched.
        is_forwarded: bool,
    },
    /// All pending requests may be written now.
    Flush,
    /// A peer refused a claim of this instance, which is never dispatched; it may
    /// still have been written and is removed with the next write.
    Withdraw {
        /// The claim's nonce.
        nonce: u64,
    },
    /// The write took effect.
    Written {
        /// The new version.
        version: ObjectVersion,
    },
    /// The expected version was not current.
    Conflict {
        /// The current object, if it exists.
        current: Option<Object>,
    },
    /// The response to the write was lost; it may have taken effect.
    WriteLost,
    /// The write never reached the platform, or was refused by it.
    WriteRejected,
    /// The object was read.
    Read {
        /// The current object, if it exists.
        current: Option<Object>,
    },
    /// The object couldn't be read.
    ReadFailed,
}

/// Output of a [`ClaimWriter`]: a platform call, or the answer to a request.
#[derive(Clone, Debug, PartialEq)]
pub enum ClaimAction {
    /// Write the object, and report the result as an event.
    Put {
        /// The version that must be current.
        expected: ObjectVersion,
        /// The object's new value.
        value: Value,
    },
    /// Read the object, and report the result as an event.
    Get,
    /// The claim is written: the request may be dispatched.
    Granted {
        /// The request.
        id: ClaimRequestId,
    },
    /// Another claim has the key: its work may be resumed or reported.
    Taken {
        /// The request.
        id: ClaimRequestId,
        /// The existing claim.
        claim: Claim,
    },
    /// The key isn't claimed: the request must not be dispatched.
    Refused {
        /// The request.
        id: ClaimRequestId,
        /// The reason.
        refusal: ClaimRefusal,
    },
}

#[derive(Clone, Debug)]
struct PendingClaim {
    id: ClaimRequestId,
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

/// Writer of one shard object; driven by [`ClaimWriter::on_event`].
#[derive(Debug)]
pub struct ClaimWriter {
    window_ms: u64,
    phase: Phase,
    /// The object as last read or written, `None` before the first read and after
    /// a failed call.
    cached: Option<(ObjectVersion, ClaimObject)>,
    /// Value of the write in flight.
    in_flight_value: ClaimObject,
    pending: Vec<PendingClaim>,
    in_flight: Vec<PendingClaim>,
    /// Nonces of refused claims, which the next write removes.
    withdrawn: BTreeSet<u64>,
    conflicts: u32,
}

impl ClaimWriter {
    /// Creates a writer that hasn't read its object; claims expire after `window_ms`.
    #[must_use]
    pub const fn new(window_ms: u64) -> Self {
        Self {
            window_ms,
            phase: Phase::Idle,
            cached: None,
            in_flight_value: ClaimObject {
                claims: BTreeMap::new(),
            },
            pending: Vec::new(),
            in_flight: Vec::new(),
            withdrawn: BTreeSet::new(),
            conflicts: 0,
        }
    }

    /// Handles an event; `now_ms` counts from the Unix epoch.
    ///
    /// At most one of the actions is a platform call, and none while another is
    /// in flight. Events that don't fit the current phase are ignored.
    pub fn on_event(&mut self, now_ms: u64, event: ClaimEvent) -> Vec<ClaimAction> {
        match event {
            ClaimEvent::Request {
                id,
                digest,
                claim,
                is_forwarded,
            } => {
                self.pending.push(PendingClaim {
                    id,
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
        self.cached = Some((version, std::mem::take(&mut self.in_flight_value)));
        self.withdrawn.clear();
        let granted = std::mem::take(&mut self.in_flight);
        let mut actions: Vec<ClaimAction> = granted
            .into_iter()
            .map(|pending| ClaimAction::Granted { id: pending.id })
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
        self.cache_object(current);
        if self.conflicts >= MAX_CONFLICTS {
            self.conflicts = 0;
            return self.refuse_all(ClaimRefusal::Contended);
        }
        self.requeue_in_flight();
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
        self.cached = None;
        self.refuse_all(ClaimRefusal::Unavailable)
    }

    fn on_read(&mut self, now_ms: u64, current: Option<Object>) -> Vec<ClaimAction> {
        if self.phase != Phase::Reading {
            return Vec::new();
        }
        self.phase = Phase::Idle;
        self.cache_object(current);
        self.requeue_in_flight();
        self.advance(now_ms)
    }

    /// Stores the object that was read; one that can't be parsed counts as empty.
    fn cache_object(&mut self, current: Option<Object>) {
        let Some(object) = current else {
            self.cached = Some((0, ClaimObject::default()));
            return;
        };
        let version = object.version;
        self.cached = serde_json::from_value(object.value)
            .ok()
            .or_else(|| Some(ClaimObject::default()))
            .map(|claims| (version, claims));
    }

    /// Puts the requests of the last write back in front of the pending ones.
    fn requeue_in_flight(&mut self) {
        let mut pending = std::mem::take(&mut self.in_flight);
        pending.append(&mut self.pending);
        self.pending = pending;
    }

    fn refuse_all(&mut self, refusal: ClaimRefusal) -> Vec<ClaimAction> {
        self.requeue_in_flight();
        let refused = std::mem::take(&mut self.pending);
        refused
            .into_iter()
            .map(|pending| {
                if !pending.is_forwarded {
                    self.withdrawn.insert(pending.claim.nonce);
                }
                ClaimAction::Refused {
                    id: pending.id,
                    refusal,
                }
            })
            .collect()
    }

    /// Starts a read or a write if requests are pending and no call is in flight.
    fn advance(&mut self, now_ms: u64) -> Vec<ClaimAction> {
        if self.phase != Phase::Idle || self.pending.is_empty() {
            return Vec::new();
        }
        let Some((version, cached)) = &self.cached else {
            self.phase = Phase::Reading;
            return vec![ClaimAction::Get];
        };
        let expected = *version;
        let mut object = cached.clone();
        object.prune(now_ms, self.window_ms);
        object
            .claims
            .retain(|_, claim| !self.withdrawn.contains(&claim.nonce));
        let mut actions = Vec::new();
        for pending in std::mem::take(&mut self.pending) {
            self.add_claim(pending, &mut object, &mut actions);
        }
        if self.in_flight.is_empty() {
            return actions;
        }
        let Ok(value) = serde_json::to_value(&object) else {
            actions.extend(self.refuse_all(ClaimRefusal::Unavailable));
            return actions;
        };
        self.in_flight_value = object;
        self.phase = Phase::Writing;
        actions.push(ClaimAction::Put { expected, value });
        actions
    }

    /// Adds a request's claim to the object, or answers the request at once.
    fn add_claim(
        &mut self,
        pending: PendingClaim,
        object: &mut ClaimObject,
        actions: &mut Vec<ClaimAction>,
    ) {
        if let Some(existing) = object.claims.get(&pending.digest) {
            let action = if existing.nonce == pending.claim.nonce {
                ClaimAction::Granted { id: pending.id }
            } else {
                ClaimAction::Taken {
                    id: pending.id,
                    claim: existing.clone(),
                }
            };
            actions.push(action);
            return;
        }
        if (object.claims.len() + 1) * MAX_CLAIM_BYTES > MAX_OBJECT_BYTES {
            actions.push(ClaimAction::Refused {
                id: pending.id,
                refusal: ClaimRefusal::Full,
            });
            return;
        }
        object
            .claims
            .insert(pending.digest.clone(), pending.claim.clone());
        self.in_flight.push(pending);
    }
}
