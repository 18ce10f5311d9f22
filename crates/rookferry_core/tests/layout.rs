//! Layouts of a model's layers over engines: each failure domain covers all layers, no
//! engine exceeds its memory, and no layers move without need.

use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prelude::any;
use proptest::proptest;
use rookferry_core::AcceleratorKind;
use rookferry_core::ArrivalTracker;
use rookferry_core::LayoutEngine;
use rookferry_core::LayoutPlanner;
use rookferry_core::ModelShape;
use rookferry_core::NeededPlacement;
use rookferry_wire::LayerRange;
use rstest::rstest;

fn kind(name: &str, memory_mb: f64) -> AcceleratorKind {
    AcceleratorKind {
        name: name.to_owned(),
        memory_mb,
        step_factor: 1.0,
        read_factor: 1.0,
    }
}

fn model() -> ModelShape {
    ModelShape {
        layers: 80,
        layer_mb: 1_750.0,
        cache_bytes_per_token: 459_000.0,
        step_ms: 0.85,
        step_ms_per_request: 0.005,
        step_ms_per_context_k: 0.006,
        max_requests: 192.0,
        steps_per_pass: 2.0,
        read_tokens_per_ms: 252.0,
        read_ms_per_m_pairs: 0.2,
        usual_prompt_tokens: 772.0,
        usual_answer_tokens: 154.0,
        activation_bytes: 22_900.0,
        link_mbps: 5_600.0,
        kinds: vec![
            kind("large", 36_000.0),
            kind("mid", 21_600.0),
            kind("small", 14_400.0),
        ],
    }
}

/// Engines without layers; each domain has its name and its number of large, mid and
/// small engines.
fn fleet(domains: &[(&str, usize, usize, usize)]) -> Vec<LayoutEngine> {
    let mut engines = Vec::new();
    for (domain, large, mid, small) in domains {
        for (kind, count) in [("large", large), ("mid", mid), ("small", small)] {
            for number in 0..*count {
                engines.push(LayoutEngine {
                    engine: format!("{domain}-{kind}-{number}").into(),
                    domain: (*domain).into(),
                    kind: kind.to_owned(),
                    held: None,
                    is_busy: false,
                });
            }
        }
    }
    engines
}

fn site() -> Vec<LayoutEngine> {
    fleet(&[("a", 3, 3, 5), ("b", 1, 5, 8), ("c", 1, 7, 5)])
}

fn apply_orders(engines: &mut [LayoutEngine], orders: &[NeededPlacement]) {
    for order in orders {
        let engine = engines
            .iter_mut()
            .find(|engine| engine.engine == order.engine);
        engine.expect("a known engine").held = Some(order.layers);
    }
}

fn covers(engines: &[LayoutEngine], domain: &str) -> bool {
    (0..80).all(|layer| {
        engines.iter().any(|engine| {
            &*engine.domain == domain
                && engine
                    .held
                    .is_some_and(|held| held.start <= layer && layer < held.end)
        })
    })
}

fn assert_fits(model: &ModelShape, engines: &[LayoutEngine]) {
    for engine in engines {
        let Some(held) = engine.held else {
            continue;
        };
        assert!(held.end <= model.layers, "{engine:?}");
        let kind = model.kind(&engine.kind).expect("a known kind");
        assert!(
            f64::from(held.len()) * model.layer_mb <= kind.memory_mb,
            "{engine:?}"
        );
    }
}

#[test]
fn each_domain_covers_all_layers_by_itself() {
    let model = model();
    let mut engines = site();
    let orders = LayoutPlanner::new(&model).plan(&engines);
    apply_orders(&mut engines, &orders);
    for domain in ["a", "b", "c"] {
        assert!(covers(&engines, domain), "{domain}");
    }
    assert!(engines.iter().all(|engine| engine.held.is_some()));
    assert_fits(&model, &engines);
}

#[test]
fn thousands_of_empty_engines_get_layers_in_one_plan() {
    let model = model();
    let names = ["a", "b", "c", "d", "e"];
    let mut engines = fleet(&names.map(|domain| (domain, 60, 270, 270)));
    let orders = LayoutPlanner::new(&model).plan(&engines);
    assert_eq!(orders.len(), engines.len());
    apply_orders(&mut engines, &orders);
    for domain in names {
        assert!(covers(&engines, domain), "{domain} holds all layers");
    }
    assert_fits(&model, &engines);
    assert_eq!(LayoutPlanner::new(&model).plan(&engines), Vec::new());
}

