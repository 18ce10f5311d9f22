//! What an instance keeps of the servers with a limit: which permits it was
//! refused, and what it sent that the granter doesn't know of.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::PermitRefusal;
use crate::millis::millis;
use crate::serving::ServerKey;
use crate::serving::Urgency;

/// How long back what was sent is told to a granter: what a server got shortly
/// before it named a limit, it still has to bear.
const SENT_KEPT: Duration = Duration::from_secs(1);
/// Most that is remembered of it.
const MOST_SENT: usize = 4_096;
/// The part by which the time until the next question is drawn out at most, so
/// that instances that were refused together don't ask together.
const DRAWN_OUT: f64 = 0.5;

#[derive(Clone, Copy, Debug)]
struct Refused {
    until: Instant,
    /// The most urgent that was refused until then.
    urgency: Urgency,
    spread: Duration,
}

/// What an instance was refused, and sent.
#[derive(Clone, Debug, Default)]
pub struct PermitBook {
    refused: HashMap<ServerKey, Refused>,
    /// What was sent lately without a permit, in order.
    sent: VecDeque<(Instant, ServerKey)>,
}

impl PermitBook {
    /// Nothing was refused or sent.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A permit was refused; `chance`, from 0 to 1, draws the time out.
    pub fn note_refused(
        &mut self,
        server: ServerKey,
        urgency: Urgency,
        refusal: PermitRefusal,
        chance: f64,
        now: Instant,
    ) {
        let pause = Duration::from_millis(refusal.ask_again_ms);
        let pause = pause.mul_f64(1.0 + chance.clamp(0.0, 1.0) * DRAWN_OUT);
        let until = now + pause;
        let spread = Duration::from_millis(refusal.spread_ms);
        let refused = Refused {
            until,
            urgency,
            spread,
        };
        let known = self.refused.entry(server).or_insert(refused);
        if known.until <= now || urgency <= known.urgency {
            *known = refused;
        }
    }

    /// When permits of a server may be asked for again for a request, if not now.
    /// More urgent ones than those that were refused aren't kept from it.
    #[must_use]
    pub fn refused_until(
        &self,
        server: ServerKey,
        urgency: Urgency,
        now: Instant,
    ) -> Option<Instant> {
        let refused = self.refused.get(&server)?;
        let holds = refused.until > now && refused.urgency <= urgency;
        holds.then_some(refused.until)
    }

    /// Over what time those that were refused a server's permits come back.
    #[must_use]
    pub fn spread(&self, server: ServerKey) -> Duration {
        let refused = self.refused.get(&server);
        refused.map_or(Duration::ZERO, |refused| refused.spread)
    }

    /// A server's limit is over, or another one.
    pub fn forget(&mut self, server: ServerKey) {
        self.refused.remove(&server);
    }

    /// Something was sent to a server without a permit.
    pub fn note_sent(&mut self, server: ServerKey, now: Instant) {
        self.expire(now);
        if self.sent.len() < MOST_SENT {
            self.sent.push_back((now, server));
        }
    }

    /// What was sent to a server lately and isn't told yet, in milliseconds ago.
    #[must_use]
    pub fn take_sent(&mut self, server: ServerKey, now: Instant) -> Vec<u16> {
        self.expire(now);
        let untold = self.sent.iter().filter(|(_, sent_to)| *sent_to == server);
        let ago = untold.map(|(at, _)| millis(now.saturating_duration_since(*at)));
        let ago = ago
            .map(|ago_ms| u16::try_from(ago_ms).unwrap_or(u16::MAX))
            .collect();
        self.sent.retain(|(_, sent_to)| *sent_to != server);
        ago
    }

    fn expire(&mut self, now: Instant) {
        let is_old =
            |(at, _): &(Instant, ServerKey)| now.saturating_duration_since(*at) > SENT_KEPT;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
        self.refused.retain(|_, refused| refused.until > now);
    }
}
