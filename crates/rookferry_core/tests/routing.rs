//! Choice of chains, measured engine statistics, cache events, the throughput bound and
//! placement.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use proptest::collection::vec;
use proptest::prop_assert;
use proptest::prop_assert_eq;
use proptest::proptest;
use rookferry_core::CandidateVerdict;
use rookferry_core::ChainRequest;
use rookferry_core::ChooserKind;
use rookferry_core::ChosenChain;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::LayerGraph;
use rookferry_core::PlacementLimits;
use rookferry_core::PlacementPlanner;
use rookferry_core::PolicyConfig;
use rookferry_core::PrefixIndex;
use rookferry_core::RatedEngine;
use rookferry_core::SiteConfig;
use rookferry_core::chooser_for;
use rookferry_core::throughput_bound;
use rookferry_wire::CacheEvent;
use rookferry_wire::CacheEvents;
use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::LayerRange;
use rookferry_wire::LoadReport;
use rookferry_wire::Order;
use rstest::rstest;
use serde_json::json;

const LAYERS: u16 = 6;
const ALL_CHOOSERS: [ChooserKind; 4] = [
    ChooserKind::ExpectedFinish,
    ChooserKind::Random,
    ChooserKind::RoundRobin,
    ChooserKind::LeastOutstanding,
];

fn engine(name: &str, start: u16, end: u16) -> Engine {
    Engine {
        info: EngineInfo {
            engine: name.into(),
            incarnation: 1,
            model: "scribe".into(),
            model_version: "1".to_owned(),
            layers: LayerRange { start, end },
            accelerator: "large".to_owned(),
            labels: [("role".to_owned(), "serving".to_owned())].into(),
            batch_slots: 4,
            checks_fences: true,
            leaving: false,
        },
        addr: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "domain-1".into(),
        state: EngineState::Live,
        stats: Arc::new(EngineStats::new()),
    }
}

fn record_steps(engine: &Engine, round_trip_ms: u64) {
    for _ in 0..20 {
        engine
            .stats
            .record_step(Duration::from_millis(round_trip_ms));
    }
}

fn choose(kind: ChooserKind, engines: &[Engine], excluded: &[EngineId], seed: u64) -> ChosenChain {
    let graph = LayerGraph::new(LAYERS, engines, 0..engines.len());
    let request = ChainRequest {
        layers: graph.all_layers(),
        excluded,
        cached: &[],
        seed,
        ignores_limit: false,
    };
    chooser_for(kind).choose(&PolicyConfig::default(), &graph, engines, &request)
}

fn names(chain: &ChosenChain) -> Vec<&str> {
    chain.stages.iter().map(|stage| &*stage.engine).collect()
}

#[test]
fn the_faster_chain_is_chosen_over_uneven_ranges() {
    let engines = [
        engine("a", 0, 2),
        engine("b", 2, 6),
        engine("whole", 0, 6),
        engine("c", 0, 3),
        engine("d", 3, 6),
    ];
    for (engine, ms) in engines.iter().zip([10, 10, 50, 30, 30]) {
        record_steps(engine, ms);
    }
    let chain = choose(ChooserKind::ExpectedFinish, &engines, &[], 1);
    assert_eq!(names(&chain), ["a", "b"]);
    let chain = choose(ChooserKind::ExpectedFinish, &engines, &["a".into()], 1);
    assert_eq!(names(&chain), ["whole"]);
}

#[rstest]
fn no_chooser_uses_leaving_or_lost_engines(#[values(0, 1, 2, 3)] kind: usize) {
    let mut engines = vec![engine("a", 0, 6), engine("b", 0, 6), engine("c", 0, 6)];
    engines[0].state = EngineState::Leaving;
    engines[1].state = EngineState::Lost;
    for seed in 0..50 {
        let chain = choose(ALL_CHOOSERS[kind], &engines, &[], seed);
        assert_eq!(names(&chain), ["c"]);
        let verdicts: Vec<CandidateVerdict> =
            chain.candidates.iter().map(|one| one.verdict).collect();
        assert_eq!(
            verdicts,
            [
                CandidateVerdict::Leaving,
                CandidateVerdict::Lost,
                CandidateVerdict::Chosen
            ]
        );
    }
}

#[test]
fn a_full_pool_is_reported_as_full_and_a_gap_is_not() {
    let engines = [engine("a", 0, 6)];
    let now = Instant::now();
    for _ in 0..100 {
        engines[0].stats.record_stream_start(now);
    }
    let chain = choose(ChooserKind::ExpectedFinish, &engines, &[], 1);
    assert!(chain.stages.is_empty() && chain.is_full);
    let engines = [engine("a", 0, 3)];
    let chain = choose(ChooserKind::ExpectedFinish, &engines, &[], 1);
    assert!(chain.stages.is_empty() && !chain.is_full);
}

