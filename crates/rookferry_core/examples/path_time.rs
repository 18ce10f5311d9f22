//! Measures the time of a path search over the engines of a site.
//!
//! `cargo run --release -p rookferry_core --example path_time`

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rookferry_core::PathFinder;
use rookferry_core::PipelineEngine;
use rookferry_core::ServerKey;
use rookferry_wire::LayerRange;

const LAYERS: u16 = 80;
const DOMAINS: usize = 5;
const SEARCHES: u32 = 200;
/// Tokens of the request.
const TOKENS: f64 = 950.0;

/// Engines of two kinds as in a planned layout: aligned ranges, each held by about
/// the same number of engines.
fn fleet(count: usize, rng: &mut StdRng) -> Vec<PipelineEngine> {
    let engines = (0..count).map(|number| {
        let (length, layer_step_ms) = if number % 3 == 0 {
            (16, 0.03)
        } else {
            (8, 0.18)
        };
        let range_index = u16::try_from(number / DOMAINS).unwrap_or(0) % (LAYERS / length);
        PipelineEngine {
            engine: format!("engine-{number}").into(),
            server: ServerKey::new(
                SocketAddr::from(([10, 0, 0, 1], u16::try_from(number).unwrap_or(0))),
                &number.to_string(),
                None,
            ),
            domain: format!("domain-{}", number % DOMAINS).into(),
            held: LayerRange {
                start: range_index * length,
                end: (range_index + 1) * length,
            },
            layer_step_ms,
            cache_tokens: 30_000.0,
            used_tokens: rng.random_range(0.0..20_000.0),
            is_refusing: false,
        }
    });
    engines.collect()
}

fn search_time(engines: &[PipelineEngine]) -> Duration {
    let home = "domain-0".into();
    let started_at = Instant::now();
    for _ in 0..SEARCHES {
        let path = PathFinder::new(LAYERS, engines).find(&home, TOKENS);
        let _ = std::hint::black_box(path);
    }
    started_at.elapsed() / SEARCHES
}

fn main() {
    let mut rng = StdRng::seed_from_u64(1);
    for count in [40, 218, 2_900] {
        let engines = fleet(count, &mut rng);
        println!("{count} engines: {:.1?} per search", search_time(&engines));
    }
}
