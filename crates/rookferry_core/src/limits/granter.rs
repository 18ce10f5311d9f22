//! Counts the requests to one server for all instances.
//!
//! Load pattern: a server takes a few requests a second, and some instances have
//! three times as many for it, unevenly. Permits are made at the rate that it
//! named; a few wait to be asked for, so that none is lost where requests come
//! now and then. What was sent without one, before the limit was known or by the
//! site itself, counts in the span in which the server had it to bear.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::PermitRefusal;
use super::RequestRate;
use crate::millis::millis;
use crate::serving::Urgency;

/// The span that what a server gets is looked at over.
const SPAN: Duration = Duration::from_secs(4);
/// Permits that wait to be asked for at most, and the time of the rate that they
/// are more by where it is high.
const WAITING_PERMITS: f64 = 2.0;
const WAITING_TIME_S: f64 = 0.25;
/// What all that is sent in a span may come to, as a part of what the limit allows
/// in it, and in requests besides; a server bears half as much again and five.
const MOST_IN_SPAN: f64 = 1.25;
const MOST_IN_SPAN_BESIDES: f64 = 3.0;
/// What was sent without permits takes at most this many of those to come.
const MOST_OWED: f64 = 1.0;
/// Most that is remembered of a span; limits that allow more don't need it.
const MOST_REMEMBERED: usize = 4_096;
/// How long a refusal keeps those behind from taking the last permit.
const URGENT_KEPT: Duration = Duration::from_secs(1);
/// Over what time refusals are counted.
const REFUSALS_COUNTED: Duration = Duration::from_secs(1);
/// Refusals that are counted at most.
const MOST_REFUSALS: usize = 1_024;
/// What one question more a second adds to the time until the next, so that
/// hundreds of instances that wait don't ask at each moment.
const PAUSE_A_QUESTION: Duration = Duration::from_millis(1);
/// The shortest and the longest time until a question is asked again.
const LEAST_PAUSE: Duration = Duration::from_millis(10);
const LONGEST_PAUSE: Duration = Duration::from_secs(4);
/// The longest time that those who are refused come back over.
const LONGEST_SPREAD: Duration = Duration::from_secs(5);

/// Grants the permits for one server.
#[derive(Clone, Debug)]
pub struct PermitGranter {
    rate: RequestRate,
    permits: f64,
    refilled_at: Instant,
    /// What was sent, or granted, in the last span; in order.
    sent: VecDeque<Instant>,
    refusals: VecDeque<Instant>,
    /// The most urgent that was refused lately.
    urgent: Option<(Urgency, Instant)>,
}

impl PermitGranter {
    /// Begins with no permit: another instance may just have granted the last.
    #[must_use]
    pub const fn new(rate: RequestRate, now: Instant) -> Self {
        Self {
            rate,
            permits: 0.0,
            refilled_at: now,
            sent: VecDeque::new(),
            refusals: VecDeque::new(),
            urgent: None,
        }
    }

    /// The server named another limit. It holds from now on, and what was sent
    /// under the former still counts.
    pub const fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
    }

    /// An instance sent something some time ago without a permit.
    pub fn note_sent(&mut self, ago: Duration, now: Instant) {
        let at = now.checked_sub(ago).unwrap_or(now);
        let place = self.sent.partition_point(|sent| *sent <= at);
        self.sent.insert(place, at);
        self.permits = (self.permits - 1.0).max(-MOST_OWED);
        self.forget(now);
    }

    /// Whether a request may be sent now; `share` is the part of the limit that
    /// this granter has.
    ///
    /// # Errors
    ///
    /// If it may not, with the time at which it may be asked again.
    pub fn take(
        &mut self,
        urgency: Urgency,
        share: f64,
        now: Instant,
    ) -> Result<(), PermitRefusal> {
        self.refill(share, now);
        self.forget(now);
        let needed = self.needed(urgency, now);
        if self.permits >= needed && !self.is_span_full() {
            self.permits -= 1.0;
            self.sent.push_back(now);
            return Ok(());
        }
        self.note_refusal(urgency, now);
        Err(self.refusal(needed, share, now))
    }

    /// Permits that must be there: less urgent ones leave one for those that were
    /// refused before them.
    fn needed(&self, urgency: Urgency, now: Instant) -> f64 {
        let waits = self.urgent.is_some_and(|(urgent, at)| {
            urgent < urgency && now.saturating_duration_since(at) < URGENT_KEPT
        });
        if waits { 2.0 } else { 1.0 }
    }

    fn refill(&mut self, share: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let most = WAITING_PERMITS + self.rate.per_s() * WAITING_TIME_S;
        let made = passed.as_secs_f64() * self.rate.per_s() * share;
        self.permits = (self.permits + made).min(most);
    }

    fn forget(&mut self, now: Instant) {
        forget_before(&mut self.sent, SPAN, now);
        forget_before(&mut self.refusals, REFUSALS_COUNTED, now);
        while self.sent.len() > MOST_REMEMBERED {
            self.sent.pop_front();
        }
    }

    /// What may be sent in a span, in requests.
    fn most_in_span(&self) -> f64 {
        self.rate.per_s() * SPAN.as_secs_f64() * MOST_IN_SPAN + MOST_IN_SPAN_BESIDES
    }

    fn is_span_full(&self) -> bool {
        self.sent.len() as f64 + 1.0 > self.most_in_span()
    }

    fn note_refusal(&mut self, urgency: Urgency, now: Instant) {
        if self.refusals.len() < MOST_REFUSALS {
            self.refusals.push_back(now);
        }
        let is_most = self.urgent.is_none_or(|(urgent, at)| {
            urgency <= urgent || now.saturating_duration_since(at) >= URGENT_KEPT
        });
        if is_most {
            self.urgent = Some((urgency, now));
        }
    }

    fn refusal(&self, needed: f64, share: f64, now: Instant) -> PermitRefusal {
        let per_s = self.rate.per_s();
        let until_made = seconds((needed - self.permits) / (per_s * share), LONGEST_PAUSE);
        let until_room = self.until_room(now);
        let refusals = u32::try_from(self.refusals.len()).unwrap_or(u32::MAX);
        let pause = until_made.max(until_room) + PAUSE_A_QUESTION.saturating_mul(refusals);
        let spread = seconds(self.refusals.len() as f64 / (per_s * share), LONGEST_SPREAD);
        PermitRefusal {
            ask_again_ms: millis(pause.clamp(LEAST_PAUSE, LONGEST_PAUSE)),
            spread_ms: millis(spread),
        }
    }

    /// The time until enough of a full span has gone by.
    fn until_room(&self, now: Instant) -> Duration {
        let over = self.sent.len() as f64 + 1.0 - self.most_in_span();
        let mut sent = self.sent.iter().enumerate();
        let last = sent.find(|(index, _)| *index as f64 + 1.0 >= over);
        match last {
            Some((_, at)) if over > 0.0 => (*at + SPAN).saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }
}

fn forget_before(times: &mut VecDeque<Instant>, kept: Duration, now: Instant) {
    let is_old = |at: &Instant| now.saturating_duration_since(*at) > kept;
    while times.front().is_some_and(is_old) {
        times.pop_front();
    }
}

/// A time in seconds, between nothing and a longest; what is no number is that.
fn seconds(seconds: f64, longest: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(longest, |time| time.min(longest))
}
