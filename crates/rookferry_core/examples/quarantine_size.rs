//! Measures the memory and time that quarantined and suspected requests cost an
//! instance.
//!
//! `cargo run --release -p rookferry_core --example quarantine_size`

use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use rookferry_core::Quarantine;
use rookferry_core::RequestSignature;
use rookferry_core::RunEnd;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;

/// Number of requests; more than the quarantine retains.
const REQUESTS: u32 = 20_000;
/// Server crashes per request.
const ENDS: u16 = 5;
/// Maximum number of requests in one heartbeat.
const TOLD: usize = 24;
/// Size of the request body that signatures are computed over.
const BODY_BYTES: usize = 4_096;

fn signature(number: u32, body: &[u8]) -> RequestSignature {
    RequestSignature::new(Some("account"), "POST", &format!("/{number}"), body)
}

fn server(number: u16) -> ServerKey {
    let addr = SocketAddr::from(([10, 0, 0, 1], number));
    ServerKey::new(addr, "server", Some(u64::from(number)))
}

/// Resident memory of this process in kilobytes; 0 if the system doesn't report it.
fn resident_kb() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().next());
    number
        .and_then(|number| number.parse().ok())
        .unwrap_or_default()
}

fn main() {
    let before_kb = resident_kb();
    let start = Instant::now();
    let mut quarantine = Quarantine::new();
    for request in 0..REQUESTS {
        for end in 0..ENDS {
            let end = RunEnd {
                server: server(end),
                run: 0,
                progress: RunProgress::Answering,
                joined_at: start,
                alive_at: start,
                at: start,
            };
            quarantine.note_end(signature(request, b""), end, start);
        }
    }
    let noted_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS * u32::from(ENDS));
    let kept = quarantine.len();
    println!("retained {kept} requests, {} kB", resident_kb() - before_kb);
    println!("{noted_us:.2} us to record a crash");

    let round = Instant::now();
    let told = quarantine.next_told(TOLD, start);
    let round_us = round.elapsed().as_secs_f64() * 1e6;
    let ends: usize = told.iter().map(|seen| seen.ends.len()).sum();
    println!(
        "{} requests with {ends} crashes in a heartbeat, selected in {round_us:.0} us",
        told.len()
    );

    let body = vec![7; BODY_BYTES];
    let signing = Instant::now();
    for request in 0..REQUESTS {
        std::hint::black_box(signature(request, &body));
    }
    let signed_us = signing.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
    println!("{signed_us:.2} us to compute a signature over {BODY_BYTES} bytes");
}
