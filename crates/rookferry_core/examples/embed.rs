//! Embeds the coordination crate: chooses a chain of engines by their labels and
//! drives a stream over it, during which one engine is lost and replaced.
//!
//! The engines are functions in this program. An embedder calls engines over its
//! own transport instead, and returns the outcome of each action as an event.
//!
//! ```text
//! cargo run -p rookferry_core --example embed
//! ```

use std::collections::BTreeMap;
use std::sync::Arc;

use rookferry_core::ChainRequest;
use rookferry_core::ChooserKind;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::EngineStats;
use rookferry_core::Fleet;
use rookferry_core::GateVerdict;
use rookferry_core::SiteConfig;
use rookferry_core::Stage;
use rookferry_core::StageEvent;
use rookferry_core::StageGate;
use rookferry_core::StreamAction;
use rookferry_core::StreamDriver;
use rookferry_core::StreamSpec;
use rookferry_core::chooser_for;
use rookferry_wire::AttemptResponse;
use rookferry_wire::EngineId;
use rookferry_wire::EngineInfo;
use rookferry_wire::LayerRange;
use rookferry_wire::Step;
use uuid::Uuid;

const CONFIG: &str = r#"{
    "models": {"scribe": {"layers": 2}},
    "pools": {"quick": {"selector": "accelerator = large"}}
}"#;

fn main() {
    let config = SiteConfig::from_json(CONFIG).expect("no errors");
    let engines =
        [("a1", 0), ("a2", 0), ("b1", 1), ("b2", 1)].map(|(name, layer)| engine(name, layer));
    let fleet = Fleet::new(&config, engines.into());
    let mut gates: BTreeMap<EngineId, StageGate> = BTreeMap::new();
    let mut driver = StreamDriver::new(StreamSpec {
        stream: Uuid::now_v7(),
        stages: choose(&config, &fleet, LayerRange { start: 0, end: 2 }, &[]),
        prompt: vec![3, 4],
        max_tokens: 4,
        stop_token: None,
        priority: 0,
    });
    let mut steps = 0;
    let mut actions = driver.start();
    while !actions.is_empty() {
        let mut events = Vec::new();
        for action in std::mem::take(&mut actions) {
            match action {
                StreamAction::Send { engine, step } => {
                    steps += 1;
                    if steps == 4 {
                        println!("{engine} is lost");
                        gates.remove(&engine);
                        let attempt = step.attempt;
                        events.push(StageEvent::Lost { engine, attempt });
                    } else {
                        events.push(run(&mut gates, engine, &step));
                    }
                }
                StreamAction::Open { engine, request } => {
                    let gate = gates.entry(engine.clone()).or_default();
                    if let AttemptResponse::Opened { kept } =
                        gate.open(request.attempt, request.keep)
                    {
                        let attempt = request.attempt;
                        events.push(StageEvent::Opened {
                            engine,
                            attempt,
                            kept,
                        });
                    }
                }
                StreamAction::Replace { layers, lost } => {
                    let stages = choose(&config, &fleet, layers, &[lost]);
                    events.push(StageEvent::Replaced { stages });
                }
                StreamAction::Emit { index, token } => println!("token {index}: {token}"),
                StreamAction::Finish => println!("the answer is complete"),
                StreamAction::Abandon { reason } => println!("stream abandoned: {reason:?}"),
            }
        }
        for event in events {
            actions.extend(driver.on_event(event));
        }
    }
}

fn choose(
    config: &SiteConfig,
    fleet: &Fleet,
    layers: LayerRange,
    excluded: &[EngineId],
) -> Vec<Stage> {
    let graph = fleet.graph("quick", "scribe").expect("a configured pool");
    let request = ChainRequest {
        layers,
        excluded,
        cached: &[],
        seed: 7,
        ignores_limit: false,
    };
    let chooser = chooser_for(ChooserKind::ExpectedFinish);
    chooser
        .choose(&config.policy, graph, fleet.engines(), &request)
        .stages
}

/// Runs a step on an engine whose single layer adds one to each input.
fn run(gates: &mut BTreeMap<EngineId, StageGate>, engine: EngineId, step: &Step) -> StageEvent {
    let gate = gates.entry(engine.clone()).or_default();
    if let GateVerdict::Run { from } = gate.check(step) {
        let skip = (from - step.position) as usize;
        let outputs: Vec<u64> = step.input[skip..].iter().map(|input| input + 1).collect();
        gate.record(&outputs);
    }
    StageEvent::Done {
        engine,
        attempt: step.attempt,
        output: gate.outputs(step.position, step.input.len()).to_vec(),
    }
}

fn engine(name: &str, layer: u16) -> Engine {
    Engine {
        info: EngineInfo {
            engine: name.into(),
            incarnation: 1,
            model: "scribe".into(),
            model_version: "1".to_owned(),
            layers: LayerRange {
                start: layer,
                end: layer + 1,
            },
            accelerator: "large".to_owned(),
            labels: BTreeMap::new(),
            batch_slots: 8,
            checks_fences: true,
            leaving: false,
        },
        addr: "127.0.0.1:1".parse().expect("an address"),
        failure_domain: "domain-1".into(),
        state: EngineState::Live,
        stats: Arc::new(EngineStats::new()),
    }
}
