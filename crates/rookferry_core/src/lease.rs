//! Lease in a platform object: a single holder with a fencing token.
//!
//! The holder's fence authorizes its orders to engines: one holder orders those of
//! a failure domain or of the site. Callers read and write the object and feed the
//! results in; [`Lease::next_action`] says when to write, [`Lease::fence_for`]
//! whether an order may be sent.
//!
//! Platform objects carry no timestamps. A holder measures its lease from just
//! before it sent the write that renewed it. Other instances measure from their
//! first read of the object's current version; a version that hasn't changed for
//! the lease's duration may be taken over with a higher fence. All times are
//! local and monotonic, so no clocks are compared between instances.

use std::time::Duration;
use std::time::Instant;

use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::millis::millis;

/// A holder stops using the lease this fraction (1/n) of its duration early.
const SAFETY_DIVISOR: u32 = 4;
/// A holder renews after this fraction (1/n) of the duration.
const RENEWAL_DIVISOR: u32 = 3;

/// The lease as stored in its platform object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// The instance that holds it.
    pub holder: InstanceId,
    /// The holder's incarnation.
    pub incarnation: Incarnation,
    /// Fencing token; increases with each change of holder.
    pub fence: u64,
    /// How long it is valid after its last write; 0 once released.
    pub duration_ms: u64,
    /// Increases with each write, so that every renewal changes the value: a
    /// platform may keep an object's version when its value stays the same.
    #[serde(default)]
    pub renewals: u64,
}

/// Durations by which instances hold a lease and take it over.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a lease is valid after its last write.
    pub duration: Duration,
    /// Longest pause of a sender between its lease check and its send. A new
    /// holder waits this much longer before it orders engines that don't check
    /// fences.
    pub pause_bound: Duration,
}

/// What the caller should do about the lease now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing; read and ask again later.
    Wait,
    /// Write the object by conditional update; on success call [`Lease::on_written`],
    /// on a conflict [`Lease::on_read`].
    Write {
        /// The version that must be current.
        expected: ObjectVersion,
        /// The value to write.
        object: LeaseObject,
    },
}

#[derive(Clone, Debug)]
struct LastKnown {
    version: ObjectVersion,
    object: Option<LeaseObject>,
    first_seen_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    fence: u64,
    held_since: Instant,
    renewed_at: Instant,
}

/// One instance's view of a lease, fed with the results of its reads and writes.
#[derive(Clone, Debug)]
pub struct Lease {
    instance: InstanceId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    last_known: Option<LastKnown>,
    held: Option<HeldLease>,
    /// The highest fence read or written before the last [`Lease::reset`].
    highest_fence: u64,
}

impl Lease {
    /// Creates the view of an instance before its first read.
    #[must_use]
    pub const fn new(instance: InstanceId, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            instance,
            incarnation,
            timing,
            last_known: None,
            held: None,
            highest_fence: 0,
        }
    }

    /// Records the object as read, or as returned with a conflict; `asked_at` is
    /// when the call was sent.
    pub fn on_read(&mut self, asked_at: Instant, current: Option<&Object>) {
        let version = current.map_or(0, |object| object.version);
        let object = current.and_then(|object| serde_json::from_value(object.value.clone()).ok());
        if self
            .last_known
            .as_ref()
            .is_some_and(|last_known| last_known.version == version)
        {
            return;
        }
        if !self.is_own(object.as_ref()) {
            self.held = None;
        }
        self.last_known = Some(LastKnown {
            version,
            object,
            first_seen_at: asked_at,
        });
    }

    /// Discards what was read and written, because the platform was restored from a
    /// backup: the lease isn't held until it is read and written again.
    pub fn reset(&mut self) {
        if let Some(last_known) = self.last_known.take()
            && let Some(object) = last_known.object
        {
            self.highest_fence = self.highest_fence.max(object.fence);
        }
        self.held = None;
    }

    /// The action due now: takes over an expired lease, or renews its own.
    #[must_use]
    pub fn next_action(&self, now: Instant) -> LeaseAction {
        let Some(last_known) = &self.last_known else {
            return LeaseAction::Wait;
        };
        let fence = match (&last_known.object, &self.held) {
            (Some(object), Some(held)) if self.is_own(Some(object)) => {
                if now.saturating_duration_since(held.renewed_at)
                    < self.timing.duration / RENEWAL_DIVISOR
                {
                    return LeaseAction::Wait;
                }
                held.fence
            }
            (Some(object), _) if self.is_own(Some(object)) => self.next_fence(object.fence),
            (Some(object), _) => {
                let duration = Duration::from_millis(object.duration_ms);
                if now.saturating_duration_since(last_known.first_seen_at) < duration {
                    return LeaseAction::Wait;
                }
                self.next_fence(object.fence)
            }
            (None, _) => self.next_fence(last_known.version),
        };
        LeaseAction::Write {
            expected: last_known.version,
            object: LeaseObject {
                holder: self.instance.clone(),
                incarnation: self.incarnation,
                fence,
                duration_ms: millis(self.timing.duration),
                renewals: last_known
                    .object
                    .as_ref()
                    .map_or(0, |object| object.renewals + 1),
            },
        }
    }

    /// Records a successful write; `sent_at` is the time just before it was sent.
    pub fn on_written(&mut self, sent_at: Instant, version: ObjectVersion, object: LeaseObject) {
        let renewed = self.held.filter(|held| held.fence == object.fence);
        self.held = Some(HeldLease {
            fence: object.fence,
            held_since: renewed.map_or(sent_at, |held| held.held_since),
            renewed_at: sent_at,
        });
        self.last_known = Some(LastKnown {
            version,
            object: Some(object),
            first_seen_at: sent_at,
        });
    }

    /// Gives the lease up and returns the write that lets a rival take it at once;
    /// `None` if it isn't held. It counts as lost even if that write fails.
    #[must_use]
    pub fn release(&mut self) -> Option<(ObjectVersion, LeaseObject)> {
        let held = self.held.take()?;
        let last_known = self.last_known.as_ref()?;
        let renewals = last_known
            .object
            .as_ref()
            .map_or(0, |object| object.renewals + 1);
        let object = LeaseObject {
            holder: self.instance.clone(),
            incarnation: self.incarnation,
            fence: held.fence,
            duration_ms: 0,
            renewals,
        };
        Some((last_known.version, object))
    }

    /// The fence to send with an order, `None` if no order may be sent now.
    ///
    /// Call it just before each send. For an engine that doesn't check fences it
    /// returns a fence only after the former holder's lease duration and the pause
    /// bound have passed.
    #[must_use]
    pub fn fence_for(&self, now: Instant, checks_fences: bool) -> Option<u64> {
        let held = self.held?;
        let usable = self.timing.duration * (SAFETY_DIVISOR - 1) / SAFETY_DIVISOR;
        if now.saturating_duration_since(held.renewed_at) >= usable {
            return None;
        }
        let has_predecessor_expired = now.saturating_duration_since(held.held_since)
            >= self.timing.duration + self.timing.pause_bound;
        (checks_fences || has_predecessor_expired).then_some(held.fence)
    }

    /// The lease object as last read or written, whether or not it has expired.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaseObject> {
        self.last_known.as_ref()?.object.as_ref()
    }

    /// The fence of a new holder, above `fence` and all fences known before.
    fn next_fence(&self, fence: u64) -> u64 {
        fence.max(self.highest_fence) + 1
    }

    fn is_own(&self, object: Option<&LeaseObject>) -> bool {
        object.is_some_and(|object| {
            object.holder == self.instance && object.incarnation == self.incarnation
        })
    }
}