#[test]
fn a_complete_layout_gets_no_orders() {
    let model = model();
    let mut engines = site();
    let planner = LayoutPlanner::new(&model);
    let first = planner.plan(&engines);
    apply_orders(&mut engines, &first);
    assert_eq!(planner.plan(&engines), vec![]);
}

#[rstest]
#[case::large("a-large-0")]
#[case::mid("b-mid-2")]
#[case::small("c-small-0")]
fn a_lost_engine_causes_loads_only_in_its_domain(#[case] lost: &str) {
    let model = model();
    let mut engines = site();
    let planner = LayoutPlanner::new(&model);
    let first = planner.plan(&engines);
    apply_orders(&mut engines, &first);
    let domain = lost.split('-').next().expect("a domain");
    engines.retain(|engine| &*engine.engine != lost);
    let before = engines.clone();
    let orders = planner.plan(&engines);
    apply_orders(&mut engines, &orders);
    assert!(covers(&engines, domain), "{orders:?}");
    for order in &orders {
        assert!(order.engine.starts_with(domain), "{order:?}");
    }
    for other in ["a", "b", "c"] {
        assert!(covers(&before, other) || other == domain);
    }
}

#[test]
fn a_busy_engine_gets_no_order() {
    let model = model();
    let mut engines = site();
    for engine in engines.iter_mut().step_by(3) {
        engine.is_busy = true;
    }
    let orders = LayoutPlanner::new(&model).plan(&engines);
    for order in orders {
        let engine = engines.iter().find(|engine| engine.engine == order.engine);
        assert!(!engine.expect("a known engine").is_busy);
    }
}

#[test]
fn domains_too_small_for_all_layers_cover_them_together() {
    let model = model();
    let mut engines = fleet(&[("a", 1, 2, 0), ("b", 0, 2, 2), ("c", 0, 1, 1)]);
    let orders = LayoutPlanner::new(&model).plan(&engines);
    apply_orders(&mut engines, &orders);
    let is_held = |layer: u16| {
        engines.iter().any(|engine| {
            engine
                .held
                .is_some_and(|held| held.start <= layer && layer < held.end)
        })
    };
    assert!((0..80).all(is_held));
    assert_fits(&model, &engines);
}

#[test]
fn an_engine_of_an_unknown_kind_gets_no_order() {
    let mut engines = site();
    engines[0].kind = "unheard of".to_owned();
    let orders = LayoutPlanner::new(&model()).plan(&engines);
    assert!(orders.iter().all(|order| order.engine != engines[0].engine));
}

/// A model whose kinds of engine differ widely: the slowest has more memory than the next
/// faster one.
fn uneven_model() -> ModelShape {
    let mut model = model();
    for (name, memory_mb, factor) in [
        ("large", 72_000.0, 2.0),
        ("mid", 21_600.0, 16.0),
        ("small", 14_400.0, 5.0),
    ] {
        let kind = model.kinds.iter_mut().find(|kind| kind.name == name);
        let kind = kind.expect("a known kind");
        kind.memory_mb = memory_mb;
        kind.step_factor = factor;
        kind.read_factor = factor / 2.0;
    }
    model
}

#[test]
fn the_faster_kinds_cover_the_layers_and_the_slow_one_holds_copies() {
    let model = uneven_model();
    let engines = fleet(&[("a", 1, 4, 10)]);
    let orders = LayoutPlanner::new(&model).plan(&engines);
    let (needed, copies): (Vec<_>, Vec<_>) =
        orders.iter().partition(|placement| placement.fills_gap);
    assert!(
        needed
            .iter()
            .all(|placement| !placement.engine.contains("mid")),
        "{needed:?}"
    );
    let slow = copies
        .iter()
        .filter(|placement| placement.engine.contains("mid"));
    assert_eq!(slow.count(), 4, "{copies:?}");
}

