//! Clients that read long answers at the pace of their links while their instance is
//! stopped.
//!
//! Exits with 1 if an answer broke off that its server had given whole, and that its client
//! would have had before the instance's grace period ended; with 0 if none did; with 2 if
//! the case couldn't run.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use review_standins::http;
use review_standins::record::Record;
use review_standins::site;
use review_standins::site::Deployment;
use review_standins::site::Instance;
use review_standins::store::Store;

/// Bytes of an answer, and bytes a second at which a client reads.
const ANSWER_BYTES: usize = 12_000_000;
const BYTES_PER_S: f64 = 2_000_000.0;
/// A client reads its answer in 6 s. The stop comes this long after the requests, so that it
/// ends 5.5 s after the SIGTERM; the grace period is 8 s.
const STOP_AFTER: Duration = Duration::from_millis(500);
/// Time between two machines of the rolling stop.
const GAP: Duration = Duration::from_secs(12);
const INSTANCES: u8 = 3;
const CLIENTS: usize = 3;
const TIME_LIMIT_MS: u32 = 20_000;

fn config() -> String {
    format!(
        "{{\"Version\":1,\"Routes\":[{{\"Name\":\"bundle\",\"Host\":\"site.example\",\
         \"PathPrefix\":\"/bundle/\",\"RouteType\":\"non_idempotent\",\
         \"TimeoutMs\":{TIME_LIMIT_MS},\"TargetLatencyMs\":300,\"Priority\":1,\
         \"Service\":\"api\",\"MaxAttempts\":1,\"Public\":false}}],\
         \"Services\":[{{\"Name\":\"api\",\"HealthPath\":\"/health\",\"MaxConns\":110,\
         \"Protocol\":\"h1\",\"Tls\":false}}],\
         \"Limits\":{{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\
         \"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}},\
         \"Tenants\":[{{\"Name\":\"tenant\",\"ApiKeys\":[\"key\"],\"Priority\":1}}]}}"
    )
}

/// Serves the requests of a channel, each with a long answer.
fn serve(mut out: TcpStream, record: &Record) -> std::io::Result<()> {
    let mut reader = BufReader::new(out.try_clone()?);
    while let Some(request) = http::read_request(&mut reader)? {
        let attempt = request.header("x-rookferry-attempt-id").map(str::to_owned);
        let Some(attempt) = attempt else {
            out.write_all(&http::json_answer("200 OK", "{}"))?;
            continue;
        };
        record.line(&format!("server: runs {attempt}"));
        let signature = format!("i-p0.{attempt}");
        let headers = [
            ("X-Rookferry-Attempt-Id", attempt.as_str()),
            ("X-Rookferry-Engine-Signature", signature.as_str()),
        ];
        let answer = http::answer("200 OK", &headers, &vec![b'x'; ANSWER_BYTES]);
        out.write_all(&answer)?;
        record.line(&format!("server: has given the whole answer to {attempt}"));
    }
    Ok(())
}

/// What became of a request.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Outcome {
    Whole,
    /// A success began, and the channel closed before its end.
    Lost,
    /// Not answered with a success at all, which isn't what the rule is about.
    Other,
}

