//! Who asks which engine, and how often.
//!
//! Each engine is asked by one instance of its own failure domain, or of the
//! whole site if none of that domain is live, chosen by rendezvous hashing. It
//! passes on what it hears by heartbeat. An engine of which nothing was heard
//! for a while is asked by whoever misses it: its instance may be gone or cut
//! off.

use std::hash::BuildHasher;
use std::hash::BuildHasherDefault;
use std::hash::DefaultHasher;
use std::time::Duration;
use std::time::Instant;

use rookferry_wire::EngineInfo;
use rookferry_wire::InstanceId;

use super::home_of;

/// Silence about an engine after which an instance asks it itself.
const MISSED_AFTER: Duration = Duration::from_secs(4);
/// Bytes of an ask and its answer, heads included, for the budget.
const BYTES_AN_ASK: u32 = 550;
/// The shortest and longest time between asks.
const MIN_INTERVAL: Duration = Duration::from_millis(50);
const MAX_INTERVAL: Duration = Duration::from_secs(1);

/// The round that a budget is shared out for.
const USUAL_ROUND: Duration = Duration::from_millis(500);
/// Engines that are described for the first time in one round.
const MAX_UNDESCRIBED_A_ROUND: usize = 32;

/// Why an instance asks an engine itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AskReason {
    /// It is the one that asks it.
    Own,
    /// Nothing is known of it yet, or what it says has changed.
    News,
    /// Nobody has passed anything on for a while.
    Missed,
}

/// What is known of an engine when it is decided who asks it.
#[derive(Clone, Copy, Debug)]
pub struct AskInput<'a> {
    /// Its name.
    pub engine: &'a str,
    /// The live instances of its failure domain, or else of the whole site.
    pub askers: &'a [InstanceId],
    /// Whether it is known what it says about itself.
    pub is_described: bool,
    /// When it was last asked here or heard of from a peer.
    pub last_news: Option<Instant>,
}

/// Whether this instance is to ask an engine now, and why.
#[must_use]
pub fn ask_reason(now: Instant, own: &InstanceId, input: &AskInput<'_>) -> Option<AskReason> {
    if home_of(input.engine, input.askers) == Some(own) {
        return Some(AskReason::Own);
    }
    if !input.is_described {
        return Some(AskReason::News);
    }
    let is_missed = input
        .last_news
        .is_none_or(|at| now.saturating_duration_since(at) > MISSED_AFTER);
    is_missed.then_some(AskReason::Missed)
}

/// The time between asks that keeps them within a budget of bytes.
#[must_use]
pub fn ask_interval(asked: usize, budget_bytes_per_s: u32, shortest: Duration) -> Duration {
    let bytes = asked as f64 * f64::from(BYTES_AN_ASK);
    let interval = Duration::from_secs_f64(bytes / f64::from(budget_bytes_per_s.max(1)));
    interval.clamp(shortest.max(MIN_INTERVAL), MAX_INTERVAL.max(shortest))
}

/// How many engines beside the own ones may be asked in a round: what the
/// budget leaves in a round of half a second, and one at least. Engines that
/// have never been described go faster, since a starting instance needs them.
#[must_use]
pub fn others_allowed(own: usize, undescribed: usize, budget_bytes_per_s: u32) -> usize {
    let bytes_a_round = u128::from(budget_bytes_per_s) * USUAL_ROUND.as_millis() / 1_000;
    let asks_a_round =
        usize::try_from(bytes_a_round / u128::from(BYTES_AN_ASK)).unwrap_or(usize::MAX);
    let left = asks_a_round.saturating_sub(own);
    left.max(1).max(undescribed.min(MAX_UNDESCRIBED_A_ROUND))
}

/// Short name of an engine in digests.
#[must_use]
pub fn engine_tag(engine: &str) -> u32 {
    let hash = BuildHasherDefault::<DefaultHasher>::default().hash_one(engine);
    let [one, two, three, four, ..] = hash.to_le_bytes();
    u32::from_le_bytes([one, two, three, four])
}

/// Tells apart what an engine says about itself at different times.
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
