//! The platform's store: objects by kind and name, conditional writes, and watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::json::member;

#[derive(Clone)]
struct Object {
    revision: u64,
    text: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Revision, kind, object, and whether it was removed.
    changes: Vec<(u64, String, String, bool)>,
}

/// The store; clones share the content.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let text = format!(
            "{{\"Metadata\":{{\"Name\":\"{name}\",\"Revision\":{},\"made\":1,\"finalizers\":[],\
             \"deleting\":false}},\"Spec\":{spec},\"Status\":null}}",
            self.revision
        );
        let object = Object {
            revision: self.revision,
            text: text.clone(),
        };
        self.objects
            .insert((kind.to_owned(), name.to_owned()), object);
        self.changes
            .push((self.revision, kind.to_owned(), text.clone(), false));
        text
    }
}

impl Store {
    /// Starts a listener; returns the store and its address.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let served = store.clone();
        let addr = http::serve(move |stream| served.serve(stream));
        (store, addr)
    }

    /// Writes an object, as the operator or a server does. The write is acknowledged on
    /// return.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.state;
        state.lock().expect("a lock").write(kind, name, spec);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(reader) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(reader);
        let mut stream = stream;
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let answer = format!(
                "HTTP/1.1 {status} X\r\ncontent-type: application/json\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &http::Request) -> (u16, String) {
        let (path, query) = request
            .target
            .split_once('?')
            .unwrap_or((&request.target, ""));
        let mut parts = path.trim_matches('/').split('/').skip(2);
        let kind = parts.next().unwrap_or_default();
        let name = parts.next();
        let query = |key: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .into_iter()
                .find(|(known, _)| *known == key)
                .map(|(_, value)| value.to_owned())
        };
        if request.method == "GET" {
            let watched = query("watch").and_then(|text| text.parse().ok());
            let wait_ms = query("WaitMs").and_then(|text| text.parse().ok());
            return match watched {
                Some(after) => self.watch(kind, after, wait_ms.unwrap_or(0)),
                None => self.read(kind, name),
            };
        }
        let body = String::from_utf8_lossy(&request.body);
        self.write(&request.method, kind, name, &body)
    }

    fn read(&self, kind: &str, name: Option<&str>) -> (u16, String) {
        let state = self.state.0.lock().expect("a lock");
        if let Some(name) = name {
            let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
            return object.map_or((404, "{}".to_owned()), |found| (200, found.text.clone()));
        }
        let objects = state.objects.iter().filter(|((of, _), _)| of == kind);
        let items: Vec<&str> = objects.map(|(_, object)| object.text.as_str()).collect();
        let page = format!(
            "{{\"Items\":[{}],\"more\":false,\"at\":{}}}",
            items.join(","),
            state.revision
        );
        (200, page)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> (u16, String) {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("a lock");
        loop {
            let new = state.changes.iter();
            let new = new.filter(|(revision, of, ..)| *revision > after && of == kind);
            let events: Vec<String> = new
                .map(|(_, _, object, gone)| format!("{{\"gone\":{gone},\"object\":{object}}}"))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return (
                    200,
                    format!("{{\"events\":[{events}],\"at\":{}}}", state.revision),
                );
            }
            state = changed.wait_timeout(state, left).expect("a lock").0;
        }
    }

    fn write(&self, method: &str, kind: &str, name: Option<&str>, body: &str) -> (u16, String) {
        let metadata = member(body, "Metadata").unwrap_or("{}");
        let named = member(metadata, "Name").map(|text| text.trim_matches('"').to_owned());
        let Some(name) = name.map(str::to_owned).or(named) else {
            return (400, "{}".to_owned());
        };
        let expected: Option<u64> = member(metadata, "Revision").and_then(|text| text.parse().ok());
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("a lock");
        let known = state.objects.get(&(kind.to_owned(), name.clone())).cloned();
        let is_conflict = match (method, &known) {
            ("POST", known) => known.is_some(),
            (_, Some(known)) => expected.is_some_and(|expected| expected != known.revision),
            (_, None) => return (404, "{}".to_owned()),
        };
        if is_conflict {
            return (409, known.map_or("{}".to_owned(), |known| known.text));
        }
        let text = state.write(kind, &name, member(body, "Spec").unwrap_or("null"));
        changed.notify_all();
        (200, text)
    }
}