#[test]
fn engines_outside_the_chain_can_replace_its_largest_stage() {
    let model = uneven_model();
    let mut engines = fleet(&[("a", 1, 4, 10)]);
    let planner = LayoutPlanner::new(&model);
    let first = planner.plan(&engines);
    apply_orders(&mut engines, &first);
    engines.retain(|engine| &*engine.engine != "a-large-0");
    let orders = planner.plan(&engines);
    apply_orders(&mut engines, &orders);
    assert!(covers(&engines, "a"), "{orders:?}");
    assert!(
        orders
            .iter()
            .all(|placement| placement.engine.contains("mid")),
        "{orders:?}"
    );
}

/// A shorter pause makes a chain of fewer concurrent requests and lower latency.
#[test]
fn a_shorter_pause_limit_gives_the_fastest_engine_more_layers() {
    let model = uneven_model();
    let engines = fleet(&[("a", 1, 4, 10)]);
    let held_by_large = |pause_ms| {
        let planner = LayoutPlanner::new(&model);
        let planner = planner.with_longest_pause(Duration::from_millis(pause_ms));
        let orders = planner.plan(&engines);
        let large = orders.iter().find(|order| &*order.engine == "a-large-0");
        large.expect("an order").layers.len()
    };
    assert!(held_by_large(40) > held_by_large(200));
}

#[test]
fn a_fast_engine_keeps_its_layers_though_slow_ones_could_replace_it() {
    let model = uneven_model();
    let mut engines = fleet(&[("a", 2, 4, 4)]);
    let planner = LayoutPlanner::new(&model);
    let first = planner.plan(&engines);
    apply_orders(&mut engines, &first);
    engines.remove(1);
    let orders = planner.plan(&engines);
    assert!(!orders.is_empty());
    assert!(
        orders.iter().all(|order| &*order.engine != "a-large-0"),
        "{orders:?}"
    );
}

#[test]
fn an_empty_engine_takes_layers_over_from_a_slower_replacement() {
    let model = uneven_model();
    let mut engines = fleet(&[("a", 1, 4, 10)]);
    let planner = LayoutPlanner::new(&model);
    let first = planner.plan(&engines);
    apply_orders(&mut engines, &first);
    let lost = engines.remove(0);
    let held = lost.held.expect("layers");
    let orders = planner.plan(&engines);
    apply_orders(&mut engines, &orders);
    engines.push(LayoutEngine { held: None, ..lost });
    let orders = planner.plan(&engines);
    let returned = orders
        .iter()
        .find(|placement| &*placement.engine == "a-large-0");
    let returned = returned
        .expect("an order for the engine that returned")
        .layers;
    assert!(
        returned.start < held.end && held.start < returned.end,
        "{returned:?} for {held:?}"
    );
}

#[test]
fn without_spare_engines_neighbours_widen_their_ranges() {
    let model = model();
    let held = |start, end| Some(LayerRange { start, end });
    let mut engines = fleet(&[("a", 5, 0, 0)]);
    let ranges = [
        held(0, 16),
        held(16, 32),
        held(32, 48),
        held(48, 64),
        held(64, 80),
    ];
    for (engine, range) in engines.iter_mut().zip(ranges) {
        engine.held = range;
    }
    engines.remove(2);
    let orders = LayoutPlanner::new(&model).plan(&engines);
    assert!(!orders.is_empty());
    apply_orders(&mut engines, &orders);
    assert_fits(&model, &engines);
    let is_held = |layer: &u16| {
        let mut held = engines.iter().filter_map(|engine| engine.held);
        held.any(|range| range.contains(*layer))
    };
    let count = (0..80).filter(is_held).count();
    assert!(count > 64, "{orders:?}");
    // Layers of the remaining engines stay held.
    assert!([0, 20, 50, 70].iter().all(is_held));
}

#[test]
fn a_copy_moves_to_layers_whose_holder_has_little_free_cache() {
    let model = model();
    let held = |start, end| Some(LayerRange { start, end });
    let mut engines = fleet(&[("a", 4, 6, 0)]);
    let ranges = [
        held(0, 16),
        held(16, 32),
        held(32, 48),
        // 20 layers leave a large engine cache for some ten requests.
        held(48, 68),
        held(68, 80),
        held(0, 9),
        held(0, 9),
        held(9, 18),
        held(18, 27),
        held(27, 36),
    ];
    for (engine, range) in engines.iter_mut().zip(ranges) {
        engine.held = range;
    }
    let orders = LayoutPlanner::new(&model).plan(&engines);
    let relieving = orders.iter().find(|order| order.layers.start >= 48);
    assert!(relieving.is_some(), "{orders:?}");
    apply_orders(&mut engines, &orders);
    assert!(covers(&engines, "a"));
}

