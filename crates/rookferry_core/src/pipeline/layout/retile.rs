//! Closes gaps in a domain by shifting ranges that overlap.
//!
//! Engines that are added and lost one by one leave overlapping ranges. Then it
//! can happen that no engine is empty and each is the only holder of some layer,
//! while the domain lacks a few layers, so that all its streams cross the link to
//! other domains. Shifting some ranges closes the gap.

use rookferry_wire::LayerRange;

use super::draft::Draft;

/// The fewest moves found that close the gaps of one domain, as engine and new range.
/// `layer_count` returns the number of layers that an engine may hold. `None` if no
/// moves close them, or if the engines are of several domains, where the order of
/// engines doesn't show which paths cross domains.
pub(super) fn retile(
    draft: &Draft<'_>,
    group: &[usize],
    layer_count: impl Fn(usize) -> u16,
) -> Option<Vec<(usize, LayerRange)>> {
    let domain = &draft.engines[*group.first()?].domain;
    if group
        .iter()
        .any(|index| draft.engines[*index].domain != *domain)
    {
        return None;
    }
    let unmoved = longest_chain(draft, group);
    let counts = (0..=unmoved.len()).rev();
    let mut tilings =
        counts.map(|count| tiles_after(draft, group, &unmoved[..count], &layer_count));
    tilings.find_map(|tiles| tiles)
}

/// Engines whose ranges cover the layers from the first up to the first gap; at each
/// layer the engine whose range ends last.
fn longest_chain(draft: &Draft<'_>, group: &[usize]) -> Vec<usize> {
    let mut chain: Vec<usize> = Vec::new();
    let mut next = 0;
    loop {
        let holders = draft.holders(group, next);
        let furthest = holders.max_by_key(|index| draft.held(*index).map(|held| held.end));
        let Some((index, held)) = furthest.and_then(|index| Some((index, draft.held(index)?)))
        else {
            return chain;
        };
        chain.push(index);
        next = held.end;
    }
}

/// Moves with which the engines that aren't in `unmoved`, in the order of their layers,
/// cover the layers after those of `unmoved`. `None` if they can't cover all.
fn tiles_after(
    draft: &Draft<'_>,
    group: &[usize],
    unmoved: &[usize],
    layer_count: &impl Fn(usize) -> u16,
) -> Option<Vec<(usize, LayerRange)>> {
    let layers = draft.layers();
    let last = unmoved.last().and_then(|index| draft.held(*index));
    let mut next = last.map_or(0, |held| held.end);
    let mut others: Vec<usize> = group
        .iter()
        .copied()
        .filter(|index| !unmoved.contains(index))
        .collect();
    others.sort_by_key(|index| draft.held(*index).map_or(layers, |held| held.start));
    let mut moves = Vec::new();
    for index in others {
        if next >= layers {
            break;
        }
        if let Some(held) = draft.held(index).filter(|held| held.start == next) {
            next = held.end;
            continue;
        }
        let length = layer_count(index).min(layers - next);
        if length == 0 || !draft.is_free(index) {
            continue;
        }
        let end = next + length;
        moves.push((index, LayerRange { start: next, end }));
        next = end;
    }
    (next >= layers).then_some(moves)
}
