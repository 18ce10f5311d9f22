//! Streams that may run once, and engines that now and then answer twice.
//!
//! Counts how often an engine began to run each attempt, and compares that with what the
//! clients were told. Exits with 1 if an attempt ran twice, with 0 if none did, and with 2 if
//! the case couldn't run. Attempts that ran although their clients got the promise that they
//! didn't are recorded, and don't change the exit status.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::client;
use review_standins::client::Outcome;
use review_standins::engine::Fleet;
use review_standins::engine::Garble;
use review_standins::engine::Model;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Deployment;
use review_standins::store::Store;

const INSTANCES: u8 = 8;
const ENGINES: u8 = 24;
/// How long clients send.
const LENGTH: Duration = Duration::from_secs(80);
/// Requests a second.
const RATE: f64 = 85.0;
const PROMPT_TOKENS: u32 = 200;
/// Tokens of an answer: from 40 to 160.
const MIN_ANSWER: u32 = 40;
const ANSWER_RANGE: f64 = 120.0;
/// What clients state as the most; three times the mean.
const MOST_ANSWER: u32 = 300;
/// The disruption `garble`, how `extra late`: 5 s long, half of the engines, 0.03 of
/// their rejections. The engines are drawn anew each time.
const GARBLE: Garble = Garble {
    share: 0.03,
    late_by: Duration::from_millis(8),
};
const GARBLE_FOR: Duration = Duration::from_secs(5);
const GARBLE_PAUSE: Duration = Duration::from_secs(1);
const GARBLED_ENGINES: usize = 12;

const MODEL: Model = Model {
    layers: 8,
    layer_mb: 1_000.0,
    mb: 5_000.0,
    token_bytes: 4_800_000.0,
    first_event: Duration::from_millis(40),
    event_every: Duration::from_millis(20),
};

fn config() -> String {
    "{\"Version\":1,\"Routes\":[{\"Name\":\"draft\",\"Host\":\"site.example\",\
     \"PathPrefix\":\"/draft/\",\"RouteType\":\"streaming\",\"TimeoutMs\":20000,\
     \"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"pool\",\"MaxAttempts\":2,\
     \"Public\":false,\"SessionAffinity\":true,\"StreamResume\":false,\"gap_aim_ms\":200}],\
     \"Services\":[{\"Name\":\"pool\",\"HealthPath\":\"/health\",\"MaxConns\":1078,\
     \"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":192,\"KvTokenBytes\":4800000,\
     \"step_ms\":10.0,\"per_seq_ms\":0.0,\"context_per_k\":0.0,\"read_per_s\":10000.0,\
     \"stride\":1,\"usual\":{\"prompt\":200,\"answer\":100},\"layers\":8,\"layer_mb\":1000.0,\
     \"act_bytes\":1000,\"pipe_mbps\":8000.0,\
     \"kinds\":[{\"Name\":\"k\",\"mb\":5000.0,\"pace\":1.0,\"read_x\":1.0}]}}],\
     \"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\
     \"IdleTimeoutMs\":15000},\
     \"Tenants\":[{\"Name\":\"tenant\",\"ApiKeys\":[\"key\"],\"Priority\":1}]}"
        .to_owned()
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let record_path = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if !site::has_program() {
        eprintln!("{} isn't built", site::PROGRAM);
        return ExitCode::from(2);
    }
    let folder = site::temporary_folder("surplus-answers");
    let code = play(&record_path, &folder, has_trouble);
    let _ = std::fs::remove_dir_all(&folder);
    ExitCode::from(code)
}

