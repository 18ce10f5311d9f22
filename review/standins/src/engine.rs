//! Engines and plain servers, as PROTOCOL.md tells them.
//!
//! An engine keeps its entry in the store, takes orders, and runs requests over the path
//! that they name. It serves one request at a time on a channel. Its memory beside the
//! layers holds the tokens of what runs; a request that doesn't fit is rejected.

use std::collections::BTreeMap;
use std::io;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Value;
use crate::record::Record;
use crate::store::Store;

/// Tokens that one event of a stream holds.
pub const TOKENS_PER_EVENT: u32 = 2;
/// Time until an order is carried out: a tenth of a load, as before the first request.
const LOAD: Duration = Duration::from_millis(300);

/// The published figures of the model and its engines.
#[derive(Clone, Copy, Debug)]
pub struct Model {
    pub layers: u16,
    pub layer_mb: f64,
    /// Memory of each engine.
    pub mb: f64,
    /// Bytes of a token over all layers.
    pub token_bytes: f64,
    pub first_event: Duration,
    pub event_every: Duration,
}

impl Model {
    /// Tokens that fit beside some layers.
    fn room(&self, held: u16) -> f64 {
        let free = (self.mb - f64::from(held) * self.layer_mb) * 1e6;
        free / (self.token_bytes * f64::from(held) / f64::from(self.layers))
    }
}

/// One disruption: wrong bytes behind some answers of some engines.
#[derive(Clone, Copy, Debug, Default)]
pub struct Garble {
    /// Share of the answers that are followed by a second answer, late.
    pub share: f64,
    pub late_by: Duration,
}

#[derive(Debug)]
struct Engine {
    id: String,
    zone: String,
    held: Option<(u16, u16)>,
    sequence: u64,
    is_busy: bool,
    used_tokens: f64,
    garble: Garble,
}

/// The engines of one service.
#[derive(Clone)]
pub struct Fleet {
    pub service: String,
    pub model: Model,
    store: Store,
    record: Record,
    engines: Arc<Mutex<BTreeMap<SocketAddr, Engine>>>,
    /// Runs by attempt.
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
    chance: Arc<Mutex<u64>>,
}

struct Stage {
    addr: SocketAddr,
    from: u16,
    to: u16,
}

fn parse_path(text: &str) -> Option<Vec<Stage>> {
    let stages = text.split(',').map(|part| {
        let (addr, layers) = part.split_once('=')?;
        let (from, to) = layers.split_once('-')?;
        Some(Stage {
            addr: addr.parse().ok()?,
            from: from.parse().ok()?,
            to: to.parse().ok()?,
        })
    });
    stages.collect()
}

/// The memory that a run takes at the engines of its path; freed when dropped.
struct Memory {
    fleet: Fleet,
    addrs: Vec<SocketAddr>,
    tokens: f64,
}

impl Memory {
    fn grow(&mut self, tokens: f64) {
        self.tokens += tokens;
        let mut engines = self.fleet.engines.lock().expect("a lock");
        for addr in &self.addrs {
            if let Some(engine) = engines.get_mut(addr) {
                engine.used_tokens += tokens;
            }
        }
    }
}

impl Drop for Memory {
    fn drop(&mut self) {
        self.grow(-self.tokens);
    }
}

impl Fleet {
    pub fn new(service: &str, model: Model, store: &Store, record: &Record, seed: u64) -> Self {
        Self {
            service: service.to_owned(),
            model,
            store: store.clone(),
            record: record.clone(),
            engines: Arc::default(),
            runs: Arc::default(),
            chance: Arc::new(Mutex::new(seed | 1)),
        }
    }

