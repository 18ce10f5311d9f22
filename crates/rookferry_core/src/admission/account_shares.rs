//! Classifies client accounts by whether they use more than their share of the admitted
//! tokens.
//!
//! This is not a queue, and [`crate::FairQueue`] stays the only fair one. In overload,
//! requests hardly queue: they are admitted or refused at once, so the order within a
//! queue gives no fairness. The caller gives requests of accounts over their share a
//! lower class, which refuses them while others want the room.
//!
//! Shares are max-min (water filling): an account's share of the admitted tokens is what
//! arrived from it, up to a level that is common to all accounts and at which the shares
//! add up to the admitted tokens. An account over its share is one that has both more
//! arrivals than the level and more admissions than the share.
//!
//! An account has about one request within the time constant at the usual rates, so the
//! figures are noisy. Three rules follow from that. Arrivals count as different from the
//! level only beyond two standard deviations of random arrivals; an account that may
//! reach the level counts with the level, so that its bursts find room. Admitted tokens
//! rise by a request at a time and are compared with the value they decay to between
//! two requests admitted exactly at the share, so an account of large requests gets no
//! more than others and waits longer between two. Nobody is over the share while few
//! requests were admitted, or while almost none are refused.
//!
//! Sums are kept multiplied by a growth factor that makes up for the decay since a
//! reference time, so that a record changes one account and time passing changes none.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::AccountId;

/// Time constant of the decay.
const TIME_CONSTANT: Duration = Duration::from_secs(2);
/// Upper bound of the accounts in memory.
const MAX_ACCOUNTS: usize = 1_024;
/// Admitted tokens above the share by less than this factor are not over it. Capacity
/// lent beyond an equal share has no tolerance, since a tenth of a large share can be all
/// that a small account needs.
const TOLERANCE: f64 = 1.1;
/// Standard deviations by which arrivals must differ from the level to count as different;
/// random arrivals differ by more in 1 of 20 cases.
const DEVIATIONS: f64 = 2.0;
/// Decayed number of admitted requests below which nobody is over the share, because
/// single requests decide then.
const MIN_REQUESTS: f64 = 10.0;
/// Share of the arrived tokens that must not have been admitted for shares to matter.
/// Without such a bound, a large account is over its share while all are served.
const MIN_REFUSED_SHARE: f64 = 0.01;
/// Largest plausible size of a request in tokens; engines hold far less.
const MAX_TOKENS: f64 = 1e9;
/// Decayed tokens below which an account counts as idle.
const MIN_TOKENS: f64 = 1.0;
/// The level is computed again after this time, or earlier after a large change.
const LEVEL_INTERVAL: Duration = Duration::from_millis(50);
/// Change, as a share of the arrived tokens, after which the level is computed at once.
const LARGE_CHANGE: f64 = 0.1;
/// Time constants after which the reference time is moved, so that sums keep far from the
/// range limits of floating-point numbers.
const MAX_GROWTH_EXPONENT: f64 = 20.0;

/// Tokens of one account, as decayed sums multiplied by the growth factor.
#[derive(Clone, Debug)]
struct Account {
    arrived: f64,
    /// Squares of the arrived requests' tokens, for their variance.
    arrived_squares: f64,
    admitted: f64,
    admitted_requests: f64,
    /// Growth-adjusted tokens of the latest arrival until an admission is recorded.
    pending: f64,
    active_at: Instant,
}

impl Account {
    const fn new(now: Instant) -> Self {
        Self {
            arrived: 0.0,
            arrived_squares: 0.0,
            admitted: 0.0,
            admitted_requests: 0.0,
            pending: 0.0,
            active_at: now,
        }
    }

    fn scale(&mut self, factor: f64) {
        self.arrived *= factor;
        self.arrived_squares *= factor;
        self.admitted *= factor;
        self.admitted_requests *= factor;
        self.pending *= factor;
    }

    /// Deviation of the arrived tokens that counts as random: the variance of a decayed
    /// sum of random arrivals is half of the decayed sum of their squares. Requests above
    /// the mean size count with the mean, so that a flood of a few large requests is not
    /// taken for chance.
    fn noise(&self, mean_request: f64, growth: f64) -> f64 {
        let squares = self.arrived_squares.min(self.arrived * mean_request);
        DEVIATIONS * (squares * growth / 2.0).sqrt()
    }
}

/// Decayed sums over all accounts.
#[derive(Clone, Copy, Debug, Default)]
struct Totals {
    arrived: f64,
    admitted: f64,
    admitted_requests: f64,
}

