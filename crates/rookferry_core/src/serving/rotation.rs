//! Rotation of reports that don't all fit into one heartbeat.
//!
//! Load pattern: one in fifty of thousands of servers leave, exit or refuse at the same
//! moment. A heartbeat has space for some of them, and an instance that advertises the
//! same ones each time never advertises the others.

/// Divisor of the space in a heartbeat: that part is for the latest reports if not all
/// fit.
const LATEST_DIVISOR: usize = 4;

/// The reports to advertise in this `round` of heartbeats, at most `most`: the latest,
/// and a rotating part of the others. `all` has the latest first.
pub(crate) fn rotation_batch<T: Copy>(all: &[T], most: usize, round: usize) -> Vec<T> {
    if all.len() <= most {
        return all.to_vec();
    }
    let (latest, older) = all.split_at(most / LATEST_DIVISOR);
    let rotating = most - latest.len();
    let from = round.wrapping_mul(rotating) % older.len();
    let older = older
        .iter()
        .cycle()
        .skip(from)
        .take(rotating.min(older.len()));
    latest.iter().chain(older).copied().collect()
}
