//! Clients that send one request after the other on kept channels, and a platform that
//! kills a process whose memory exceeds its limit and starts it again.

use std::collections::HashMap;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::header;
use crate::node::Node;
use crate::record::Record;

/// How a client's request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// A whole answer with this status.
    Status(u16),
    /// The channel closed with no complete answer.
    Closed,
    /// No channel could be opened, or the request could not be sent whole.
    NotSent,
    /// The client's time limit passed.
    TimedOut,
}

/// A request and its end.
pub struct Sent {
    pub attempt: String,
    pub kind: &'static str,
    /// The machine that took it.
    pub machine: usize,
    /// Whether its channel had carried an earlier request.
    pub is_on_kept_channel: bool,
    pub sent_at: Instant,
    pub ended_at: Instant,
    pub end: End,
}

/// What clients of one kind send, and how they read.
pub struct Kind {
    pub name: &'static str,
    pub path: &'static str,
    pub body: Vec<u8>,
    /// Pause between an answer and the next request.
    pub pause: Duration,
    /// Pause in ms before each part of an answer is read; 0 for a fast reader.
    pub read_pause_ms: AtomicU64,
    /// Bytes that a slow reader takes at a time.
    pub read_bytes: usize,
    /// Whether its clients keep channels, or open one for each request.
    pub keeps_channels: bool,
    pub time_limit: Duration,
}

/// Shared by all clients.
pub struct Clients {
    pub record: Record,
    pub is_over: AtomicBool,
    pub sent: Mutex<Vec<Sent>>,
}

impl Clients {
    pub fn new(record: &Record) -> Arc<Self> {
        Arc::new(Self {
            record: record.clone(),
            is_over: AtomicBool::new(false),
            sent: Mutex::default(),
        })
    }

    /// Sends requests to one machine until the case is over.
    pub fn run(&self, kind: &Kind, machine: usize, front: SocketAddr, number: usize) {
        let mut channel = None;
        for turn in 0.. {
            if self.is_over.load(Ordering::Relaxed) {
                return;
            }
            let attempt = format!("{}-{machine}-{number:03}-{turn:04}", kind.name);
            let sent_at = Instant::now();
            let is_on_kept_channel = channel.is_some();
            let end = self.send(kind, &mut channel, front, &attempt);
            self.record.line(&format!(
                "client: {attempt} ended with {end:?} after {} ms",
                sent_at.elapsed().as_millis()
            ));
            self.sent.lock().expect("a lock").push(Sent {
                attempt,
                kind: kind.name,
                machine,
                is_on_kept_channel,
                sent_at,
                ended_at: Instant::now(),
                end,
            });
            thread::sleep(kind.pause);
        }
    }

    fn send(
        &self,
        kind: &Kind,
        channel: &mut Option<TcpStream>,
        front: SocketAddr,
        attempt: &str,
    ) -> End {
        let opened = channel.take().or_else(|| TcpStream::connect(front).ok());
        let Some(mut stream) = opened else {
            return End::NotSent;
        };
        let _ = stream.set_read_timeout(Some(kind.time_limit));
        let _ = stream.set_write_timeout(Some(kind.time_limit));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: desk.example\r\nX-Rookferry-Attempt-Id: {attempt}\r\n\
             X-Rookferry-Deadline-Ms: {}\r\nAuthorization: Token key-one\r\nContent-Length: {}\r\n\r\n",
            kind.path,
            kind.time_limit.as_millis(),
            kind.body.len()
        );
        let is_sent = stream
            .write_all(head.as_bytes())
            .and_then(|()| stream.write_all(&kind.body));
        if is_sent.is_err() {
            return End::NotSent;
        }
        match read_answer(kind, &stream) {
            Ok((status, is_kept)) => {
                if is_kept && kind.keeps_channels {
                    *channel = Some(stream);
                }
                End::Status(status)
            }
            Err(error)
                if matches!(
                    error.kind(),
                    std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                ) =>
            {
                End::TimedOut
            }
            Err(_) => End::Closed,
        }
    }
}

/// Reads an answer at the kind's pace; returns its status and whether the channel stays.
fn read_answer(kind: &Kind, stream: &TcpStream) -> std::io::Result<(u16, bool)> {
    let mut reader = BufReader::with_capacity(4096, stream.try_clone()?);
    let head = http::read_answer_head(&mut reader)?;
    let mut left = http::body_length(&head.headers);
    let mut part = vec![0; kind.read_bytes];
    while left > 0 {
        let pause_ms = kind.read_pause_ms.load(Ordering::Relaxed);
        if pause_ms > 0 {
            thread::sleep(Duration::from_millis(pause_ms));
        }
        let most = left.min(part.len());
        let read = reader.read(&mut part[..most])?;
        if read == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        left -= read;
    }
    let is_closed =
        header(&head.headers, "connection").is_some_and(|text| text.eq_ignore_ascii_case("close"));
    Ok((head.status, !is_closed))
}

/// The most memory of each machine, and its ends.
#[derive(Debug, Default)]
pub struct MachineUse {
    pub most_mb: u64,
    pub ends: Vec<Instant>,
}

/// Watches the instances until `is_over`; kills those that exceed the limit, and starts
/// them again.
pub fn watch_memory(
    record: &Record,
    nodes: &mut [Node],
    limit_mb: u64,
    is_over: &AtomicBool,
) -> HashMap<usize, MachineUse> {
    let mut uses: HashMap<usize, MachineUse> = HashMap::new();
    let mut restarts: HashMap<usize, Instant> = HashMap::new();
    while !is_over.load(Ordering::Relaxed) {
        for (index, node) in nodes.iter_mut().enumerate() {
            let machine = uses.entry(index).or_default();
            if let Some(at) = restarts.get(&index).copied() {
                if Instant::now() >= at {
                    restarts.remove(&index);
                    node.restart();
                    record.line(&format!("platform: {} is started again", node.name));
                }
                continue;
            }
            let Some(used_mb) = node.memory_mb() else {
                continue;
            };
            machine.most_mb = machine.most_mb.max(used_mb);
            if used_mb > limit_mb {
                node.kill();
                machine.ends.push(Instant::now());
                restarts.insert(index, Instant::now() + Duration::from_millis(500));
                record.print(&format!(
                    "platform: {} uses {used_mb} MB, more than {limit_mb} MB, and is killed",
                    node.name
                ));
            }
        }
        thread::sleep(Duration::from_millis(10));
    }
    uses
}
