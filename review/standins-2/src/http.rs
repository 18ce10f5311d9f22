//! HTTP/1.1 messages, as clients and servers read and write them.

use std::io;
use std::io::BufRead;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::thread;

/// Headers by name in lower case.
pub type Headers = Vec<(String, String)>;

/// A request that was read whole, or whose body is still to be read.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// An answer that was read whole.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub headers: Headers,
    pub body: Vec<u8>,
}

/// The first value of a header.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let mut found = headers.iter().filter(|(known, _)| known == name);
    found.next().map(|(_, value)| value.as_str())
}

fn read_line(reader: &mut impl BufRead) -> io::Result<Option<String>> {
    let mut line = Vec::new();
    if reader.read_until(b'\n', &mut line)? == 0 {
        return Ok(None);
    }
    Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()))
}

fn read_headers(reader: &mut impl BufRead) -> io::Result<Headers> {
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if line.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// The length that the headers state for the body.
pub fn body_length(headers: &Headers) -> usize {
    let length = header(headers, "content-length");
    length.and_then(|text| text.parse().ok()).unwrap_or(0)
}

/// Reads a request's head; `None` at the end of the connection.
pub fn read_request_head(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(line) = read_line(reader)? else {
        return Ok(None);
    };
    let mut words = line.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    Ok(Some(Request {
        method,
        target,
        headers: read_headers(reader)?,
        body: Vec::new(),
    }))
}

/// Reads a whole request; `None` at the end of the connection.
pub fn read_request(reader: &mut impl BufRead) -> io::Result<Option<Request>> {
    let Some(mut request) = read_request_head(reader)? else {
        return Ok(None);
    };
    request.body = vec![0; body_length(&request.headers)];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}

/// Reads an answer's head.
pub fn read_answer_head(reader: &mut impl BufRead) -> io::Result<Answer> {
    let line = read_line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = line.split(' ').nth(1).and_then(|text| text.parse().ok());
    Ok(Answer {
        status: status.ok_or(io::ErrorKind::InvalidData)?,
        headers: read_headers(reader)?,
        body: Vec::new(),
    })
}

/// Reads a whole answer; an error if the connection ends before its end.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let mut answer = read_answer_head(reader)?;
    answer.body = vec![0; body_length(&answer.headers)];
    reader.read_exact(&mut answer.body)?;
    Ok(answer)
}

/// Serves each connection in a thread of its own; returns the address.
pub fn serve(handle: impl Fn(TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let addr = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            let _ = stream.set_nodelay(true);
            thread::spawn(move || handle(stream));
        }
    });
    addr
}