impl Totals {
    /// Mean tokens of an admitted request; not a number before the first.
    fn mean_request(&self) -> f64 {
        self.admitted / self.admitted_requests
    }
}

/// What an account uses, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountUsage {
    /// The client account.
    pub account: AccountId,
    /// Tokens per second of its requests.
    pub arrived_per_s: f64,
    /// Tokens per second of its admitted requests.
    pub admitted_per_s: f64,
    /// Its max-min share in tokens per second.
    pub share_per_s: f64,
    /// Whether it is over its share.
    pub is_over: bool,
}

/// Arrived and admitted tokens of the accounts of a service, and their shares.
#[derive(Clone, Debug, Default)]
pub struct AccountShares {
    accounts: HashMap<AccountId, Account>,
    totals: Totals,
    reference: Option<Instant>,
    /// Latest time seen; earlier ones count as this one.
    latest: Option<Instant>,
    /// Level of the shares, growth-adjusted; `None` while all arrivals fit in.
    level: Option<f64>,
    level_at: Option<Instant>,
    changed: f64,
}

impl AccountShares {
    /// Shares without any record.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request that came in. Implausible sizes are ignored.
    pub fn record_arrival(&mut self, account: &AccountId, tokens: f64, now: Instant) {
        if !is_plausible(tokens) {
            return;
        }
        let (growth, entry) = self.entry(account, now);
        let amount = tokens * growth;
        entry.arrived += amount;
        entry.arrived_squares += tokens * amount;
        entry.pending = amount;
        self.totals.arrived += amount;
        self.update_level(amount, growth);
    }

    /// Records that a request was admitted. Implausible sizes are ignored.
    pub fn record_admission(&mut self, account: &AccountId, tokens: f64, now: Instant) {
        if !is_plausible(tokens) {
            return;
        }
        let (growth, entry) = self.entry(account, now);
        let amount = tokens * growth;
        entry.admitted += amount;
        entry.admitted_requests += growth;
        entry.pending = 0.0;
        self.totals.admitted += amount;
        self.totals.admitted_requests += growth;
        self.update_level(amount, growth);
    }

    /// Whether the account uses more than its share. To be asked after the arrival of a
    /// request is recorded and before its admission is.
    #[must_use]
    pub fn is_over_share(&self, account: &AccountId, now: Instant) -> bool {
        let growth = self.growth(now);
        let entry = self.accounts.get(account);
        entry.is_some_and(|entry| self.is_over(entry, growth))
    }

    /// The usage of all accounts, that with the most admitted tokens first.
    #[must_use]
    pub fn usage(&self, now: Instant) -> Vec<AccountUsage> {
        let growth = self.growth(now);
        let level = if self.is_contested(0.0) {
            self.level()
        } else {
            f64::INFINITY
        };
        let per_s = 1.0 / (growth * TIME_CONSTANT.as_secs_f64());
        let entries = self.accounts.iter().filter(|(_, entry)| {
            let most = entry.arrived.max(entry.admitted);
            most >= MIN_TOKENS * growth
        });
        let mut usage: Vec<_> = entries
            .map(|(account, entry)| AccountUsage {
                account: account.clone(),
                arrived_per_s: entry.arrived * per_s,
                admitted_per_s: entry.admitted * per_s,
                share_per_s: entry.arrived.min(level) * per_s,
                is_over: self.is_over(entry, growth),
            })
            .collect();
        usage.sort_by(|left, right| {
            let by_tokens = right.admitted_per_s.total_cmp(&left.admitted_per_s);
            by_tokens.then_with(|| left.account.cmp(&right.account))
        });
        usage
    }

    fn is_over(&self, entry: &Account, growth: f64) -> bool {
        let has_few_requests = self.totals.admitted_requests < MIN_REQUESTS * growth;
        let is_alone = self.accounts.len() < 2;
        if is_alone || has_few_requests || !self.is_contested(entry.pending) {
            return false;
        }
        let level = self.level();
        if entry.arrived - entry.noise(self.totals.mean_request(), growth) <= level {
            return false;
        }
        let admitted = entry.admitted / growth;
        let share = entry.arrived.min(level);
        let equal = self.totals.admitted / self.accounts.len() as f64;
        let limit = share.max(TOLERANCE * share.min(equal)) / growth;
        let request = entry.arrived_squares / entry.arrived;
        // Tokens admitted at exactly the limit swing between this value and one request
        // more, with the limit as their mean over time.
        let low = request / (request / limit).exp_m1();
        admitted >= MIN_TOKENS && admitted > low
    }

