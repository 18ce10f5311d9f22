//! Case 4: some servers fail part of their requests with 503 after they have begun work on
//! them, without `X-Rookferry-Not-Executed`.
//!
//! REFUSED: a request that isn't idempotent gets 503, yet has run.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

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
/// One of them fails: a share of 0.14.
const SERVERS: usize = 7;
const CLIENTS: usize = 12;
/// Share of its requests that the failing server fails, in hundredths.
const FAILING_HUNDREDTHS: u64 = 40;
const BEFORE: Duration = Duration::from_secs(3);
const FAILING: Duration = Duration::from_millis(6_500);
const AFTER: Duration = Duration::from_secs(2);
const WORK: Duration = Duration::from_millis(20);
/// The time limit of a client, which it states, and its retries.
const TIME_LIMIT_MS: u64 = 3_000;
const RETRIES: usize = 1;
const CONFIG: &str = r#"{"Version":1,"Routes":[{"Name":"stamp","Host":"desk.example",
"PathPrefix":"/stamp/","RouteType":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":300,
"Priority":2,"Service":"counter-desk","MaxAttempts":1,"Public":false}],
"Services":[{"Name":"counter-desk","HealthPath":"/health","MaxConns":110,"Protocol":"h1",
"Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,
"IdleTimeoutMs":15000},"Tenants":[{"Name":"choir","ApiKeys":["key-one"],"Priority":1}]}"#;

/// Which attempts servers have begun work on, with the operation of each.
#[derive(Clone, Default)]
struct Runs(Arc<Mutex<HashMap<String, String>>>);

/// An attempt and the status that the client got; `None` without an answer.
struct Outcome {
    attempt: String,
    operation: String,
    status: Option<u16>,
}

struct Clients {
    record: Record,
    fronts: Vec<SocketAddr>,
    is_over: AtomicBool,
    outcomes: Mutex<Vec<Outcome>>,
}

impl Clients {
    /// Sends an attempt and returns its status and `Retry-After`.
    fn send(
        &self,
        channel: &mut Option<TcpStream>,
        front: SocketAddr,
        attempt: &str,
        operation: &str,
    ) -> Option<(u16, f64)> {
        let mut stream = match channel.take() {
            Some(stream) => stream,
            None => TcpStream::connect(front).ok()?,
        };
        stream
            .set_read_timeout(Some(Duration::from_millis(TIME_LIMIT_MS)))
            .ok()?;
        let request = format!(
            "POST /stamp/1 HTTP/1.1\r\nHost: desk.example\r\nX-Rookferry-Attempt-Id: {attempt}\r\n\
             X-Rookferry-Deadline-Ms: {TIME_LIMIT_MS}\r\nAuthorization: Token key-one\r\n\
             Content-Length: {}\r\n\r\n{operation}",
            operation.len()
        );
        stream.write_all(request.as_bytes()).ok()?;
        let mut reader = BufReader::new(stream.try_clone().ok()?);
        let answer = http::read_answer(&mut reader).ok()?;
        let is_closed = header(&answer.headers, "connection")
            .is_some_and(|text| text.eq_ignore_ascii_case("close"));
        if !is_closed {
            *channel = Some(stream);
        }
        let signature = header(&answer.headers, "x-rookferry-engine-signature").unwrap_or("none");
        self.record.line(&format!(
            "client: {attempt} got {}, signature {signature}",
            answer.status
        ));
        let retry_after = header(&answer.headers, "retry-after").and_then(|text| text.parse().ok());
        Some((answer.status, retry_after.unwrap_or(0.0)))
    }

    /// A client: one operation after the other, retried only after a promise.
    fn run(&self, number: usize) {
        let mut channel = None;
        for turn in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let operation = format!("operation-{number}-{turn}");
            for attempt_number in 0..=RETRIES {
                let front = self.fronts[(number + attempt_number) % self.fronts.len()];
                if attempt_number > 0 {
                    channel = None;
                }
                let attempt = format!("{number:02}{turn:05}{attempt_number}");
                self.record.line(&format!(
                    "client: {attempt} sent for {operation} to {front}"
                ));
                let answer = self.send(&mut channel, front, &attempt, &operation);
                let status = answer.map(|(status, _)| status);
                self.outcomes.lock().expect("a lock").push(Outcome {
                    attempt,
                    operation: operation.clone(),
                    status,
                });
                let Some((429 | 503 | 408 | 421, wait_s)) = answer else {
                    break;
                };
                thread::sleep(Duration::from_secs_f64(wait_s.min(1.0)));
            }
            thread::sleep(Duration::from_millis(100));
        }
    }
}