fn play(record_path: &std::path::Path, folder: &std::path::Path, has_trouble: bool) -> u8 {
    let record = Record::create(record_path);
    let store_addr = site::free_addr(site::machine_ip(250));
    let store = Store::start(store_addr);
    store.put("config", "main", &config());
    let seed = u64::from(std::process::id()) << 20 | 0x9e37;
    let fleet = Fleet::new("pool", MODEL, &store, &record, seed);
    let engines: Vec<_> = (0..ENGINES)
        .map(|number| site::free_addr(site::machine_ip(100 + number)))
        .collect();
    for (number, addr) in engines.iter().enumerate() {
        fleet.start(*addr, &format!("i-e{number}"), "a");
    }
    let ips: Vec<_> = (0..INSTANCES)
        .map(|number| site::machine_ip(1 + number))
        .collect();
    let ports = site::free_ports(&ips);
    let deployment = Deployment {
        store: store_addr,
        seeds: ips.iter().map(|ip| (*ip, ports.control).into()).collect(),
        folder: folder.to_owned(),
        retry_slack: 202,
    };
    let instances: Vec<_> = ips
        .iter()
        .enumerate()
        .map(|(number, ip)| deployment.start(&format!("edge-{number}"), "a", *ip, ports, true))
        .collect();
    let limit = Duration::from_secs(15);
    let is_up = site::wait_until(limit, || {
        instances.iter().all(|instance| instance.is_ready())
    }) && site::wait_until(limit, || fleet.is_placed());
    if !is_up {
        record.line("the site didn't come up");
        record.flush();
        return 2;
    }
    // The last placements show in the store before requests come.
    thread::sleep(Duration::from_secs(3));
    record.line("the site is up");

    let garbling = {
        let fleet = fleet.clone();
        let mut garbled = engines.clone();
        let record = record.clone();
        thread::spawn(move || {
            let until = Instant::now() + LENGTH;
            while has_trouble && Instant::now() < until {
                garbled.sort_by_cached_key(|_| (fleet.chance() * 1e9) as u64);
                let garbled = &garbled[..GARBLED_ENGINES];
                record.line(&format!("garble begins at {garbled:?}"));
                garbled
                    .iter()
                    .for_each(|addr| fleet.set_garble(*addr, GARBLE));
                thread::sleep(GARBLE_FOR);
                garbled
                    .iter()
                    .for_each(|addr| fleet.set_garble(*addr, Garble::default()));
                record.line("garble ends");
                thread::sleep(GARBLE_PAUSE);
            }
        })
    };

    let told: Arc<Mutex<BTreeMap<String, Outcome>>> = Arc::default();
    let mut clients = Vec::new();
    let began = Instant::now();
    let mut number = 0;
    while began.elapsed() < LENGTH {
        let gap_s = -(1.0 - fleet.chance()).ln() / RATE;
        thread::sleep(Duration::from_secs_f64(gap_s));
        number += 1;
        let addr = instances[number % instances.len()].front();
        let attempt = format!("{:08x}{number:08x}", seed as u32);
        let answer = MIN_ANSWER + (fleet.chance() * ANSWER_RANGE) as u32;
        // Right at the median, and often far off.
        let hint = (f64::from(answer) * 4f64.powf(fleet.chance() * 2.0 - 1.0)).round();
        let body = format!("draft {number}");
        let request = format!(
            "POST /draft/{number} HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token key\r\n\
             X-Rookferry-Attempt-Id: {attempt}\r\nX-Rookferry-Model: m\r\n\
             X-Rookferry-Token-Usage: {PROMPT_TOKENS},{MOST_ANSWER}\r\n\
             X-Rookferry-Prompt-Prefix: {number:x}:{PROMPT_TOKENS}\r\n\
             X-Rookferry-Deadline-Ms: 20000\r\nLength-Hint: {hint}\r\nAnswer-Tokens: {answer}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let (told, record) = (told.clone(), record.clone());
        clients.push(thread::spawn(move || {
            record.line(&format!("client: {attempt} sent"));
            let outcome = client::exchange(addr, request.as_bytes(), Duration::from_secs(20));
            record.line(&format!("client: {attempt} got {}", outcome.describe()));
            told.lock().expect("a lock").insert(attempt, outcome);
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = garbling.join();
    // What was sent may still run.
    thread::sleep(Duration::from_secs(5));
    drop(instances);
    let told = told.lock().expect("a lock").clone();
    judge(&record, &fleet, &told)
}

/// Compares the runs with what the clients were told; the script's exit code.
fn judge(record: &Record, fleet: &Fleet, told: &BTreeMap<String, Outcome>) -> u8 {
    let runs = fleet.runs();
    let promised = |attempt: &String| {
        let outcome = told.get(attempt);
        matches!(
            outcome,
            Some(Outcome::Answer {
                status: 503 | 429 | 421 | 408,
                ..
            })
        )
    };
    let twice: Vec<_> = runs.iter().filter(|(_, runs)| runs.len() > 1).collect();
    let denied: Vec<_> = runs.keys().filter(|attempt| promised(attempt)).collect();
    let served = told
        .values()
        .filter(|outcome| matches!(outcome, Outcome::Answer { status: 200, .. }));
    let summary = format!(
        "{} requests, {} served, {} ran, TWICE: {}, REFUSED: {}",
        told.len(),
        served.count(),
        runs.len(),
        twice.len(),
        denied.len()
    );
    for (attempt, runs) in &twice {
        record.line(&format!("TWICE: {attempt} ran at {}", runs.join(", ")));
    }
    for attempt in &denied {
        record.line(&format!(
            "REFUSED: {attempt} ran, and its client was told that it didn't"
        ));
    }
    record.line(&summary);
    record.flush();
    println!("{summary}");
    if told
        .values()
        .all(|outcome| !matches!(outcome, Outcome::Answer { status: 200, .. }))
    {
        return 2;
    }
    // REFUSED is told as well, but the case claims TWICE.
    u8::from(!twice.is_empty())
}