/// The cache capacity, in tokens, of the layer whose holders have the least together.
fn min_cache_tokens(model: &ModelShape, engines: &[LayoutEngine]) -> f64 {
    let capacity = |layer: u16| -> f64 {
        let holders = engines.iter().filter_map(|engine| {
            let held = engine.held.filter(|held| held.contains(layer))?;
            let kind = model.kind(&engine.kind)?;
            Some(model.cache_tokens(kind, held.len()))
        });
        holders.sum()
    };
    (0..80).map(capacity).fold(f64::INFINITY, f64::min)
}

/// Starts from the state after a loss: one engine was widened until it had almost no
/// cache left, and the neighbours that returned have plenty.
#[test]
fn a_widened_engine_hands_layers_over_to_its_neighbours() {
    let model = model();
    let held = |start, end| Some(LayerRange { start, end });
    let mut engines = fleet(&[("a", 6, 0, 0)]);
    let ranges = [
        held(0, 20),
        held(20, 32),
        held(32, 44),
        held(44, 56),
        held(56, 68),
        held(68, 80),
    ];
    for (engine, range) in engines.iter_mut().zip(ranges) {
        engine.held = range;
    }
    let before = min_cache_tokens(&model, &engines);
    for step in 0..8 {
        let orders = LayoutPlanner::new(&model).plan(&engines);
        if orders.is_empty() {
            break;
        }
        // While an engine loads, it serves only those of its new layers that it held
        // before.
        let mut loading = engines.clone();
        for order in &orders {
            let engine = loading
                .iter_mut()
                .find(|engine| engine.engine == order.engine);
            let engine = engine.expect("a known engine");
            let kept = engine.held.map(|held| LayerRange {
                start: held.start.max(order.layers.start),
                end: held.end.min(order.layers.end),
            });
            engine.held = kept;
            engine.is_busy = true;
        }
        assert!(covers(&loading, "a"), "step {step}: {orders:?}");
        let meanwhile = LayoutPlanner::new(&model).plan(&loading);
        assert!(meanwhile.is_empty(), "step {step}: {meanwhile:?}");
        apply_orders(&mut engines, &orders);
        assert_fits(&model, &engines);
    }
    let after = min_cache_tokens(&model, &engines);
    assert!(after > before * 3.0, "{before} tokens, then {after}");
    let orders = LayoutPlanner::new(&model).plan(&engines);
    assert!(orders.is_empty(), "the layout is stable: {orders:?}");
}

#[test]
fn a_domain_is_returning_while_its_engines_return_one_by_one() {
    let window = Duration::from_millis(700);
    let all = site();
    let without_a: Vec<LayoutEngine> = all
        .iter()
        .filter(|engine| &*engine.domain != "a")
        .cloned()
        .collect();
    let mut arrivals = ArrivalTracker::new(window);
    let mut now = Instant::now();
    arrivals.observe(&all, now);
    assert!(
        !arrivals.is_returning(&"a".into(), now),
        "engines of the first observation didn't return"
    );
    now += Duration::from_secs(5);
    arrivals.observe(&without_a, now);
    assert!(!arrivals.is_returning(&"a".into(), now));
    for returned in 2..=11 {
        now += Duration::from_millis(100);
        let mut listed = without_a.clone();
        listed.extend(all.iter().take(returned).cloned());
        arrivals.observe(&listed, now);
        assert!(arrivals.is_returning(&"a".into(), now), "{returned}");
        assert!(!arrivals.is_returning(&"b".into(), now));
    }
    now += window;
    arrivals.observe(&all, now);
    assert!(
        !arrivals.is_returning(&"a".into(), now),
        "all have returned"
    );
}

#[test]
fn a_single_new_engine_does_not_make_its_domain_returning() {
    let mut arrivals = ArrivalTracker::new(Duration::from_millis(700));
    let all = site();
    let now = Instant::now();
    arrivals.observe(&all[1..], now);
    let later = now + Duration::from_secs(1);
    arrivals.observe(&all, later);
    assert!(!arrivals.is_returning(&"a".into(), later));
}

