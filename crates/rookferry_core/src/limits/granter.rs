//! Token bucket that grants the permits of one server to all instances.
//!
//! Load pattern: a server allows a few requests per second, and instances have three
//! times as many for it, unevenly distributed. Permits accrue at the server's stated
//! rate; a few may accumulate, so that intermittent requests can use the full rate.
//! Requests sent without a permit, before the limit was known or by the site itself,
//! count in the sliding window in which the server received them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use super::PermitRefusal;
use super::RequestRate;
use crate::millis::millis;
use crate::serving::Urgency;

/// Length of the sliding window over which the requests to a server are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Most permits that accumulate, and how many seconds of the rate are added to that,
/// which matters at high rates.
const BURST_PERMITS: f64 = 2.0;
const BURST_TIME_S: f64 = 0.25;
/// Most requests in a window: a multiple of what the rate allows, plus a number of
/// requests. A server tolerates 1.5 times its limit plus five requests.
const WINDOW_FACTOR: f64 = 1.25;
const WINDOW_EXTRA_REQUESTS: f64 = 3.0;
/// Most future permits that requests sent without a permit use up.
const MAX_DEBT: f64 = 1.0;
/// Upper bound of remembered requests in a window; limits that allow more don't need the
/// window's check.
const MAX_SENT: usize = 4_096;
/// How long the last permit is reserved for requests at least as urgent as a refused one.
const URGENT_RESERVATION: Duration = Duration::from_secs(1);
/// Time over which refusals are counted.
const REFUSAL_WINDOW: Duration = Duration::from_secs(1);
/// Upper bound of counted refusals.
const MAX_REFUSALS: usize = 1_024;
/// Extension of the time until the next permit request for each recent refusal, which
/// bounds the request rate of hundreds of waiting instances.
const PAUSE_PER_REFUSAL: Duration = Duration::from_millis(1);
/// Shortest and longest time until a permit is requested again.
const MIN_PAUSE: Duration = Duration::from_millis(10);
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Longest time over which retries are spread.
const MAX_SPREAD: Duration = Duration::from_secs(5);

/// Grants the permits of one server.
#[derive(Clone, Debug)]
pub struct PermitGranter {
    rate: RequestRate,
    permits: f64,
    refilled_at: Instant,
    /// Times of the requests sent or granted in the last window, in order.
    sent: VecDeque<Instant>,
    refusals: VecDeque<Instant>,
    /// The most urgent of the recent refusals, and its time.
    most_urgent_refusal: Option<(Urgency, Instant)>,
}

impl PermitGranter {
    /// A granter without a permit at first: another instance may just have granted the
    /// last one.
    #[must_use]
    pub const fn new(rate: RequestRate, now: Instant) -> Self {
        Self {
            rate,
            permits: 0.0,
            refilled_at: now,
            sent: VecDeque::new(),
            refusals: VecDeque::new(),
            most_urgent_refusal: None,
        }
    }

    /// Sets the limit from now on; requests sent under the former one still count.
    pub const fn set_rate(&mut self, rate: RequestRate) {
        self.rate = rate;
    }

    /// Records a request that an instance sent without a permit, some time ago.
    pub fn record_sent(&mut self, ago: Duration, now: Instant) {
        let at = now.checked_sub(ago).unwrap_or(now);
        let position = self.sent.partition_point(|sent| *sent <= at);
        self.sent.insert(position, at);
        self.permits = (self.permits - 1.0).max(-MAX_DEBT);
        self.prune(now);
    }

    /// Takes a permit for a request to be sent now. `share` is the fraction of the limit
    /// that this granter may grant.
    ///
    /// # Errors
    ///
    /// If there is no permit, with the time until the next permit request.
    pub fn take(
        &mut self,
        urgency: Urgency,
        share: f64,
        now: Instant,
    ) -> Result<(), PermitRefusal> {
        self.refill(share, now);
        self.prune(now);
        let needed = self.needed(urgency, now);
        if self.permits >= needed && !self.is_window_full() {
            self.permits -= 1.0;
            self.sent.push_back(now);
            return Ok(());
        }
        self.record_refusal(urgency, now);
        Err(self.refusal(needed, share, now))
    }

