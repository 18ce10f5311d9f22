//! Case 8: the operator changes `IdleTimeoutMs`, and the number is written with a decimal
//! point, as some encoders do. The next version takes a key away.
//!
//! CONFIG with `StrictRevoke`: a request runs although it was sent more than `RevokeMs`
//! after the acknowledgement of the configuration that removed its key.

use std::collections::HashSet;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins_2::http;
use review_standins_2::http::header;
use review_standins_2::node::Node;
use review_standins_2::node::Scratch;
use review_standins_2::node::free_ports;
use review_standins_2::record::Record;
use review_standins_2::server::Reply;
use review_standins_2::server::Server;
use review_standins_2::server::Work;
use review_standins_2::store::Store;

const ZONES: [&str; 3] = ["hall-a", "hall-b", "hall-c"];
const SERVERS: usize = 3;
const KEYS: [&str; 2] = ["key-one", "key-two"];
/// The key that is taken away.
const REMOVED_KEY: &str = KEYS[0];
const REVOKE_BOUND: Duration = Duration::from_millis(5_000);
const BEFORE: Duration = Duration::from_secs(3);
/// Pause between the two configurations.
const GAP: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_secs(12);
const TURN: Duration = Duration::from_millis(200);
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

/// A configuration; `idle_timeout_ms` is the text of the number.
fn config(version: u64, idle_timeout_ms: &str, keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"Version":{version},"Routes":[{{"Name":"stamp","Host":"desk.example",
"PathPrefix":"/stamp/","RouteType":"non_idempotent","TimeoutMs":1500,
"TargetLatencyMs":300,"Priority":2,"Service":"counter-desk","MaxAttempts":1,"Public":false}}],
"Services":[{{"Name":"counter-desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1",
"Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,
"HeaderTimeoutMs":3000,"IdleTimeoutMs":{idle_timeout_ms}}},
"Tenants":[{{"Name":"choir","ApiKeys":[{}],"Priority":1}}]}}"#,
        keys.join(",")
    )
}

struct Attempt {
    id: String,
    key: &'static str,
    sent_at: Instant,
    status: Option<u16>,
}

/// Sends a request on a kept channel; returns its status.
fn send(
    channel: &mut Option<TcpStream>,
    front: SocketAddr,
    attempt: &str,
    key: &str,
) -> Option<u16> {
    let mut stream = match channel.take() {
        Some(stream) => stream,
        None => TcpStream::connect(front).ok()?,
    };
    stream.set_read_timeout(Some(TIME_LIMIT)).ok()?;
    let request = format!(
        "POST /stamp/1 HTTP/1.1\r\nHost: desk.example\r\nX-Rookferry-Attempt-Id: {attempt}\r\n\
         X-Rookferry-Deadline-Ms: {}\r\nAuthorization: Token {key}\r\nContent-Length: 0\r\n\r\n",
        TIME_LIMIT.as_millis()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream.try_clone().ok()?);
    let answer = http::read_answer(&mut reader).ok()?;
    let is_closed = header(&answer.headers, "connection")
        .is_some_and(|text| text.eq_ignore_ascii_case("close"));
    if !is_closed {
        *channel = Some(stream);
    }
    Some(answer.status)
}

fn run(folder: PathBuf, is_troubled: bool) -> Option<bool> {
    let record = Record::start(&folder).ok()?;
    let scratch = Scratch::new();
    let (store, store_addr) = Store::start();
    store.put("config", "main", &config(1, "15000", &KEYS));
    let runs: Arc<Mutex<HashSet<String>>> = Arc::default();
    for (index, zone) in ZONES.iter().cycle().take(SERVERS).enumerate() {
        let (runs, record) = (runs.clone(), record.clone());
        let work: Work = Arc::new(move |id, attempt, request| {
            let tenant = header(&request.headers, "x-rookferry-tenant").unwrap_or("none");
            record.line(&format!("server {id}: runs {attempt}, tenant {tenant}"));
            runs.lock().expect("a lock").insert(attempt.to_owned());
            Reply {
                status: 200,
                body: vec![b'x'; 800],
            }
        });
        Server::start(&store, "counter-desk", &format!("i-{index}"), zone, work);
    }
    let ports = free_ports(ZONES.len());
    let zones = ZONES.iter().enumerate();
    let nodes: Vec<Node> = zones
        .map(|(index, zone)| Node::start(&scratch.0, &ports, index, zone, store_addr))
        .collect();
    if !nodes.iter().all(Node::wait_ready) {
        record.print("the instances did not become ready");
        return None;
    }
    let attempts: Arc<Mutex<Vec<Attempt>>> = Arc::default();
    let until = Instant::now() + BEFORE + GAP + AFTER;
    let keys = KEYS.iter();
    let places = nodes
        .iter()
        .flat_map(|node| keys.clone().map(move |key| (node.front, *key)));
    let clients = places.enumerate().map(|(number, (front, key))| {
        let (attempts, record) = (attempts.clone(), record.clone());
        thread::spawn(move || {
            let mut channel = None;
            let mut turn = 0;
            while Instant::now() < until {
                let id = format!("{number:02}{turn:05}");
                let sent_at = Instant::now();
                record.line(&format!("client: {id} sent with {key} to {front}"));
                let status = send(&mut channel, front, &id, key);
                record.line(&format!("client: {id} got {status:?}"));
                attempts.lock().expect("a lock").push(Attempt {
                    id,
                    key,
                    sent_at,
                    status,
                });
                turn += 1;
                thread::sleep(TURN);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(BEFORE);
    let mut removed_at = None;
    if is_troubled {
        store.put("config", "main", &config(2, "12000.0", &KEYS));
        record.line("store: version 2 is acknowledged, IdleTimeoutMs 12000.0");
        thread::sleep(GAP);
        store.put("config", "main", &config(3, "12000.0", &KEYS[1..]));
        removed_at = Some(Instant::now());
        record.line(&format!(
            "store: version 3 is acknowledged, {REMOVED_KEY} is removed"
        ));
    }
    for client in clients {
        let _ = client.join();
    }
    let runs = runs.lock().expect("a lock");
    let attempts = attempts.lock().expect("a lock");
    let late = |attempt: &Attempt| {
        attempt.key == REMOVED_KEY
            && removed_at.is_some_and(|at| attempt.sent_at > at + REVOKE_BOUND)
    };
    let revoked = attempts.iter().filter(|attempt| late(attempt));
    let late_count = revoked.clone().count();
    let revoked = revoked.filter(|attempt| runs.contains(&attempt.id));
    let revoked: Vec<&Attempt> = revoked.collect();
    for attempt in &revoked {
        record.line(&format!(
            "CONFIG broken: {} with {} got {:?} and has run",
            attempt.id, attempt.key, attempt.status
        ));
    }
    let served = attempts
        .iter()
        .filter(|attempt| attempt.status == Some(200))
        .count();
    record.print(&format!(
        "{} requests, {served} served; CONFIG: {} of {late_count} requests sent more than RevokeMs after the removal of their key have run",
        attempts.len(),
        revoked.len(),
    ));
    if served == 0 {
        return None;
    }
    Some(revoked.is_empty())
}

fn main() -> ExitCode {
    let folder = std::env::args_os().nth(1).map(PathBuf::from);
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    match folder.and_then(|folder| run(folder, is_troubled)) {
        Some(true) => ExitCode::SUCCESS,
        Some(false) => ExitCode::from(1),
        None => ExitCode::from(2),
    }
}
