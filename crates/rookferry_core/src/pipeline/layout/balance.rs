//! Moves the border between two neighbours of which one has next to no room.
//!
//! Load pattern: engines are lost while nothing is spare, so their neighbours
//! are widened until they have room for ten requests, and hold their whole
//! domain back. When the lost ones come back, each gets layers of its own, and
//! the wide one stays as it was for the rest of the day. A border moves in two
//! steps: the neighbour takes some of the layers as well, which loads no more
//! than those, and then the wide one gives them up. All layers are held all the
//! while.

use rookferry_wire::LayerRange;

use super::draft::Draft;

/// How many times the room of the tight engine a widened neighbour must lead
/// to: a load and the streams that are moved for it have to be worth it.
const WORTH_A_LOAD: f64 = 2.0;
/// The same where layers are only given up.
const WORTH_A_MOVE: f64 = 1.25;

/// A range for an engine, and the least room that it leads to.
#[derive(Clone, Copy, Debug)]
struct Shift {
    index: usize,
    layers: LayerRange,
    least_tokens: f64,
}

/// The next step that gives the engine of a tight layer more room, if one is
/// worth it.
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

/// What the wide engine could keep of its layers: those it gives up are held by
/// another that has them ready.
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

/// How neighbours could be widened by some of the wide engine's layers.
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

/// Each way to give up some layers at one end: what is kept, and what isn't.
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

/// A neighbour's range with layers next to it, or overlapping it, if it begins
/// or ends outside of them.
fn joined(held: LayerRange, more: LayerRange) -> Option<LayerRange> {
    let touches = held.start <= more.end && more.start <= held.end;
    let is_outside = held.start < more.start || more.end < held.end;
    let joined = LayerRange {
        start: held.start.min(more.start),
        end: held.end.max(more.end),
    };
    (touches && is_outside && joined != held).then_some(joined)
}
