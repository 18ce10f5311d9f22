//! Schedule of the retries of refused requests.
//!
//! Each refused caller gets a slot at a time when capacity is predicted for its urgency.
//! The rates are observed in buckets and averaged exponentially. While on-time arrivals
//! alone exceed the highest recent admission rate, the site is overloaded, and slots start
//! after the predicted end of the overload: a caller that retries within it is refused for
//! good. Retries don't count as on-time arrivals, so they don't prolong the overload.
//!
//! A slot moves the next slots of its urgency and of less urgent ones by the time that the
//! capacity for retries needs for one request. Callers wait for at most a third of their
//! remaining time, so a slot beyond that isn't used, and doesn't move the schedule.

use std::collections::BTreeMap;
use std::time::Duration;
use std::time::Instant;

use crate::serving::admission_queue::Urgency;

/// Interval over which requests are counted. At some ten requests/s it holds enough of
/// them for a rate.
const BUCKET: Duration = Duration::from_millis(500);
/// Weight of the latest bucket in an averaged rate. Three buckets after a load that was
/// three times the capacity, the average is back below the capacity.
const BUCKET_WEIGHT: f64 = 0.5;
/// Factor per bucket on the highest admission rate, which so follows a capacity that has
/// fallen within some 15 s, and outlasts the pauses between bursts.
const HIGHEST_DECAY: f64 = 0.97;
/// On-time arrivals above this multiple of the highest admission rate are an overload.
const OVERLOAD_FACTOR: f64 = 1.1;
/// Lowest rate that is assumed, in requests/s. Lower ones can't be told from zero.
const MIN_RATE_PER_S: f64 = 0.5;
/// Predicted remaining time of an overload, as a multiple of the time that it has lasted.
const REMAINING_FACTOR: u32 = 2;
/// Shortest predicted remaining time of an overload.
const MIN_REMAINING: Duration = Duration::from_secs(1);
/// Longest predicted remaining time of an overload. It is below the third of a timeout of
/// 20 s, after which callers retry in any case.
const MAX_REMAINING: Duration = Duration::from_secs(4);
/// Share of the highest admission rate that retries get in an overload, and after its
/// predicted end, when the rate of new requests isn't known.
const OVERLOAD_SHARE: f64 = 0.5;
/// Lowest share of the highest admission rate that retries get. Without it, one slot would
/// block the schedule while new requests use all capacity.
const MIN_SHARE: f64 = 0.25;
/// Time until the first slot: some requests have finished by then.
const FIRST_SLOT: Duration = Duration::from_millis(100);
/// Lower end of the spread, as a factor on the time until the first slot; the upper end is
/// as far above 1.
const SPREAD_FROM: f64 = 0.5;
/// Latest slot without an overload. Retries that are refused after an overload book slots
/// although most of them don't return, so slots beyond this are no prediction.
const MAX_CALM_WAIT: Duration = Duration::from_millis(900);
/// Shortest stated time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);
/// Latest slot. Callers give up before; it bounds the schedule for an excessive remaining
/// time.
const MAX_RETRY_AFTER: Duration = Duration::from_mins(1);
/// Callers wait for at most their remaining time divided by this.
const WAIT_DIVISOR: u32 = 3;
/// Kept urgencies. Further ones share the entry of the next less urgent one.
const MAX_URGENCIES: usize = 8;

/// When a refused caller is to retry, and the figures that this results from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReturnSlot {
    /// Time after which to retry.
    pub retry_after: Duration,
    /// How long the overload has lasted; zero without one.
    pub lasted: Duration,
    /// Capacity for retries of the urgency, in requests/s.
    pub room_per_s: f64,
}

/// Rate of requests by buckets.
#[derive(Clone, Copy, Debug, Default)]
struct AveragedRate {
    /// Average over the buckets that have ended.
    average_per_s: f64,
    /// Requests in the present bucket.
    count: u32,
}

impl AveragedRate {
    fn record(&mut self) {
        self.count = self.count.saturating_add(1);
    }

    fn end_bucket(&mut self) {
        self.average_per_s = self.average_with(self.count);
        self.count = 0;
    }

    /// Skips further buckets without requests.
    fn skip_buckets(&mut self, empty: i32) {
        self.average_per_s *= (1.0 - BUCKET_WEIGHT).powi(empty);
    }

