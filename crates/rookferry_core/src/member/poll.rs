//! Which instance polls which engine, and how often.
//!
//! Each engine is polled by one instance of its own failure domain, or of the whole site
//! if none of that domain is live, chosen by rendezvous hashing. That instance forwards
//! the results in its heartbeats. An instance that got no update on an engine for a while
//! polls it itself, since the assigned instance may be lost or cut off.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::EngineInfo;
use rookferry_wire::InstanceId;

use super::rendezvous_owner;

/// Time without an update on an engine after which an instance polls it itself.
const STALE_AFTER: Duration = Duration::from_secs(4);
/// Bytes of a poll and its answer, headers included, as counted against the budget.
const BYTES_PER_POLL: u32 = 550;
/// Shortest and longest time between polls.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// Round length that the budget for polls of further engines is computed for.
const BUDGET_ROUND: Duration = Duration::from_millis(500);
/// Most engines that are polled for their first description in one round.
const MAX_UNDESCRIBED_PER_ROUND: usize = 32;

/// Why an instance polls an engine itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PollReason {
    /// The instance is assigned to it.
    Assigned,
    /// Its description isn't known yet, or has changed.
    Undescribed,
    /// No peer has forwarded an update on it for a while.
    Stale,
}

/// What is known of an engine when deciding whether to poll it.
#[derive(Clone, Copy, Debug)]
pub struct PollInput<'a> {
    /// The engine's name.
    pub engine: &'a str,
    /// The live instances of its failure domain, or of the whole site if there are none.
    pub candidates: &'a [InstanceId],
    /// Whether its current description is known.
    pub is_described: bool,
    /// When it last answered a poll here, or a peer reported it.
    pub last_update: Option<Instant>,
}

/// Why this instance is to poll an engine now; none if it isn't.
#[must_use]
pub fn poll_reason(now: Instant, own: &InstanceId, input: &PollInput<'_>) -> Option<PollReason> {
    if rendezvous_owner(input.engine, input.candidates) == Some(own) {
        return Some(PollReason::Assigned);
    }
    if !input.is_described {
        return Some(PollReason::Undescribed);
    }
    let is_stale = input
        .last_update
        .is_none_or(|at| now.saturating_duration_since(at) > STALE_AFTER);
    is_stale.then_some(PollReason::Stale)
}

/// The time between polls of `polled` engines that keeps within a budget, at least
/// `shortest`.
#[must_use]
pub fn poll_interval(polled: usize, budget_bytes_per_s: u32, shortest: Duration) -> Duration {
    let bytes = polled as f64 * f64::from(BYTES_PER_POLL);
    let interval = Duration::from_secs_f64(bytes / f64::from(budget_bytes_per_s.max(1)));
    interval.clamp(shortest.max(MIN_INTERVAL), MAX_INTERVAL.max(shortest))
}

/// Number of engines besides the assigned ones (`own`) that may be polled in a round:
/// what the budget leaves in half a second, and at least one. Engines without a
/// description are allowed beyond the budget, since a starting instance needs them.
#[must_use]
pub fn extra_polls_allowed(own: usize, undescribed: usize, budget_bytes_per_s: u32) -> usize {
    let bytes_per_round = u128::from(budget_bytes_per_s) * BUDGET_ROUND.as_millis() / 1_000;
    let polls_per_round =
        usize::try_from(bytes_per_round / u128::from(BYTES_PER_POLL)).unwrap_or(usize::MAX);
    let remaining = polls_per_round.saturating_sub(own);
    remaining
        .max(1)
        .max(undescribed.min(MAX_UNDESCRIBED_PER_ROUND))
}

/// Hash that identifies an engine in heartbeats; depends on its name only.
#[must_use]
pub fn engine_tag(engine: &str) -> u32 {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(engine);
    let [one, two, three, four, ..] = hash.to_le_bytes();
    u32::from_le_bytes([one, two, three, four])
}

/// Fingerprint of an engine's description, which changes with the description.
#[must_use]
pub fn info_tag(info: &EngineInfo) -> u16 {
    let hasher = BuildHasherDefault::<DefaultHasher>::default();
    let parts = (
        info.incarnation,
        &info.model,
        &info.model_version,
        info.layers,
        &info.labels,
        info.leaving,
    );
    let [one, two, three, four, ..] = hasher.hash_one(parts).to_le_bytes();
    u16::from_le_bytes([one ^ three, two ^ four])
}
