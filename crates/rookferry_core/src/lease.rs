//! A lease in a platform object: one holder a failure domain, with a fence.
//!
//! The platform's objects carry no clock. A holder counts its time from just
//! before it sent the write that renewed the lease. Everyone else counts from
//! when it first saw the object's version; a version that stays the same for
//! the lease's duration may be taken over, with a higher fence. All times are
//! monotonic and local, so that no clocks are compared.

use std::time::Duration;
use std::time::Instant;

use rookferry_wire::Incarnation;
use rookferry_wire::InstanceId;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use serde::Deserialize;
use serde::Serialize;

use crate::millis::millis;

/// The part of its time that a holder doesn't use.
const SAFETY_PART: u32 = 4;
/// The part of its time after which a holder renews.
const RENEW_PART: u32 = 3;

/// The lease's object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseObject {
    /// The holder.
    pub holder: InstanceId,
    /// The holder's run.
    pub incarnation: Incarnation,
    /// Rises with each change of holder.
    pub fence: u64,
    /// How long it lasts from its last write.
    pub duration_ms: u64,
    /// Rises with each write, so that a renewal is always a change: a
    /// platform may keep the version of an object that is written as it was.
    #[serde(default)]
    pub renewals: u64,
}

/// How the holder and its rivals count time.
#[derive(Clone, Copy, Debug)]
pub struct LeaseTiming {
    /// How long a lease lasts.
    pub duration: Duration,
    /// How long a sender may be paused between its check and its sending; a
    /// new holder waits it out before orders to engines that don't check
    /// fences.
    pub pause_bound: Duration,
}

/// What to do about the lease now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Nothing yet.
    Wait,
    /// Write this over this version; on success call [`Lease::written`].
    Write {
        /// The version that must be current.
        expected: ObjectVersion,
        /// The object.
        object: LeaseObject,
    },
}

#[derive(Clone, Debug)]
struct Seen {
    version: ObjectVersion,
    object: Option<LeaseObject>,
    first_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Held {
    fence: u64,
    since: Instant,
    renewed_at: Instant,
}

/// One instance's view of a lease.
#[derive(Clone, Debug)]
pub struct Lease {
    own: InstanceId,
    incarnation: Incarnation,
    timing: LeaseTiming,
    seen: Option<Seen>,
    held: Option<Held>,
    /// The highest fence that was seen before what was seen became void.
    highest_fence: u64,
}

impl Lease {
    /// A lease of which nothing is known.
    #[must_use]
    pub const fn new(own: InstanceId, incarnation: Incarnation, timing: LeaseTiming) -> Self {
        Self {
            own,
            incarnation,
            timing,
            seen: None,
            held: None,
            highest_fence: 0,
        }
    }

    /// The object was read, or came with a conflict; `asked_at` is when the
    /// read was sent.
    pub fn observed(&mut self, asked_at: Instant, current: Option<&Object>) {
        let version = current.map_or(0, |object| object.version);
        let object = current.and_then(|object| serde_json::from_value(object.value.clone()).ok());
        if self
            .seen
            .as_ref()
            .is_some_and(|seen| seen.version == version)
        {
            return;
        }
        if !self.is_own(object.as_ref()) {
            self.held = None;
        }
        self.seen = Some(Seen {
            version,
            object,
            first_at: asked_at,
        });
    }

    /// What was read and written is void, as the platform was restored from a copy:
    /// the lease isn't held until it is read and written again.
    pub fn forget(&mut self) {
        if let Some(seen) = self.seen.take()
            && let Some(object) = seen.object
        {
            self.highest_fence = self.highest_fence.max(object.fence);
        }
        self.held = None;
    }

    /// What to do now.
    #[must_use]
    pub fn next(&self, now: Instant) -> LeaseAction {
        let Some(seen) = &self.seen else {
            return LeaseAction::Wait;
        };
        let fence = match (&seen.object, &self.held) {
            (Some(object), Some(held)) if self.is_own(Some(object)) => {
                if now.saturating_duration_since(held.renewed_at)
                    < self.timing.duration / RENEW_PART
                {
                    return LeaseAction::Wait;
                }
                held.fence
            }
            (Some(object), _) if self.is_own(Some(object)) => self.fence_after(object.fence),
            (Some(object), _) => {
                let duration = Duration::from_millis(object.duration_ms);
                if now.saturating_duration_since(seen.first_at) < duration {
                    return LeaseAction::Wait;
                }
                self.fence_after(object.fence)
            }
            (None, _) => self.fence_after(seen.version),
        };
        LeaseAction::Write {
            expected: seen.version,
            object: LeaseObject {
                holder: self.own.clone(),
                incarnation: self.incarnation,
                fence,
                duration_ms: millis(self.timing.duration),
                renewals: seen.object.as_ref().map_or(0, |object| object.renewals + 1),
            },
        }
    }

    /// The write took effect; `sent_at` is from just before it was sent.
    pub fn written(&mut self, sent_at: Instant, version: ObjectVersion, object: LeaseObject) {
        let renewed = self.held.filter(|held| held.fence == object.fence);
        self.held = Some(Held {
            fence: object.fence,
            since: renewed.map_or(sent_at, |held| held.since),
            renewed_at: sent_at,
        });
        self.seen = Some(Seen {
            version,
            object: Some(object),
            first_at: sent_at,
        });
    }

    /// The write that gives the lease up, so that a rival needn't wait; `None`
    /// if it isn't held. The lease counts as lost from then on.
    #[must_use]
    pub fn release(&mut self) -> Option<(ObjectVersion, LeaseObject)> {
        let held = self.held.take()?;
        let seen = self.seen.as_ref()?;
        let renewals = seen.object.as_ref().map_or(0, |object| object.renewals + 1);
        let object = LeaseObject {
            holder: self.own.clone(),
            incarnation: self.incarnation,
            fence: held.fence,
            duration_ms: 0,
            renewals,
        };
        Some((seen.version, object))
    }

    /// The fence, if an order may be sent at this moment.
    ///
    /// To be called just before each sending. For an engine that doesn't
    /// check fences the former holder's time and the pause bound must have
    /// gone by first.
    #[must_use]
    pub fn fence_for(&self, now: Instant, checks_fences: bool) -> Option<u64> {
        let held = self.held?;
        let usable = self.timing.duration * (SAFETY_PART - 1) / SAFETY_PART;
        if now.saturating_duration_since(held.renewed_at) >= usable {
            return None;
        }
        let is_waited_out = now.saturating_duration_since(held.since)
            >= self.timing.duration + self.timing.pause_bound;
        (checks_fences || is_waited_out).then_some(held.fence)
    }

    /// The holder as last seen.
    #[must_use]
    pub fn holder(&self) -> Option<&LeaseObject> {
        self.seen.as_ref()?.object.as_ref()
    }

    /// The fence of the holder that follows one with another.
    fn fence_after(&self, fence: u64) -> u64 {
        fence.max(self.highest_fence) + 1
    }

    fn is_own(&self, object: Option<&LeaseObject>) -> bool {
        object.is_some_and(|object| {
            object.holder == self.own && object.incarnation == self.incarnation
        })
    }
}