    fn average_with(&self, count: u32) -> f64 {
        let bucket_per_s = f64::from(count) / BUCKET.as_secs_f64();
        self.average_per_s + (bucket_per_s - self.average_per_s) * BUCKET_WEIGHT
    }

    /// The average, or what it will at least be after the present bucket, if that is more.
    fn present_per_s(&self) -> f64 {
        self.average_per_s.max(self.average_with(self.count))
    }

    /// The same without the latest request, which isn't admitted or refused yet.
    fn decided_per_s(&self) -> f64 {
        let decided = self.average_with(self.count.saturating_sub(1));
        self.average_per_s.max(decided)
    }
}

/// Deviation of an averaged rate, in requests/s, of independent arrivals at this rate. An
/// overload begins only beyond it, since otherwise random arrivals below the capacity look
/// like one.
fn standard_deviation(rate_per_s: f64) -> f64 {
    let variance_share = BUCKET_WEIGHT / (2.0 - BUCKET_WEIGHT);
    (rate_per_s / BUCKET.as_secs_f64() * variance_share).sqrt()
}

/// On-time arrivals and the schedule of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct UrgencyEntry {
    on_time: AveragedRate,
    /// `None` if no slot has been assigned since the last overload.
    next_slot: Option<Instant>,
}

/// Rates and retry slots of one service at one instance.
#[derive(Clone, Debug, Default)]
pub struct ReturnSchedule {
    bucket_start: Option<Instant>,
    /// Whether a bucket has ended, so that rates are known.
    is_known: bool,
    on_time: AveragedRate,
    admitted: AveragedRate,
    /// Highest recent admission rate over the buckets that have ended.
    highest_per_s: f64,
    overloaded_since: Option<Instant>,
    urgencies: BTreeMap<Urgency, UrgencyEntry>,
}

impl ReturnSchedule {
    /// No requests yet.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a request has arrived. A late one, such as a retry, doesn't count
    /// towards an overload.
    pub fn record_arrival(&mut self, urgency: Urgency, is_late: bool, now: Instant) {
        self.advance(now);
        if !is_late {
            self.on_time.record();
            self.entry(urgency).on_time.record();
        }
        self.update_overload();
    }

    /// Records that a request is admitted, whether on time or late. All urgencies share the
    /// capacity, so the rate is that of all of them.
    pub fn record_admission(&mut self, _urgency: Urgency, now: Instant) {
        self.advance(now);
        self.admitted.record();
        self.update_overload();
    }

    /// Assigns a slot to a refused request whose caller has `time_left`. `chance`, from 0 to
    /// 1, is drawn per request and spreads the first slots.
    pub fn refuse(
        &mut self,
        urgency: Urgency,
        time_left: Duration,
        chance: f64,
        now: Instant,
    ) -> ReturnSlot {
        let now = self.advance(now);
        self.update_overload();
        let chance = if chance.is_nan() { 0.5 } else { chance };
        let chance = chance.clamp(0.0, 1.0);
        let room_per_s = self.room_per_s(urgency);
        let lasted = self
            .overloaded_since
            .map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        let is_overloaded = self.overloaded_since.is_some();

        let spread = SPREAD_FROM + chance * 2.0 * (1.0 - SPREAD_FROM);
        let mut first_wait = FIRST_SLOT.mul_f64(spread);
        if is_overloaded {
            let remaining = lasted.saturating_mul(REMAINING_FACTOR);
            first_wait += remaining.clamp(MIN_REMAINING, MAX_REMAINING);
        }
        let next_slot = self.entry(urgency).next_slot;
        let wait = next_slot
            .map_or(Duration::ZERO, |slot| slot.saturating_duration_since(now))
            .max(first_wait);

        let is_beyond_calm = !is_overloaded && wait > MAX_CALM_WAIT;
        if !is_beyond_calm && wait <= time_left / WAIT_DIVISOR {
            let interval = Duration::from_secs_f64(1.0 / room_per_s);
            self.book(urgency, wait, interval, now);
        }
        let retry_after = if is_beyond_calm {
            MAX_CALM_WAIT.mul_f64(SPREAD_FROM + chance * (1.0 - SPREAD_FROM))
        } else {
            wait
        };
        ReturnSlot {
            retry_after: retry_after.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            lasted,
            room_per_s,
        }
    }