#[rstest]
#[case::zero_step_factor(0.0, 1.0, 36_000.0)]
#[case::zero_read_factor(1.0, 0.0, 36_000.0)]
#[case::nan(f64::NAN, 1.0, 36_000.0)]
#[case::infinite_memory(1.0, 1.0, f64::INFINITY)]
#[case::memory_below_one_layer(1.0, 1.0, 1_000.0)]
fn a_kind_with_invalid_figures_gets_no_order(
    #[case] step_factor: f64,
    #[case] read_factor: f64,
    #[case] memory_mb: f64,
) {
    let mut model = model();
    model.kinds[0] = AcceleratorKind {
        name: "large".to_owned(),
        memory_mb,
        step_factor,
        read_factor,
    };
    let engines = site();
    let orders = LayoutPlanner::new(&model).plan(&engines);
    assert!(!orders.is_empty());
    assert!(
        orders
            .iter()
            .all(|placement| !placement.engine.contains("large")),
        "{orders:?}"
    );
}

#[rstest]
#[case::layer_mb(|model: &mut ModelShape| model.layer_mb = 0.0)]
#[case::step_ms(|model: &mut ModelShape| model.step_ms = 0.0)]
#[case::read_tokens_per_ms(|model: &mut ModelShape| model.read_tokens_per_ms = 0.0)]
#[case::layers(|model: &mut ModelShape| model.layers = 0)]
#[case::steps_per_pass(|model: &mut ModelShape| model.steps_per_pass = 0.0)]
fn planning_does_not_panic_on_invalid_model_figures(#[case] invalidate: impl Fn(&mut ModelShape)) {
    let mut model = model();
    invalidate(&mut model);
    let mut engines = site();
    let orders = LayoutPlanner::new(&model).plan(&engines);
    apply_orders(&mut engines, &orders);
    assert_fits(&model, &engines);
}

proptest! {
    /// From any layers that engines hold, orders fit in memory and end within 40 rounds.
    #[test]
    fn orders_fit_and_end_from_any_layout(
        held in vec((any::<bool>(), 0..80_u16, 1..9_u16), 37)
    ) {
        let model = model();
        let planner = LayoutPlanner::new(&model);
        let mut engines = site();
        for (engine, (is_held, start, length)) in engines.iter_mut().zip(held) {
            let end = (start + length).min(80);
            engine.held = is_held.then_some(LayerRange { start, end });
        }
        let mut rounds = 0;
        loop {
            let orders = planner.plan(&engines);
            if orders.is_empty() {
                break;
            }
            apply_orders(&mut engines, &orders);
            assert_fits(&model, &engines);
            rounds += 1;
            assert!(rounds < 40, "orders don't end: {orders:?}");
        }
    }
}

#[rstest]
#[case::last_layers_missing(&[(0, 19), (19, 38), (34, 53), (53, 64), (64, 75), (70, 77)])]
#[case::middle_layers_missing(&[(0, 19), (23, 42), (42, 61), (61, 72), (69, 80), (70, 77)])]
#[case::first_layers_missing(&[(4, 23), (23, 42), (42, 61), (58, 69), (69, 80), (66, 73)])]
fn a_domain_with_overlapping_ranges_covers_all_layers_again(#[case] held: &[(u16, u16)]) {
    let mut engines = fleet(&[("domain", 3, 2, 1)]);
    for (engine, (start, end)) in engines.iter_mut().zip(held) {
        let (start, end) = (*start, *end);
        engine.held = Some(LayerRange { start, end });
    }
    let model = model();
    // Each plan follows after the orders of the previous one are carried out.
    for _ in 0..3 {
        for placement in LayoutPlanner::new(&model).plan(&engines) {
            let engine = engines
                .iter_mut()
                .find(|engine| engine.engine == placement.engine)
                .expect("an engine of the domain");
            engine.held = Some(placement.layers);
        }
    }
    let is_held = |layer: u16| {
        let mut ranges = engines.iter().filter_map(|engine| engine.held);
        ranges.any(|range| range.contains(layer))
    };
    let missing: Vec<u16> = (0..80).filter(|layer| !is_held(*layer)).collect();
    assert_eq!(missing, Vec::<u16>::new(), "{engines:?}");
    assert!(LayoutPlanner::new(&model).plan(&engines).is_empty());
}
