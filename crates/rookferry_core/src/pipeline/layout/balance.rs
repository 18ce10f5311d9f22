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
const MIN_GAIN_OF_LOAD: f64 = 2.0;
/// The same where layers are only dropped.
const MIN_GAIN_OF_DROP: f64 = 1.25;

/// A new range for an engine, and the least cache that results.
#[derive(Clone, Copy, Debug)]
struct BoundaryShift {
    index: usize,
    layers: LayerRange,
    least_tokens: f64,
}

/// The next order that gives the holder of a layer with little cache more of it, if one
/// is worthwhile.
pub(super) fn shift_boundary(
    draft: &Draft<'_>,
    group: &[usize],
    bottleneck_layer: u16,
) -> Option<(usize, LayerRange)> {
    let extended = draft.holders(group, bottleneck_layer).next()?;
    let own = draft.held(extended)?;
    if !draft.is_free(extended) {
        return None;
    }
    let before_tokens = draft.cache_tokens(extended, own);
    let dropped = best(reductions(draft, group, extended, own));
    let dropped = dropped.filter(|shift| shift.least_tokens > before_tokens * MIN_GAIN_OF_DROP);
    let extension = || {
        let extension = best(extensions(draft, group, extended, own));
        extension.filter(|shift| shift.least_tokens > before_tokens * MIN_GAIN_OF_LOAD)
    };
    let shift = dropped.or_else(extension)?;
    Some((shift.index, shift.layers))
}

fn best(shifts: impl Iterator<Item = BoundaryShift>) -> Option<BoundaryShift> {
    shifts.max_by(|left, right| left.least_tokens.total_cmp(&right.least_tokens))
}

/// Ranges that the engine `extended` could be cut down to, rated by the cache for the
/// dropped layers on other engines that have them ready.
fn reductions(
    draft: &Draft<'_>,
    group: &[usize],
    extended: usize,
    own: LayerRange,
) -> impl Iterator<Item = BoundaryShift> {
    splits(own).filter_map(move |(kept, dropped)| {
        let others = (dropped.start..dropped.end).map(|layer| {
            let holders = draft.holders(group, layer);
            let ready = holders.filter(|other| *other != extended && draft.is_free(*other));
            let tokens =
                ready.filter_map(|other| Some(draft.cache_tokens(other, draft.held(other)?)));
            tokens.sum::<f64>()
        });
        let others_tokens = others.min_by(f64::total_cmp)?;
        Some(BoundaryShift {
            index: extended,
            layers: kept,
            least_tokens: others_tokens.min(draft.cache_tokens(extended, kept)),
        })
    })
}

/// Ranges that other engines could be extended to by some of the layers of `extended`.
fn extensions(
    draft: &Draft<'_>,
    group: &[usize],
    extended: usize,
    own: LayerRange,
) -> impl Iterator<Item = BoundaryShift> {
    let neighbours = group.iter().copied();
    let neighbours = neighbours.filter(move |index| *index != extended && draft.is_free(*index));
    neighbours.flat_map(move |index| {
        let held = draft.held(index);
        splits(own).filter_map(move |(kept, dropped)| {
            let layers = merged(held?, dropped)?;
            Some(BoundaryShift {
                index,
                layers,
                least_tokens: draft
                    .cache_tokens(index, layers)
                    .min(draft.cache_tokens(extended, kept)),
            })
        })
    })
}

/// Each split of a range in two: the part that is kept, and the part that is dropped.
fn splits(own: LayerRange) -> impl Iterator<Item = (LayerRange, LayerRange)> {
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
fn merged(held: LayerRange, more: LayerRange) -> Option<LayerRange> {
    let touches = held.start <= more.end && more.start <= held.end;
    let is_outside = held.start < more.start || more.end < held.end;
    let merged = LayerRange {
        start: held.start.min(more.start),
        end: held.end.max(more.end),
    };
    (touches && is_outside && merged != held).then_some(merged)
}
