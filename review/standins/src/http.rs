//! HTTP/1.1 messages over blocking streams.

use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::ErrorKind;
use std::io::Read;
use std::net::TcpStream;

/// The head and the body of a message.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    /// The value of a header; its name is compared without regard to case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first_line.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    fn is_chunked(&self) -> bool {
        let coding = self.header("transfer-encoding");
        coding.is_some_and(|coding| coding.to_ascii_lowercase().contains("chunked"))
    }
}

fn broken(text: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, text.to_owned())
}

fn read_line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    if line.pop() != Some(b'\n') {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    if line.last() == Some(&b'\r') {
        line.pop();
    }
    String::from_utf8(line)
        .map(Some)
        .map_err(|_| broken("a line is no text"))
}

/// Reads a head; `None` if the other end closed before its first byte.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(first_line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut message = Message {
        first_line,
        ..Message::default()
    };
    loop {
        let line = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(Some(message));
        }
        let (name, value) = line.split_once(':').ok_or_else(|| broken("a bad header"))?;
        let header = (name.to_owned(), value.trim().to_owned());
        message.headers.push(header);
    }
}

/// Reads one chunk of a body in chunks; `None` behind the last.
pub fn read_chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Vec<u8>>> {
    let size = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    let size = size.split(';').next().unwrap_or_default().trim();
    let size = usize::from_str_radix(size, 16).map_err(|_| broken("a bad chunk"))?;
    let mut chunk = vec![0; size];
    reader.read_exact(&mut chunk)?;
    let end = read_line(reader)?.ok_or(ErrorKind::UnexpectedEof)?;
    if !end.is_empty() {
        return Err(broken("no line behind a chunk"));
    }
    Ok((size > 0).then_some(chunk))
}

/// Reads the body that a head announces by a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, message: &mut Message) -> io::Result<()> {
    if message.is_chunked() {
        while let Some(chunk) = read_chunk(reader)? {
            message.body.extend_from_slice(&chunk);
        }
        return Ok(());
    }
    let length = message.header("content-length");
    let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    message.body = body;
    Ok(())
}

/// Reads a whole request; `None` if the other end closed before it.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    read_body(reader, &mut message)?;
    Ok(Some(message))
}

/// The bytes of an answer with a length.
pub fn answer(status: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// The bytes of an answer in JSON.
pub fn json_answer(status: &str, body: &str) -> Vec<u8> {
    answer(
        status,
        &[("Content-Type", "application/json")],
        body.as_bytes(),
    )
}

/// One chunk.
pub fn chunk(bytes: &[u8]) -> Vec<u8> {
    let mut out = format!("{:x}\r\n", bytes.len()).into_bytes();
    out.extend_from_slice(bytes);
    out.extend_from_slice(b"\r\n");
    out
}

/// Whether the other end has closed the channel. What it has sent stays unread.
pub fn is_closed(stream: &TcpStream) -> bool {
    if stream.set_nonblocking(true).is_err() {
        return true;
    }
    let peeked = stream.peek(&mut [0]);
    let is_open = stream.set_nonblocking(false).is_ok();
    match peeked {
        Ok(0) => true,
        Ok(_) => !is_open,
        Err(error) => error.kind() != ErrorKind::WouldBlock,
    }
}
