//! An instance's own record for servers with a limit: the permits that it was refused,
//! and the requests that it sent without one and hasn't reported to the granter yet.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::PermitRefusal;
use crate::millis::millis;
use crate::serving::ServerKey;
use crate::serving::Urgency;

/// Age up to which sent requests are reported to a granter: requests sent shortly before
/// a server stated its limit still add to its load.
const MAX_SENT_AGE: Duration = Duration::from_secs(1);
/// Upper bound of remembered sent requests.
const MAX_SENT: usize = 4_096;
/// Largest random extension of the time until the next permit request, as a fraction of
/// it, so that instances that were refused together don't retry together.
const MAX_PAUSE_EXTENSION: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Refusal {
    until: Instant,
    /// Urgency of the most urgent request that was refused.
    urgency: Urgency,
    spread: Duration,
}

/// The permits that an instance was refused, and its requests sent without a permit.
#[derive(Clone, Debug, Default)]
pub struct PermitTracker {
    refused: HashMap<ServerKey, Refusal>,
    /// Unreported requests that were recently sent without a permit, in order of time.
    sent: VecDeque<(Instant, ServerKey)>,
}

impl PermitTracker {
    /// An empty record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a refused permit. `extension`, random from 0 to 1, lengthens the time
    /// until the next permit request.
    pub fn record_refusal(
        &mut self,
        server: ServerKey,
        urgency: Urgency,
        refusal: PermitRefusal,
        extension: f64,
        now: Instant,
    ) {
        let pause = Duration::from_millis(refusal.ask_again_ms);
        let pause = pause.mul_f64(1.0 + extension.clamp(0.0, 1.0) * MAX_PAUSE_EXTENSION);
        let until = now + pause;
        let spread = Duration::from_millis(refusal.spread_ms);
        let refused = Refusal {
            until,
            urgency,
            spread,
        };
        let known = self.refused.entry(server).or_insert(refused);
        if known.until <= now || urgency <= known.urgency {
            *known = refused;
        }
    }

    /// When a permit of a server may be requested again for a request of this urgency;
    /// none if it may be now. A request more urgent than the refused ones doesn't wait.
    #[must_use]
    pub fn refused_until(
        &self,
        server: ServerKey,
        urgency: Urgency,
        now: Instant,
    ) -> Option<Instant> {
        let refused = self.refused.get(&server)?;
        let applies = refused.until > now && refused.urgency <= urgency;
        applies.then_some(refused.until)
    }

    /// The time over which retries of a server's refused requests are spread.
    #[must_use]
    pub fn spread(&self, server: ServerKey) -> Duration {
        let refused = self.refused.get(&server);
        refused.map_or(Duration::ZERO, |refused| refused.spread)
    }

    /// Clears the refusal of a server whose limit changed or was lifted.
    pub fn clear_refusal(&mut self, server: ServerKey) {
        self.refused.remove(&server);
    }

    /// Records a request that was sent to a server without a permit.
    pub fn record_sent(&mut self, server: ServerKey, now: Instant) {
        self.expire(now);
        if self.sent.len() < MAX_SENT {
            self.sent.push_back((now, server));
        }
    }

    /// Removes the unreported requests to a server and returns their ages in
    /// milliseconds, to report them to the granter.
    #[must_use]
    pub fn take_sent(&mut self, server: ServerKey, now: Instant) -> Vec<u16> {
        self.expire(now);
        let unreported = self.sent.iter().filter(|(_, sent_to)| *sent_to == server);
        let ago = unreported.map(|(at, _)| millis(now.saturating_duration_since(*at)));
        let ago = ago
            .map(|ago_ms| u16::try_from(ago_ms).unwrap_or(u16::MAX))
            .collect();
        self.sent.retain(|(_, sent_to)| *sent_to != server);
        ago
    }

    fn expire(&mut self, now: Instant) {
        let is_old =
            |(at, _): &(Instant, ServerKey)| now.saturating_duration_since(*at) > MAX_SENT_AGE;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.refused.retain(|_, refused| refused.until > now);
    }
}