/// Reads the answer to one request at the pace of the link.
fn read_slowly(addr: SocketAddr, attempt: &str, record: &Record) -> std::io::Result<Outcome> {
    let mut stream = TcpStream::connect(addr)?;
    let request = format!(
        "POST /bundle/1 HTTP/1.1\r\nHost: site.example\r\nAuthorization: Token key\r\n\
         X-Rookferry-Attempt-Id: {attempt}\r\nX-Rookferry-Deadline-Ms: {TIME_LIMIT_MS}\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes())?;
    record.line(&format!("client: {attempt} sent"));
    let mut reader = BufReader::new(stream);
    let head = http::read_head(&mut reader)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
    let length = head
        .header("content-length")
        .and_then(|text| text.parse().ok())
        .unwrap_or(0);
    record.line(&format!(
        "client: {attempt} gets {}, {length} bytes follow",
        head.status()
    ));
    let began = Instant::now();
    let mut received = 0;
    let mut buffer = vec![0; 64 * 1024];
    while received < length {
        let due = began + Duration::from_secs_f64(received as f64 / BYTES_PER_S);
        thread::sleep(due.saturating_duration_since(Instant::now()));
        match reader.read(&mut buffer) {
            Ok(0) => break,
            Ok(read) => received += read,
            Err(error) => {
                record.line(&format!("client: {attempt}: {error}"));
                break;
            }
        }
    }
    let outcome = match head.status() {
        200 if received == ANSWER_BYTES => Outcome::Whole,
        200 => Outcome::Lost,
        _ => Outcome::Other,
    };
    let told = match outcome {
        Outcome::Whole => "whole",
        Outcome::Lost => "LOST, the channel closed",
        Outcome::Other => "no success",
    };
    record.line(&format!(
        "client: {attempt} has {received} bytes of {length}: {told}"
    ));
    Ok(outcome)
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let record_path = PathBuf::from(arguments.next().unwrap_or_else(|| "record.txt".to_owned()));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    if !site::has_program() {
        eprintln!("{} isn't built", site::PROGRAM);
        return ExitCode::from(2);
    }
    let folder = site::temporary_folder("slow-reader");
    let code = play(&record_path, &folder, has_trouble);
    let _ = std::fs::remove_dir_all(&folder);
    ExitCode::from(code)
}

fn play(record_path: &Path, folder: &Path, has_trouble: bool) -> u8 {
    let record = Record::create(record_path);
    let store_addr = site::free_addr(site::machine_ip(250));
    let store = Store::start(store_addr);
    store.put("config", "main", &config());
    let server = site::free_addr(site::machine_ip(100));
    let listener = TcpListener::bind(server).expect("the server's address");
    let serving = record.clone();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let record = serving.clone();
            thread::spawn(move || serve(stream, &record));
        }
    });
    let entry = format!(
        "{{\"Service\":\"api\",\"Address\":\"{server}\",\"Zone\":\"a\",\"Version\":\"v1\",\
         \"Slots\":6,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Sequence\":1}}"
    );
    store.put("servers", "i-p0", &entry);
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
    let mut instances: Vec<_> = ips
        .iter()
        .enumerate()
        .map(|(number, ip)| deployment.start(&format!("edge-{number}"), "a", *ip, ports, true))
        .collect();
    let is_ready = |instances: &[Instance]| instances.iter().all(Instance::is_ready);
    if !site::wait_until(Duration::from_secs(15), || is_ready(&instances)) {
        record.line("the site didn't come up");
        record.flush();
        return 2;
    }
    thread::sleep(Duration::from_secs(2));
    record.line("the site is up");
    let mut lost = 0;
    let mut other = 0;
    let mut asked = 0;
    for index in 0..instances.len() {
        let began = Instant::now();
        let addr = instances[index].front();
        let reading: Vec<_> = (0..CLIENTS)
            .map(|client| {
                let record = record.clone();
                let attempt = format!("{index:04x}{client:04x}");
                thread::spawn(move || read_slowly(addr, &attempt, &record))
            })
            .collect();
        thread::sleep(STOP_AFTER);
        if has_trouble {
            record.line(&format!("SIGTERM to {}", instances[index].name));
            instances[index].signal("TERM");
        }
        for client in reading {
            asked += 1;
            let outcome = client
                .join()
                .ok()
                .and_then(Result::ok)
                .unwrap_or(Outcome::Other);
            lost += usize::from(outcome == Outcome::Lost);
            other += usize::from(outcome == Outcome::Other);
        }
        if has_trouble {
            restart(&deployment, &mut instances, index, &record);
        }
        thread::sleep(GAP.saturating_sub(began.elapsed()));
    }
    drop(instances);
    let summary = format!("{asked} requests, LOST: {lost}, without a success: {other}");
    record.line(&summary);
    record.flush();
    println!("{summary}");
    match (lost, other) {
        (0, 0) => 0,
        (0, _) => 2,
        _ => 1,
    }
}

/// Waits for the end of a stopped instance, and starts it again as the platform does.
fn restart(deployment: &Deployment, instances: &mut [Instance], index: usize, record: &Record) {
    let stopped = &mut instances[index];
    let mut status = None;
    site::wait_until(Duration::from_secs(8), || {
        status = stopped.child.try_wait().ok().flatten();
        status.is_some()
    });
    record.line(&format!("{} has ended: {status:?}", stopped.name));
    let log = deployment.folder.join(format!("{}.log", stopped.name));
    let log = std::fs::read_to_string(log).unwrap_or_default();
    let said = log
        .lines()
        .rfind(|line| line.contains("\"event\":\"stopped\""));
    record.line(&format!(
        "{} said: {}",
        stopped.name,
        said.unwrap_or("nothing")
    ));
    let (name, ip, ports) = (stopped.name.clone(), stopped.ip, stopped.ports);
    instances[index] = deployment.start(&name, "a", ip, ports, false);
}