#[test]
fn new_requests_avoid_a_loaded_engine() {
    let engines = [engine("a", 0, 6), engine("b", 0, 6)];
    record_steps(&engines[0], 10);
    record_steps(&engines[1], 12);
    assert_eq!(
        names(&choose(ChooserKind::ExpectedFinish, &engines, &[], 1)),
        ["a"]
    );
    let now = Instant::now();
    // Twice the slots: fewer streams would share the engine's steps at no cost.
    for _ in 0..8 {
        engines[0].stats.record_stream_start(now);
    }
    assert_eq!(
        names(&choose(ChooserKind::ExpectedFinish, &engines, &[], 1)),
        ["b"]
    );
}

/// Instances don't all choose the same one of equal engines.
#[test]
fn equal_engines_share_the_requests() {
    let engines: Vec<Engine> = (0..4)
        .map(|number| engine(&format!("e{number}"), 0, 6))
        .collect();
    for engine in &engines {
        record_steps(engine, 10);
    }
    let mut counts = [0; 4];
    for seed in 0..400 {
        let chain = choose(ChooserKind::ExpectedFinish, &engines, &[], seed);
        let index = engines
            .iter()
            .position(|one| one.info.engine == chain.stages[0].engine);
        counts[index.expect("a known engine")] += 1;
    }
    assert!(counts.iter().all(|count| *count > 50), "{counts:?}");
}

/// A report counts the streams at its own time; those started since are added.
#[test]
fn an_old_report_is_corrected_by_the_streams_started_since() {
    let stats = EngineStats::new();
    let start = Instant::now();
    stats.record_stream_start(start);
    stats.record_stream_start(start);
    let later = start + Duration::from_millis(500);
    for _ in 0..3 {
        stats.record_stream_start(later);
    }
    let report = LoadReport {
        age_ms: 300,
        streams: 7,
        ..LoadReport::default()
    };
    stats.record_report(start + Duration::from_millis(600), &report);
    assert_eq!(
        stats.streams(),
        5 + 5,
        "five own streams and five of others"
    );
}

#[test]
fn a_step_timeout_follows_the_measured_step_times() {
    let stats = EngineStats::new();
    let floor = Duration::from_millis(100);
    assert_eq!(stats.step_timeout(8.0, floor, 1), floor * 10);
    for _ in 0..50 {
        stats.record_step(Duration::from_millis(20));
    }
    let timeout = stats.step_timeout(8.0, floor, 1);
    assert!(
        timeout >= Duration::from_millis(155) && timeout <= Duration::from_millis(165),
        "{timeout:?}"
    );
}

#[test]
fn a_gap_in_cache_events_removes_the_prefixes_of_the_engine() {
    let mut index = PrefixIndex::new();
    let event = |seq, prefix, stored| CacheEvent {
        seq,
        prefix,
        stored,
    };
    let events = |events: Vec<CacheEvent>| CacheEvents { next: 0, events };
    let engine: EngineId = "a".into();
    index.on_events(&engine, &events(vec![event(1, 7, true), event(2, 8, true)]));
    assert_eq!(index.holders(7).first(), Some(&engine));
    index.on_events(&engine, &events(vec![event(3, 7, false)]));
    assert!(index.holders(7).is_empty());
    index.on_events(&engine, &events(vec![event(9, 5, true)]));
    assert!(
        index.holders(8).is_empty(),
        "prefixes from before the gap are removed"
    );
    assert_eq!(index.holders(5), [engine]);
}

/// The expected values are the minimum cuts of the layer graphs.
#[test]
fn the_bound_is_the_minimum_cut() {
    let rated = |start, end, tokens_per_s| RatedEngine {
        layers: LayerRange { start, end },
        tokens_per_s,
    };
    assert_eq!(
        throughput_bound(6, &[rated(0, 6, 10), rated(0, 3, 5), rated(3, 6, 7)]),
        15
    );
    assert_eq!(throughput_bound(6, &[rated(0, 3, 5)]), 0);
    assert_eq!(
        throughput_bound(
            6,
            &[
                rated(0, 2, 9),
                rated(2, 4, 4),
                rated(2, 4, 4),
                rated(4, 6, 9)
            ]
        ),
        8
    );
}

