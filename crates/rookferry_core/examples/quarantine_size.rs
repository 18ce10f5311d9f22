//! Measures the memory and time that quarantined and suspected requests cost an
//! instance.
//!
//! `cargo run --release -p rookferry_core --example quarantine_size`

use std::fs;
use std::net::SocketAddr;
use std::time::Instant;

use rookferry_core::Quarantine;
use rookferry_core::RequestSignature;
use rookferry_core::RunCrash;
use rookferry_core::RunProgress;
use rookferry_core::ServerKey;

/// Number of requests; more than the quarantine retains.
const REQUESTS: u32 = 20_000;
/// Server crashes per request.
const CRASHES: u16 = 5;
/// Maximum number of requests in one heartbeat.
const REQUESTS_PER_HEARTBEAT: usize = 24;
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
        for crash in 0..CRASHES {
            let crash = RunCrash {
                server: server(crash),
                run: 0,
                progress: RunProgress::Answering,
                joined_at: start,
                alive_at: start,
                at: start,
            };
            quarantine.record_crash(signature(request, b""), crash, start);
        }
    }
    let record_us = start.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS * u32::from(CRASHES));
    let retained = quarantine.len();
    println!(
        "retained {retained} requests, {} kB",
        resident_kb() - before_kb
    );
    println!("{record_us:.2} us to record a crash");

    let selection_start = Instant::now();
    let observations = quarantine.next_advertised(REQUESTS_PER_HEARTBEAT, start);
    let selection_us = selection_start.elapsed().as_secs_f64() * 1e6;
    let crashes: usize = observations.iter().map(|request| request.ends.len()).sum();
    println!(
        "{} requests with {crashes} crashes in a heartbeat, selected in {selection_us:.0} us",
        observations.len()
    );

    let body = vec![7; BODY_BYTES];
    let signing_start = Instant::now();
    for request in 0..REQUESTS {
        std::hint::black_box(signature(request, &body));
    }
    let signing_us = signing_start.elapsed().as_secs_f64() * 1e6 / f64::from(REQUESTS);
    println!("{signing_us:.2} us to compute a signature over {BODY_BYTES} bytes");
}
