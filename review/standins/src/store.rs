//! The platform's store: objects by kind and name, conditional writes and watches, as
//! PROTOCOL.md tells them.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::http;
use crate::http::Message;
use crate::json;
use crate::json::Value;

/// Time of an answer.
const DELAY: Duration = Duration::from_millis(4);
/// Most objects of a page.
const PAGE: usize = 500;

struct Change {
    revision: u64,
    kind: String,
    object: String,
    gone: bool,
}

#[derive(Clone)]
struct Object {
    revision: u64,
    spec: String,
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    changes: Vec<Change>,
}

#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, object: &Object) -> String {
    let name = Value::Text(name.to_owned());
    format!(
        "{{\"Metadata\":{{\"Name\":{name},\"Revision\":{},\"made\":1,\"finalizers\":[],\
         \"deleting\":false}},\"Spec\":{},\"Status\":null}}",
        object.revision, object.spec
    )
}

impl State {
    fn write(&mut self, kind: &str, name: &str, spec: String) -> Object {
        let key = (kind.to_owned(), name.to_owned());
        if let Some(known) = self.objects.get(&key) {
            if known.spec == spec {
                return known.clone();
            }
        }
        self.revision += 1;
        let object = Object {
            revision: self.revision,
            spec,
        };
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object: render(name, &object),
            gone: false,
        });
        self.objects.insert(key, object.clone());
        object
    }

    fn remove(&mut self, kind: &str, name: &str) {
        let key = (kind.to_owned(), name.to_owned());
        let Some(mut object) = self.objects.remove(&key) else {
            return;
        };
        self.revision += 1;
        object.revision = self.revision;
        self.changes.push(Change {
            revision: self.revision,
            kind: kind.to_owned(),
            object: render(name, &object),
            gone: true,
        });
    }
}

impl Store {
    /// Starts a store at an address.
    pub fn start(addr: SocketAddr) -> Self {
        let store = Self::default();
        let listener = TcpListener::bind(addr).expect("the store's address");
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        store
    }

    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let (state, changed) = &*self.inner;
        state
            .lock()
            .expect("a lock")
            .write(kind, name, spec.to_owned());
        changed.notify_all();
    }

    pub fn delete(&self, kind: &str, name: &str) {
        let (state, changed) = &*self.inner;
        state.lock().expect("a lock").remove(kind, name);
        changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut out) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let answer = self.answer(&request);
            thread::sleep(DELAY);
            if out.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return http::json_answer("404 Not Found", "{}");
        };
        let (kind, name) = rest.split_once('/').unwrap_or((rest, ""));
        let parameter = |wanted: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == wanted)
                .map(|(_, value)| value.replace("%2D", "-"))
        };
        if request.method() == "GET" {
            if let Some(after) = parameter("watch").and_then(|text| text.parse().ok()) {
                let wait_ms = parameter("WaitMs").and_then(|text| text.parse().ok());
                return self.watch(kind, after, Duration::from_millis(wait_ms.unwrap_or(0)));
            }
            return self.list(kind, name, parameter("SinceRev"));
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = json::parse(&body) else {
            return http::json_answer("400 Bad Request", "{}");
        };
        self.change(request.method(), kind, name, &body)
    }

    fn list(&self, kind: &str, name: &str, after: Option<String>) -> Vec<u8> {
        let state = self.inner.0.lock().expect("a lock");
        if !name.is_empty() {
            let key = (kind.to_owned(), name.to_owned());
            return match state.objects.get(&key) {
                Some(object) => http::json_answer("200 OK", &render(name, object)),
                None => http::json_answer("404 Not Found", "{}"),
            };
        }
        let of_kind = state.objects.iter().filter(|((known, _), _)| known == kind);
        let rest: Vec<String> = of_kind
            .filter(|((_, name), _)| after.as_ref().is_none_or(|after| name > after))
            .map(|((_, name), object)| render(name, object))
            .collect();
        let items = rest[..rest.len().min(PAGE)].join(",");
        let body = format!(
            "{{\"Items\":[{items}],\"more\":{},\"at\":{}}}",
            rest.len() > PAGE,
            state.revision
        );
        http::json_answer("200 OK", &body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Vec<u8> {
        let (state, changed) = &*self.inner;
        let until = Instant::now() + wait;
        let mut state = state.lock().expect("a lock");
        loop {
            let new = state
                .changes
                .iter()
                .filter(|change| change.revision > after);
            let events: Vec<String> = new
                .filter(|change| change.kind == kind)
                .map(|change| format!("{{\"gone\":{},\"object\":{}}}", change.gone, change.object))
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = state.revision;
                let body = format!("{{\"events\":[{}],\"at\":{at}}}", events.join(","));
                return http::json_answer("200 OK", &body);
            }
            state = changed.wait_timeout(state, left).expect("a lock").0;
        }
    }

    fn change(&self, method: &str, kind: &str, name: &str, body: &Value) -> Vec<u8> {
        let (state, changed) = &*self.inner;
        let mut state = state.lock().expect("a lock");
        let metadata = body.get("Metadata");
        let name = if name.is_empty() {
            metadata.get("Name").text().unwrap_or_default()
        } else {
            name
        };
        let key = (kind.to_owned(), name.to_owned());
        let known = state.objects.get(&key).cloned();
        let expected = metadata
            .get("Revision")
            .number()
            .filter(|number| *number > 0.0);
        let is_conflict = match (method, &known) {
            ("POST", Some(_)) => true,
            (_, Some(known)) => expected.is_some_and(|number| number as u64 != known.revision),
            _ => false,
        };
        if let (true, Some(known)) = (is_conflict, &known) {
            return http::json_answer("409 Conflict", &render(name, known));
        }
        if method == "PUT" && known.is_none() {
            return http::json_answer("404 Not Found", "{}");
        }
        let object = state.write(kind, name, body.get("Spec").to_string());
        changed.notify_all();
        http::json_answer("200 OK", &render(name, &object))
    }
}