    /// Moves the next slots of an urgency and of all less urgent ones.
    fn book(&mut self, urgency: Urgency, wait: Duration, interval: Duration, now: Instant) {
        let key = self.key(urgency);
        for entry in self.urgencies.range_mut(key..).map(|(_, entry)| entry) {
            let before = entry
                .next_slot
                .map_or(Duration::ZERO, |slot| slot.saturating_duration_since(now));
            let after = before.max(wait).saturating_add(interval);
            entry.next_slot = now.checked_add(after.min(MAX_RETRY_AFTER));
        }
    }

    /// Capacity for retries of an urgency.
    fn room_per_s(&self, urgency: Urgency) -> f64 {
        let highest_per_s = self.highest_per_s();
        let room_per_s = if self.overloaded_since.is_some() {
            highest_per_s * OVERLOAD_SHARE
        } else {
            let entries = self.urgencies.range(..=self.key(urgency));
            let on_time_per_s: f64 = entries
                .map(|(_, entry)| entry.on_time.present_per_s())
                .sum();
            highest_per_s - on_time_per_s
        };
        room_per_s
            .max(highest_per_s * MIN_SHARE)
            .max(MIN_RATE_PER_S)
    }

    fn highest_per_s(&self) -> f64 {
        self.highest_per_s.max(self.admitted.present_per_s())
    }

    /// Ends the buckets before `now`. Returns `now`, or the start of the present bucket if
    /// that is later.
    fn advance(&mut self, now: Instant) -> Instant {
        let start = *self.bucket_start.get_or_insert(now);
        let elapsed = now.saturating_duration_since(start);
        let ended = elapsed.as_millis() / BUCKET.as_millis();
        if ended == 0 {
            return now.max(start);
        }
        let empty = i32::try_from(ended - 1).unwrap_or(i32::MAX);
        self.is_known = true;
        self.admitted.end_bucket();
        self.highest_per_s = (self.highest_per_s * HIGHEST_DECAY).max(self.admitted.average_per_s);
        self.highest_per_s *= HIGHEST_DECAY.powi(empty);
        self.admitted.skip_buckets(empty);
        let entries = self.urgencies.values_mut();
        let on_time_rates = entries.map(|entry| &mut entry.on_time);
        for rate in on_time_rates.chain([&mut self.on_time]) {
            rate.end_bucket();
            rate.skip_buckets(empty);
        }
        // Urgencies that aren't used any more make room for others.
        self.urgencies.retain(|_, entry| {
            entry.on_time.average_per_s >= MIN_RATE_PER_S / 100.0
                || entry.next_slot.is_some_and(|slot| slot > now)
        });
        let into_bucket = elapsed.as_nanos() % BUCKET.as_nanos();
        let into_bucket = Duration::from_nanos(u64::try_from(into_bucket).unwrap_or(0));
        self.bucket_start = now.checked_sub(into_bucket).or(Some(now));
        now
    }

    /// Begins or ends the overload. Its end drops the slots that were booked for it.
    fn update_overload(&mut self) {
        let limit_per_s = self.highest_per_s().max(MIN_RATE_PER_S) * OVERLOAD_FACTOR;
        let on_time_per_s = self.on_time.decided_per_s();
        let has_begun = on_time_per_s > limit_per_s + standard_deviation(limit_per_s);
        if self.overloaded_since.is_none() && self.is_known && has_begun {
            self.overloaded_since = self.bucket_start;
        }
        if self.overloaded_since.is_some() && on_time_per_s <= limit_per_s {
            self.overloaded_since = None;
            for entry in self.urgencies.values_mut() {
                entry.next_slot = None;
            }
        }
    }

    /// The kept urgency that stands for `urgency`.
    fn key(&self, urgency: Urgency) -> Urgency {
        if self.urgencies.len() < MAX_URGENCIES {
            return urgency;
        }
        let less_urgent = self.urgencies.range(urgency..).next();
        let kept = less_urgent.or_else(|| self.urgencies.last_key_value());
        kept.map_or(urgency, |(kept, _)| *kept)
    }

    fn entry(&mut self, urgency: Urgency) -> &mut UrgencyEntry {
        let key = self.key(urgency);
        // Slots of more urgent callers have been booked before this entry existed.
        let more_urgent = self.urgencies.range(..key).next_back();
        let next_slot = more_urgent.and_then(|(_, entry)| entry.next_slot);
        self.urgencies.entry(key).or_insert(UrgencyEntry {
            on_time: AveragedRate::default(),
            next_slot,
        })
    }
}