    /// A number from 0 to 1.
    pub fn chance(&self) -> f64 {
        let mut state = self.chance.lock().expect("a lock");
        *state ^= *state << 13;
        *state ^= *state >> 7;
        *state ^= *state << 17;
        (*state >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Starts an engine at an address.
    pub fn start(&self, addr: SocketAddr, id: &str, zone: &str) {
        let listener = TcpListener::bind(addr).expect("an engine's address");
        let engine = Engine {
            id: id.to_owned(),
            zone: zone.to_owned(),
            held: None,
            sequence: 0,
            is_busy: false,
            used_tokens: 0.0,
            garble: Garble::default(),
        };
        self.engines.lock().expect("a lock").insert(addr, engine);
        self.write_entry(addr);
        let fleet = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let fleet = fleet.clone();
                thread::spawn(move || fleet.serve(addr, stream));
            }
        });
    }

    /// Sets the wrong bytes of an engine's answers.
    pub fn set_garble(&self, addr: SocketAddr, garble: Garble) {
        let mut engines = self.engines.lock().expect("a lock");
        engines.get_mut(&addr).expect("an engine").garble = garble;
    }

    /// Whether the layers that engines hold cover the model.
    pub fn is_placed(&self) -> bool {
        let engines = self.engines.lock().expect("a lock");
        (0..self.model.layers).all(|layer| {
            let mut held = engines.values().filter_map(|engine| engine.held);
            held.any(|(from, to)| from <= layer && layer < to)
        })
    }

    /// The engines that ran an attempt, in order.
    pub fn runs(&self) -> BTreeMap<String, Vec<String>> {
        self.runs.lock().expect("a lock").clone()
    }

    fn write_entry(&self, addr: SocketAddr) {
        let engines = self.engines.lock().expect("a lock");
        let engine = &engines[&addr];
        let layers = engine.held.map_or("null".to_owned(), |(from, to)| {
            format!("{{\"From\":{from},\"TargetVersion\":{to},\"Version\":1}}")
        });
        let entry = format!(
            "{{\"Service\":\"{}\",\"Address\":\"{addr}\",\"Zone\":\"{}\",\"Version\":\"v1\",\
             \"Slots\":192,\"State\":\"ready\",\"ColdRemainingMs\":0,\"Stage\":\"both\",\
             \"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\"layers\":{layers},\
             \"RouteType\":\"k\",\"Sequence\":{}}}",
            self.service,
            engine.zone,
            engine.sequence + 1
        );
        self.store.put("servers", &engine.id, &entry);
    }

    fn serve(&self, addr: SocketAddr, stream: TcpStream) {
        // An end of the channel ends the thread.
        let _ = self.serve_channel(addr, stream);
    }

    fn serve_channel(&self, addr: SocketAddr, mut out: TcpStream) -> io::Result<()> {
        out.set_nodelay(true)?;
        let mut reader = BufReader::new(out.try_clone()?);
        while let Some(request) = http::read_request(&mut reader)? {
            match request.target() {
                "/-/report" => out.write_all(&self.report(addr))?,
                "/-/order" => out.write_all(&self.order(addr, &request))?,
                "/health" => out.write_all(&http::json_answer("200 OK", "{}"))?,
                _ => self.run(addr, &request, &mut out)?,
            }
        }
        Ok(())
    }

    fn report(&self, addr: SocketAddr) -> Vec<u8> {
        let engines = self.engines.lock().expect("a lock");
        let engine = &engines[&addr];
        let layers = engine.held.map_or("null".to_owned(), |(from, to)| {
            format!("{{\"From\":{from},\"TargetVersion\":{to},\"Version\":1}}")
        });
        let body = format!(
            "{{\"Stage\":\"both\",\"Models\":[{{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}}],\
             \"RouteType\":\"k\",\"layers\":{layers},\"Busy\":{},\"Sequence\":{},\"Queued\":0,\
             \"Running\":0,\"KvUsed\":0,\"KvTotal\":1000000,\"Handles\":0,\"pace\":1.0,\
             \"stalled\":[]}}",
            engine.is_busy, engine.sequence
        );
        http::json_answer("200 OK", &body)
    }

    fn order(&self, addr: SocketAddr, request: &Message) -> Vec<u8> {
        let body = json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Value::Null);
        if body.get("op").text() != Some("place") {
            // No run here ever needs another path: engines neither crash nor leave.
            return http::json_answer("404 Not Found", "{}");
        }
        let mut engines = self.engines.lock().expect("a lock");
        let engine = engines.get_mut(&addr).expect("itself");
        let expected = body.get("ExpectedRev").number();
        if expected.is_some_and(|expected| expected as u64 != engine.sequence) || engine.is_busy {
            return http::json_answer("409 Conflict", "{}");
        }
        let layer = |name: &str| body.get(name).number().unwrap_or(0.0) as u16;
        let held = (layer("From"), layer("TargetVersion"));
        if engine.held == Some(held) {
            return http::json_answer("200 OK", "{}");
        }
        engine.sequence += 1;
        engine.is_busy = true;
        self.record.line(&format!(
            "{} is ordered to hold {}-{}",
            engine.id, held.0, held.1
        ));
        let fleet = self.clone();
        thread::spawn(move || {
            thread::sleep(LOAD);
            let mut engines = fleet.engines.lock().expect("a lock");
            let engine = engines.get_mut(&addr).expect("itself");
            engine.held = Some(held);
            engine.is_busy = false;
            drop(engines);
            fleet.write_entry(addr);
        });
        http::json_answer("202 Accepted", "{}")
    }

    /// Takes memory at the engines of a path, or names the first that refuses and why.
    fn admit(&self, path: &[Stage], tokens: f64) -> Result<Memory, (SocketAddr, &'static str)> {
        let mut engines = self.engines.lock().expect("a lock");
        for stage in path {
            let refused = |status| Err((stage.addr, status));
            let Some(engine) = engines.get(&stage.addr) else {
                return refused("503 Service Unavailable");
            };
            let Some((from, to)) = engine.held else {
                return refused("421 Misdirected Request");
            };
            if stage.from < from || stage.to > to {
                return refused("421 Misdirected Request");
            }
            if engine.used_tokens + tokens > self.model.room(to - from) {
                return refused("503 Service Unavailable");
            }
        }
        for stage in path {
            if let Some(engine) = engines.get_mut(&stage.addr) {
                engine.used_tokens += tokens;
            }
        }
        Ok(Memory {
            fleet: self.clone(),
            addrs: path.iter().map(|stage| stage.addr).collect(),
            tokens,
        })
    }

    /// Runs a request, or rejects it. The run begins with its first token.
    fn run(&self, addr: SocketAddr, request: &Message, out: &mut TcpStream) -> io::Result<()> {
        let (id, garble) = {
            let engines = self.engines.lock().expect("a lock");
            (engines[&addr].id.clone(), engines[&addr].garble)
        };
        let attempt = request
            .header("x-rookferry-attempt-id")
            .unwrap_or_default()
            .to_owned();
        self.record.line(&format!("{id}: {attempt} arrives"));
        let expected = request.header("x-rookferry-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            let headers = [("X-Rookferry-Instance-Id", id.as_str())];
            return out.write_all(&http::answer("421 Misdirected Request", &headers, b""));
        }
        let path = request.header("path").and_then(parse_path);
        let path = path.filter(|path| path.first().is_some_and(|stage| stage.addr == addr));
        let Some(path) = path else {
            let headers = [("X-Rookferry-Not-Executed", "1")];
            return out.write_all(&http::answer("400 Bad Request", &headers, b""));
        };
        let usage = request
            .header("x-rookferry-token-usage")
            .unwrap_or_default();
        let (prompt, _) = usage.split_once(',').unwrap_or(("0", "0"));
        let prompt: f64 = prompt.parse().unwrap_or(0.0);
        // Known to the engine as it generates; the header tells it to the stand-in alone.
        let tokens = request
            .header("answer-tokens")
            .and_then(|text| text.parse().ok());
        let tokens: u32 = tokens.unwrap_or(0);
        let mut memory = match self.admit(&path, prompt) {
            Ok(memory) => memory,
            Err((refused_by, status)) => {
                let refused_by = refused_by.to_string();
                let headers = [
                    ("X-Rookferry-Attempt-Id", attempt.as_str()),
                    ("X-Rookferry-Not-Executed", "1"),
                    ("At-Server", refused_by.as_str()),
                ];
                let answer = http::answer(status, &headers, b"");
                self.record.line(&format!(
                    "{id}: {attempt} rejected, {status} of {refused_by}"
                ));
                out.write_all(&answer)?;
                return self.surplus(&id, &attempt, garble, &answer, out);
            }
        };
        thread::sleep(self.model.first_event);
        if http::is_closed(out) {
            self.record
                .line(&format!("{id}: {attempt} dropped before its first token"));
            return Ok(());
        }
        let signature = {
            let mut runs = self.runs.lock().expect("a lock");
            let runs = runs.entry(attempt.clone()).or_default();
            runs.push(id.clone());
            self.record
                .line(&format!("{id}: {attempt} RUNS, run {}", runs.len()));
            format!("{id}.{attempt}.{}", runs.len())
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             X-Rookferry-Attempt-Id: {attempt}\r\nX-Rookferry-Engine-Signature: {signature}\r\n\
             Versions: 1\r\n\r\n"
        );
        out.write_all(head.as_bytes())?;
        let events = (tokens / TOKENS_PER_EVENT).max(1);
        let first = request
            .header("last-event-id")
            .and_then(|id| id.parse().ok())
            .unwrap_or(0);
        for event in first + 1..=events {
            memory.grow(f64::from(TOKENS_PER_EVENT));
            let text = format!("id: {event}\ndata: piece {event} of {attempt}\n\n");
            out.write_all(&http::chunk(text.as_bytes()))?;
            thread::sleep(self.model.event_every);
        }
        out.write_all(b"0\r\n\r\n")?;
        drop(memory);
        self.record.line(&format!("{id}: {attempt} ends"));
        Ok(())
    }

    /// With some probability, a second answer follows late on the same channel.
    fn surplus(
        &self,
        id: &str,
        attempt: &str,
        garble: Garble,
        answer: &[u8],
        out: &mut TcpStream,
    ) -> io::Result<()> {
        if self.chance() >= garble.share {
            return Ok(());
        }
        thread::sleep(garble.late_by);
        self.record
            .line(&format!("{id}: a second answer for {attempt}, late"));
        out.write_all(answer)
    }
}