fn run(folder: PathBuf, is_troubled: bool) -> Option<bool> {
    let record = Record::start(&folder).ok()?;
    let scratch = Scratch::new();
    let (store, store_addr) = Store::start();
    store.put("config", "main", CONFIG);
    let runs = Runs::default();
    let is_failing = Arc::new(AtomicBool::new(false));
    let failed = Arc::new(AtomicU64::new(0));
    for index in 0..SERVERS {
        let (runs, record) = (runs.clone(), record.clone());
        let (is_failing, failed) = (is_failing.clone(), failed.clone());
        let requests = AtomicU64::new(0);
        let work: Work = Arc::new(move |id, attempt, request| {
            let operation = String::from_utf8_lossy(&request.body).into_owned();
            record.line(&format!("server {id}: runs {attempt} of {operation}"));
            runs.0
                .lock()
                .expect("a lock")
                .insert(attempt.to_owned(), operation);
            thread::sleep(WORK);
            let number = requests.fetch_add(1, Ordering::Relaxed);
            let fails = index == 0
                && is_failing.load(Ordering::Relaxed)
                && number * 37 % 100 < FAILING_HUNDREDTHS;
            let status = if fails { 503 } else { 200 };
            if fails {
                failed.fetch_add(1, Ordering::Relaxed);
            }
            record.line(&format!(
                "server {id}: its run of {attempt} ends with {status}"
            ));
            Reply {
                status,
                body: vec![b'x'; 800],
            }
        });
        let zone = ZONES[index % ZONES.len()];
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
    let clients = Arc::new(Clients {
        record: record.clone(),
        fronts: nodes.iter().map(|node| node.front).collect(),
        is_over: AtomicBool::new(false),
        outcomes: Mutex::default(),
    });
    let started = (0..CLIENTS).map(|number| {
        let clients = clients.clone();
        thread::spawn(move || clients.run(number))
    });
    let started: Vec<_> = started.collect();
    thread::sleep(BEFORE);
    record.line("server i-0 begins to fail part of its requests");
    is_failing.store(is_troubled, Ordering::Relaxed);
    thread::sleep(FAILING);
    is_failing.store(false, Ordering::Relaxed);
    record.line("server i-0 is well again");
    thread::sleep(AFTER);
    clients.is_over.store(true, Ordering::Relaxed);
    for client in started {
        let _ = client.join();
    }
    let runs = runs.0.lock().expect("a lock");
    let outcomes = clients.outcomes.lock().expect("a lock");
    let promised = |status| matches!(status, Some(429 | 503 | 408 | 421));
    let broken = outcomes
        .iter()
        .filter(|outcome| promised(outcome.status) && runs.contains_key(&outcome.attempt));
    let broken: Vec<&Outcome> = broken.collect();
    let mut per_operation: HashMap<&str, usize> = HashMap::new();
    for operation in runs.values() {
        *per_operation.entry(operation).or_default() += 1;
    }
    let doubled = per_operation.values().filter(|count| **count > 1).count();
    for outcome in &broken {
        record.line(&format!(
            "REFUSED broken: {} of {} got {:?} and has run",
            outcome.attempt, outcome.operation, outcome.status
        ));
    }
    let served = outcomes
        .iter()
        .filter(|outcome| outcome.status == Some(200))
        .count();
    record.print(&format!(
        "{} attempts, {served} served, {} runs failed by the server; REFUSED: {} attempts got 429, 503, 408 or 421 and have run; {doubled} operations were run twice",
        outcomes.len(),
        failed.load(Ordering::Relaxed),
        broken.len(),
    ));
    if served == 0 {
        return None;
    }
    Some(broken.is_empty())
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
