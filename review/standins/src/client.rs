//! Clients: one request on a new channel.

use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::time::Duration;

use crate::http;

/// What a client got.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// A whole answer.
    Answer {
        status: u16,
        signature: Option<String>,
        retry_after_s: Option<f64>,
        body: Vec<u8>,
    },
    /// An answer that broke off, or bytes that are none.
    Broken(String),
    /// The channel closed without an answer.
    Closed(String),
    /// Not connected.
    Unconnected(String),
    /// No answer in time.
    TimedOut,
}

/// Sends the bytes of a request and reads the answer.
pub fn exchange(addr: SocketAddr, request: &[u8], wait: Duration) -> Outcome {
    let connected = TcpStream::connect_timeout(&addr, Duration::from_secs(1));
    let mut stream = match connected {
        Ok(stream) => stream,
        Err(error) => return Outcome::Unconnected(error.to_string()),
    };
    let _ = stream.set_nodelay(true);
    let _ = stream.set_read_timeout(Some(wait));
    if let Err(error) = stream.write_all(request) {
        return Outcome::Closed(error.to_string());
    }
    let mut reader = BufReader::new(stream);
    read_answer(&mut reader)
}

/// Reads an answer.
pub fn read_answer(reader: &mut BufReader<TcpStream>) -> Outcome {
    let is_late = |error: &std::io::Error| {
        let kind = error.kind();
        kind == std::io::ErrorKind::WouldBlock || kind == std::io::ErrorKind::TimedOut
    };
    let mut head = match http::read_head(reader) {
        Ok(Some(head)) => head,
        Ok(None) => return Outcome::Closed("closed".to_owned()),
        Err(error) if is_late(&error) => return Outcome::TimedOut,
        Err(error) => return Outcome::Closed(error.to_string()),
    };
    let has_end =
        head.header("content-length").is_some() || head.header("transfer-encoding").is_some();
    let read = if has_end {
        http::read_body(reader, &mut head)
    } else {
        reader.read_to_end(&mut head.body).map(drop)
    };
    if let Err(error) = read {
        return Outcome::Broken(error.to_string());
    }
    Outcome::Answer {
        status: head.status(),
        signature: head
            .header("x-rookferry-engine-signature")
            .map(str::to_owned),
        retry_after_s: head
            .header("retry-after")
            .and_then(|text| text.parse().ok()),
        body: head.body,
    }
}

impl Outcome {
    /// A word for the record.
    pub fn describe(&self) -> String {
        match self {
            Outcome::Answer {
                status,
                signature,
                body,
                ..
            } => format!(
                "{status}, signature {}, {} bytes",
                signature.as_deref().unwrap_or("none"),
                body.len()
            ),
            Outcome::Broken(cause) => format!("a broken answer: {cause}"),
            Outcome::Closed(cause) => format!("no answer: {cause}"),
            Outcome::Unconnected(cause) => format!("no connection: {cause}"),
            Outcome::TimedOut => "no answer in time".to_owned(),
        }
    }
}