    /// Permits that must be available: less urgent requests leave one for a more urgent
    /// request that was refused recently.
    fn needed(&self, urgency: Urgency, now: Instant) -> f64 {
        let is_reserved = self.most_urgent_refusal.is_some_and(|(refused, at)| {
            refused < urgency && now.saturating_duration_since(at) < URGENT_RESERVATION
        });
        if is_reserved { 2.0 } else { 1.0 }
    }

    fn refill(&mut self, share: f64, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        self.refilled_at = now;
        let max_permits = BURST_PERMITS + self.rate.per_s() * BURST_TIME_S;
        let accrued = elapsed.as_secs_f64() * self.rate.per_s() * share;
        self.permits = (self.permits + accrued).min(max_permits);
    }

    fn prune(&mut self, now: Instant) {
        prune_older_than(&mut self.sent, WINDOW, now);
        prune_older_than(&mut self.refusals, REFUSAL_WINDOW, now);
        while self.sent.len() > MAX_SENT {
            self.sent.pop_front();
        }
    }

    /// Most requests in a window.
    fn max_in_window(&self) -> f64 {
        self.rate.per_s() * WINDOW.as_secs_f64() * WINDOW_FACTOR + WINDOW_EXTRA_REQUESTS
    }

    fn is_window_full(&self) -> bool {
        self.sent.len() as f64 + 1.0 > self.max_in_window()
    }

    fn record_refusal(&mut self, urgency: Urgency, now: Instant) {
        if self.refusals.len() < MAX_REFUSALS {
            self.refusals.push_back(now);
        }
        let is_most_urgent = self.most_urgent_refusal.is_none_or(|(refused, at)| {
            urgency <= refused || now.saturating_duration_since(at) >= URGENT_RESERVATION
        });
        if is_most_urgent {
            self.most_urgent_refusal = Some((urgency, now));
        }
    }

    fn refusal(&self, needed: f64, share: f64, now: Instant) -> PermitRefusal {
        let per_s = self.rate.per_s();
        let until_accrued = seconds((needed - self.permits) / (per_s * share), MAX_PAUSE);
        let until_window_frees = self.until_window_frees(now);
        let refusals = u32::try_from(self.refusals.len()).unwrap_or(u32::MAX);
        let pause =
            until_accrued.max(until_window_frees) + PAUSE_PER_REFUSAL.saturating_mul(refusals);
        let spread = seconds(self.refusals.len() as f64 / (per_s * share), MAX_SPREAD);
        PermitRefusal {
            ask_again_ms: millis(pause.clamp(MIN_PAUSE, MAX_PAUSE)),
            spread_ms: millis(spread),
        }
    }

    /// The time until enough requests have left a full window to allow another.
    fn until_window_frees(&self, now: Instant) -> Duration {
        let excess = self.sent.len() as f64 + 1.0 - self.max_in_window();
        let mut sent = self.sent.iter().enumerate();
        let last = sent.find(|(index, _)| *index as f64 + 1.0 >= excess);
        match last {
            Some((_, at)) if excess > 0.0 => (*at + WINDOW).saturating_duration_since(now),
            _ => Duration::ZERO,
        }
    }
}

fn prune_older_than(times: &mut VecDeque<Instant>, max_age: Duration, now: Instant) {
    let is_old = |at: &Instant| now.saturating_duration_since(*at) > max_age;
    while times.front().is_some_and(is_old) {
        times.pop_front();
    }
}

/// A number of seconds as a duration from 0 to `longest`.
fn seconds(seconds: f64, longest: Duration) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).map_or(longest, |time| time.min(longest))
}
