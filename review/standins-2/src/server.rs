//! Backend servers of a service without a model.

use std::io;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

use crate::http;
use crate::http::Request;
use crate::http::header;
use crate::store::Store;

/// Bytes that a server reads of a body at a time.
const READ_BYTES: usize = 16 * 1024;
/// Bytes that a server keeps of a body.
const KEPT_BYTES: usize = 1024;

/// What a server answers to a request that it runs.
pub struct Reply {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Called when a server begins work on a request; returns its answer once it is done.
pub type Work = Arc<dyn Fn(&str, &str, &Request) -> Reply + Send + Sync>;

/// A server.
#[derive(Clone)]
pub struct Server {
    pub id: String,
    work: Work,
    /// Pause in ms after each part of a body that it reads; 0 for a fast reader.
    read_pause_ms: Arc<AtomicU64>,
}

impl Server {
    /// Starts a server, and writes its entry to the store.
    pub fn start(store: &Store, service: &str, id: &str, zone: &str, work: Work) -> Self {
        let server = Self {
            id: id.to_owned(),
            work,
            read_pause_ms: Arc::default(),
        };
        let served = server.clone();
        let addr: SocketAddr = http::serve(move |stream| {
            // The connection has ended or was reset.
            let _ = served.serve(stream);
        });
        let entry = format!(
            "{{\"Service\":\"{service}\",\"Address\":\"{addr}\",\"Zone\":\"{zone}\",\
             \"Version\":\"v1\",\"Slots\":192,\"State\":\"ready\",\"ColdRemainingMs\":0,\
             \"Sequence\":1}}"
        );
        store.put("servers", id, &entry);
        server
    }

    /// Sets the pause after each part of a body.
    pub fn set_read_pause_ms(&self, pause_ms: u64) {
        self.read_pause_ms.store(pause_ms, Ordering::Relaxed);
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut stream = stream;
        while let Some(mut request) = http::read_request_head(&mut reader)? {
            let length = http::body_length(&request.headers);
            let mut part = vec![0; READ_BYTES];
            let mut received = 0;
            while received < length {
                let most = (length - received).min(READ_BYTES);
                let read = reader.read(&mut part[..most])?;
                if read == 0 {
                    return Ok(());
                }
                received += read;
                let room = KEPT_BYTES.saturating_sub(request.body.len());
                request.body.extend_from_slice(&part[..read.min(room)]);
                let pause_ms = self.read_pause_ms.load(Ordering::Relaxed);
                if pause_ms > 0 {
                    thread::sleep(Duration::from_millis(pause_ms));
                }
            }
            self.answer(&request, &mut stream)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, stream: &mut TcpStream) -> io::Result<()> {
        let id = &self.id;
        if request.target == "/health" {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Rookferry-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
            return stream.write_all(head.as_bytes());
        }
        let not_run = |status: u16, attempt: &str| {
            format!(
                "HTTP/1.1 {status} Rejected\r\nX-Rookferry-Attempt-Id: {attempt}\r\n\
                 X-Rookferry-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            )
        };
        let Some(attempt) = header(&request.headers, "x-rookferry-attempt-id") else {
            return stream.write_all(not_run(400, "-").as_bytes());
        };
        let expected = header(&request.headers, "x-rookferry-expect-instance");
        if expected.is_some_and(|expected| expected != id) {
            return stream.write_all(not_run(421, attempt).as_bytes());
        }
        let reply = (self.work)(id, attempt, request);
        let head = format!(
            "HTTP/1.1 {} X\r\nX-Rookferry-Attempt-Id: {attempt}\r\n\
             X-Rookferry-Engine-Signature: {id}.{attempt}\r\nContent-Length: {}\r\n\r\n",
            reply.status,
            reply.body.len()
        );
        stream.write_all(head.as_bytes())?;
        stream.write_all(&reply.body)
    }
}