    /// Whether requests are refused, apart from the one of `pending` tokens that is being
    /// decided.
    fn is_contested(&self, pending: f64) -> bool {
        let refused = self.totals.arrived - self.totals.admitted - pending;
        refused > MIN_REFUSED_SHARE * self.totals.arrived
    }

    fn level(&self) -> f64 {
        self.level.unwrap_or(f64::INFINITY)
    }

    /// The factor that makes up for the decay between the reference time and `now`.
    fn growth(&self, now: Instant) -> f64 {
        let Some(reference) = self.reference else {
            return 1.0;
        };
        let now = self.latest.map_or(now, |latest| latest.max(now));
        let age_s = now.saturating_duration_since(reference).as_secs_f64();
        (age_s / TIME_CONSTANT.as_secs_f64()).exp()
    }

    /// The account's entry, created if needed, and the growth factor at `now`.
    fn entry(&mut self, account: &AccountId, now: Instant) -> (f64, &mut Account) {
        let now = self.latest.map_or(now, |latest| latest.max(now));
        self.latest = Some(now);
        self.move_reference(now);
        if self.accounts.len() >= MAX_ACCOUNTS && !self.accounts.contains_key(account) {
            self.drop_least_recent();
        }
        let growth = self.growth(now);
        let entry = self
            .accounts
            .entry(account.clone())
            .or_insert_with(|| Account::new(now));
        entry.active_at = now;
        (growth, entry)
    }

    fn move_reference(&mut self, now: Instant) {
        let reference = *self.reference.get_or_insert(now);
        let age_s = now.saturating_duration_since(reference).as_secs_f64();
        let exponent = age_s / TIME_CONSTANT.as_secs_f64();
        if exponent < MAX_GROWTH_EXPONENT {
            return;
        }
        let factor = (-exponent).exp();
        for entry in self.accounts.values_mut() {
            entry.scale(factor);
        }
        self.reference = Some(now);
        self.compute_level(1.0);
    }

    fn drop_least_recent(&mut self) {
        let least_recent = self
            .accounts
            .iter()
            .min_by_key(|(_, entry)| entry.active_at);
        let Some(account) = least_recent.map(|(account, _)| account.clone()) else {
            return;
        };
        if let Some(entry) = self.accounts.remove(&account) {
            self.totals.arrived -= entry.arrived;
            self.totals.admitted -= entry.admitted;
            self.totals.admitted_requests -= entry.admitted_requests;
        }
    }

    fn update_level(&mut self, change: f64, growth: f64) {
        self.changed += change;
        let age = self
            .level_at
            .zip(self.latest)
            .map(|(level_at, latest)| latest.saturating_duration_since(level_at));
        let is_old = age.is_none_or(|age| age >= LEVEL_INTERVAL);
        if is_old || self.changed > LARGE_CHANGE * self.totals.arrived {
            self.compute_level(growth);
        }
    }

    /// Drops idle accounts and computes the totals and the level of the shares.
    fn compute_level(&mut self, growth: f64) {
        let least = MIN_TOKENS * growth;
        self.accounts
            .retain(|_, entry| entry.arrived.max(entry.admitted) >= least);
        let mut totals = Totals::default();
        for entry in self.accounts.values() {
            totals.arrived += entry.arrived;
            totals.admitted += entry.admitted;
            totals.admitted_requests += entry.admitted_requests;
        }
        let mean_request = totals.mean_request();
        let demand = |entry: &Account| {
            let noise = entry.noise(mean_request, growth);
            (entry.arrived + noise, entry.arrived)
        };
        let mut demands: Vec<_> = self.accounts.values().map(demand).collect();
        demands.sort_unstable_by(|(left, _), (right, _)| left.total_cmp(right));
        self.totals = totals;
        self.level = water_level(&demands, totals.admitted);
        self.level_at = self.latest;
        self.changed = 0.0;
    }
}

/// The level at which the shares add up to `total`, from pairs of the highest plausible
/// and the actual arrivals in the order of the first; `None` if all arrivals fit in.
fn water_level(demands: &[(f64, f64)], total: f64) -> Option<f64> {
    let mut rest = total;
    for (position, (highest, arrived)) in demands.iter().enumerate() {
        let level = rest / (demands.len() - position) as f64;
        if *highest >= level {
            return Some(level);
        }
        rest -= arrived;
    }
    None
}

fn is_plausible(tokens: f64) -> bool {
    tokens > 0.0 && tokens <= MAX_TOKENS
}
