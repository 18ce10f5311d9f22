//! Moves the boundary between two neighbours of which one has little cache.
//!
//! Load pattern: engines are lost while there are no spare ones, so the ranges of
//! their neighbours are extended until these have cache for only ten requests and
//! limit the throughput of their whole domain. When the lost engines return, each
//! gets layers of its own, and without this step the extended engine would keep
//! its range for the rest of the day.
//!
//! A boundary moves by two orders in successive plans. First the neighbour also
//! loads some of the layers, which costs a load of just those; then the extended
//! engine drops them. So every layer is held throughout.

use rookferry_wire::LayerRange;

use super::draft::Draft;

/// Minimum growth of the extended engine's cache, as a factor, for which a neighbour
/// loads layers. The gain has to outweigh the load and the streams moved for it.
const WORTH_A_LOAD: f64 = 2.0;
/// The same where layers are only dropped.
const WORTH_A_MOVE: f64 = 1.25;

/// A new range for an engine, and the least cache that results.
#[derive(Clone, Copy, Debug)]
struct Shift {
    index: usize,
    layers: LayerRange,
    least_tokens: f64,
}

/// The next order that gives the holder of a layer with little cache more of it, if one
/// is worthwhile.
pub(super) fn shift(
    draft: &Draft<'_>,
    group: &[usize],
    tight_layer: u16,
) -> Option<(usize, LayerRange)> {
    let wide = draft.holders(group, tight_layer).next()?;
    let own = draft.held(wide)?;
    if !draft.is_free(wide) {
        return None;
    }
    let before_tokens = draft.room_tokens(wide, own);
    let given_up = best(narrower(draft, group, wide, own));
    let given_up = given_up.filter(|shift| shift.least_tokens > before_tokens * WORTH_A_MOVE);
    let taken = || {
        let taken = best(taken_over(draft, group, wide, own));
        taken.filter(|shift| shift.least_tokens > before_tokens * WORTH_A_LOAD)
    };
    let shift = given_up.or_else(taken)?;
    Some((shift.index, shift.layers))
}

fn best(shifts: impl Iterator<Item = Shift>) -> Option<Shift> {
    shifts.max_by(|left, right| left.least_tokens.total_cmp(&right.least_tokens))
}

/// Ranges that the engine `wide` could be cut down to, rated by the cache for the
/// dropped layers on other engines that have them ready.
fn narrower(
    draft: &Draft<'_>,
    group: &[usize],
    wide: usize,
    own: LayerRange,
) -> impl Iterator<Item = Shift> {
    kept_parts(own).filter_map(move |(kept, given_up)| {
        let others = (given_up.start..given_up.end).map(|layer| {
            let holders = draft.holders(group, layer);
            let ready = holders.filter(|other| *other != wide && draft.is_free(*other));
            let rooms =
                ready.filter_map(|other| Some(draft.room_tokens(other, draft.held(other)?)));
            rooms.sum::<f64>()
        });
        let others_tokens = others.min_by(f64::total_cmp)?;
        Some(Shift {
            index: wide,
            layers: kept,
            least_tokens: others_tokens.min(draft.room_tokens(wide, kept)),
        })
    })
}

/// Ranges that other engines could be extended to by some of the layers of `wide`.
fn taken_over(
    draft: &Draft<'_>,
    group: &[usize],
    wide: usize,
    own: LayerRange,
) -> impl Iterator<Item = Shift> {
    let neighbours = group.iter().copied();
    let neighbours = neighbours.filter(move |index| *index != wide && draft.is_free(*index));
    neighbours.flat_map(move |index| {
        let held = draft.held(index);
        kept_parts(own).filter_map(move |(kept, given_up)| {
            let layers = joined(held?, given_up)?;
            Some(Shift {
                index,
                layers,
                least_tokens: draft
                    .room_tokens(index, layers)
                    .min(draft.room_tokens(wide, kept)),
            })
        })
    })
}

/// Each split of a range in two: the part that is kept, and the part that is dropped.
fn kept_parts(own: LayerRange) -> impl Iterator<Item = (LayerRange, LayerRange)> {
    let cuts = own.start + 1..own.end;
    cuts.flat_map(move |cut| {
        let front = LayerRange {
            start: own.start,
            end: cut,
        };
        let back = LayerRange {
            start: cut,
            end: own.end,
        };
        [(front, back), (back, front)]
    })
}

/// Union of a neighbour's range and further layers. `None` if they neither touch nor
/// overlap, or if one contains the other.
fn joined(held: LayerRange, more: LayerRange) -> Option<LayerRange> {
    let touches = held.start <= more.end && more.start <= held.end;
    let is_outside = held.start < more.start || more.end < held.end;
    let joined = LayerRange {
        start: held.start.min(more.start),
        end: held.end.max(more.end),
    };
    (touches && is_outside && joined != held).then_some(joined)
}