proptest! {
    /// For any ranges, a chain covers each layer once and in order, and one is found
    /// whenever the live engines cover all layers.
    #[test]
    fn a_chain_covers_every_layer_once(
        ranges in vec((0_u16..LAYERS, 1_u16..=LAYERS), 1..12),
        kind in 0_usize..4,
        seed in 0_u64..1_000,
    ) {
        let engines: Vec<Engine> = ranges
            .iter()
            .enumerate()
            .map(|(number, (start, length))| engine(&format!("e{number}"), *start, (*start + *length).min(LAYERS)))
            .collect();
        let graph = LayerGraph::new(LAYERS, &engines, 0..engines.len());
        let chain = choose(ALL_CHOOSERS[kind], &engines, &[], seed);
        prop_assert_eq!(!chain.stages.is_empty(), graph.is_covered(&engines));
        let mut next = 0;
        for stage in &chain.stages {
            prop_assert_eq!(stage.layers.start, next);
            next = stage.layers.end;
        }
        prop_assert!(chain.stages.is_empty() || next == LAYERS);
    }
}

fn placement_config(version: &str) -> SiteConfig {
    let config = json!({
        "models": {"scribe": {"layers": LAYERS}},
        "placement": [{"name": "all", "selector": "", "model": "scribe", "version": version,
            "layers": {"start": 0, "end": LAYERS}}],
    });
    SiteConfig::from_json(&config.to_string()).expect("no errors")
}

/// Carries out all orders at once.
fn apply_orders(engines: &mut [Engine], orders: &[rookferry_core::PlannedOrder]) {
    for planned in orders {
        let engine = engines
            .iter_mut()
            .find(|engine| engine.info.engine == planned.engine);
        let info = &mut engine.expect("a known engine").info;
        match &planned.order {
            Order::Load { version, .. } => info.model_version.clone_from(version),
            Order::SetRole { role } => {
                info.labels.insert("role".to_owned(), role.clone());
            }
            Order::LoadAdapter { .. } => {}
        }
    }
}

/// While a new version is rolled out, at least one engine serves at all times.
#[test]
fn a_rollout_never_drains_all_engines() {
    let mut engines = vec![engine("a", 0, 6), engine("b", 0, 6), engine("c", 0, 6)];
    let config = placement_config("2");
    let limits = PlacementLimits {
        at_once: 2,
        load_interval: Duration::from_secs(1),
        drain_timeout: Duration::from_mins(1),
    };
    let mut planner = PlacementPlanner::new(limits);
    let start = Instant::now();
    for half_second in 0..200 {
        let orders = planner.plan(
            start + Duration::from_millis(half_second * 500),
            &config,
            &engines,
        );
        apply_orders(&mut engines, &orders);
        let serving = engines
            .iter()
            .filter(|one| !rookferry_core::is_draining(one));
        assert!(serving.count() >= 1, "no engine serves");
    }
    let done = |one: &Engine| one.info.model_version == "2" && !rookferry_core::is_draining(one);
    assert!(engines.iter().all(done), "{engines:?}");
}

#[test]
fn an_engine_with_streams_is_drained_before_it_loads() {
    let mut engines = vec![engine("a", 0, 6), engine("b", 0, 6)];
    engines[0].stats.record_stream_start(Instant::now());
    let limits = PlacementLimits {
        at_once: 1,
        load_interval: Duration::ZERO,
        drain_timeout: Duration::from_secs(30),
    };
    let mut planner = PlacementPlanner::new(limits);
    let start = Instant::now();
    let mut loaded_at = None;
    for second in 0..60 {
        let orders = planner.plan(
            start + Duration::from_secs(second),
            &placement_config("2"),
            &engines,
        );
        let loads = |one: &rookferry_core::PlannedOrder| matches!(one.order, Order::Load { .. });
        if orders.iter().any(loads) && loaded_at.is_none() {
            loaded_at = Some(second);
        }
        apply_orders(&mut engines, &orders);
    }
    // Counted from the engine's report that it drains, one plan after the order.
    assert_eq!(loaded_at, Some(31), "loads only after the drain timeout");
}

#[test]
fn an_engine_whose_layers_no_other_holds_is_not_drained() {
    let engines = vec![engine("a", 0, 6)];
    let limits = PlacementLimits {
        at_once: 4,
        load_interval: Duration::ZERO,
        drain_timeout: Duration::from_secs(1),
    };
    let mut planner = PlacementPlanner::new(limits);
    assert!(
        planner
            .plan(Instant::now(), &placement_config("2"), &engines)
            .is_empty()
    );
}

/// Own streams that hadn't changed for longer than the history were counted twice, also
/// as streams of other instances.
#[test]
fn unchanged_own_streams_are_not_counted_as_those_of_others() {
    let stats = EngineStats::new();
    let start = Instant::now();
    stats.record_stream_start(start);
    let much_later = start + Duration::from_secs(30);
    stats.record_stream_start(much_later);
    let report = LoadReport {
        age_ms: 300,
        streams: 1,
        ..LoadReport::default()
    };
    stats.record_report(much_later + Duration::from_millis(100), &report);
    assert_eq!(stats.streams(), 2);
}
