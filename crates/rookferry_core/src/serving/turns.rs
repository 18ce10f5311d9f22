//! What is too much for one heartbeat is told in turn.
//!
//! Load pattern: a fiftieth of thousands of servers leave, end or refuse in one moment. A
//! heartbeat has room for some of them, and an instance that tells the same ones each
//! time never tells the others.

/// The part of what is told at a time that is for the latest, where not all can be told.
const LATEST_PART: usize = 4;

/// What is told of some things in a turn, at most `most` of them: the latest, and the
/// others in turn. `all` has the latest first.
pub(crate) fn told_in_turn<T: Copy>(all: &[T], most: usize, turn: usize) -> Vec<T> {
    if all.len() <= most {
        return all.to_vec();
    }
    let (latest, older) = all.split_at(most / LATEST_PART);
    let in_turn = most - latest.len();
    let from = turn.wrapping_mul(in_turn) % older.len();
    let older = older
        .iter()
        .cycle()
        .skip(from)
        .take(in_turn.min(older.len()));
    latest.iter().chain(older).copied().collect()
}
