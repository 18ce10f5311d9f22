//! HTTP server of the platform, with rate limits, call latency and injected faults.
//!
//! `/v1/objects`, `/v1/watch` and `/v1/instances` are the published API. `/admin`
//! registers instances, injects faults and returns call counters, free of rate limits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use gotham::helpers::http::Body;
use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::build_simple_router;
use http::Method;
use http::Response;
use http::StatusCode;
use rookferry_net::ConnectionLimits;
use rookferry_net::ConnectionTable;
use rookferry_net::InboundRequest;
use rookferry_net::Server;
use rookferry_net::endpoint;
use rookferry_net::json_response;
use rookferry_net::text_response;
use rookferry_wire::InstanceEntry;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::sync::Notify;

use super::Store;
use crate::Fault;
use crate::FaultState;
use crate::admin::broken_connection;

const MAX_BODY_BYTES: usize = 1_200_000;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of the platform.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformConfig {
    /// Listen address.
    pub listen: SocketAddr,
    /// Writes allowed per second.
    pub writes_per_s: u32,
    /// Reads allowed per second; a watch counts as one read, however long it waits.
    pub reads_per_s: u32,
    /// Added latency of each call.
    pub call_ms: u64,
    /// Delay until a change appears in the instance list.
    pub list_lag_ms: u64,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            writes_per_s: 100,
            reads_per_s: 2_000,
            call_ms: 2,
            list_lag_ms: 500,
        }
    }
}

/// Token bucket that holds up to one second's calls.
#[derive(Debug)]
struct RateLimit {
    per_s: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimit {
    fn new(per_s: u32) -> Self {
        Self {
            per_s: f64::from(per_s),
            tokens: f64::from(per_s),
            refilled_at: Instant::now(),
        }
    }

    /// Takes a token; false if the rate is exceeded.
    fn try_take(&mut self) -> bool {
        let now = Instant::now();
        let refilled = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64()
            * self.per_s;
        self.refilled_at = now;
        self.tokens = (self.tokens + refilled).min(self.per_s);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// State shared by the request handlers.
struct App {
    config: PlatformConfig,
    store: Mutex<Store>,
    /// Wakes watches when an object or a fault changes.
    changed: Notify,
    faults: FaultState,
    writes: Mutex<RateLimit>,
    reads: Mutex<RateLimit>,
    write_calls: AtomicU64,
    read_calls: AtomicU64,
    refused_calls: AtomicU64,
}

/// Calls received since the start, including the refused ones.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub(crate) struct CallCounts {
    writes: u64,
    reads: u64,
    /// Calls refused because of the rate limits.
    turned_away: u64,
}

/// A running platform server.
#[derive(Debug)]
pub struct PlatformServer {
    /// Bound address.
    pub addr: SocketAddr,
}

impl PlatformServer {
    /// Starts a platform that serves until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the listen address can't be bound.
    pub async fn start(config: PlatformConfig) -> io::Result<Self> {
        let server = Server::bind(config.listen, ConnectionLimits::default()).await?;
        let addr = server.local_addr()?;
        let app = Arc::new(App {
            store: Mutex::default(),
            changed: Notify::new(),
            faults: FaultState::default(),
            writes: Mutex::new(RateLimit::new(config.writes_per_s)),
            reads: Mutex::new(RateLimit::new(config.reads_per_s)),
            write_calls: AtomicU64::new(0),
            read_calls: AtomicU64::new(0),
            refused_calls: AtomicU64::new(0),
            config,
        });
        let router = router(&app, server.connections());
        tokio::spawn(server.serve(router, std::future::pending()));
        Ok(Self { addr })
    }
}

fn router(app: &Arc<App>, connections: &ConnectionTable) -> Router {
    build_simple_router(|route| {
        route
            .get("/v1/objects/*")
            .to_new_handler(endpoint(app, connections, get_object));
        route
            .put("/v1/objects/*")
            .to_new_handler(endpoint(app, connections, put_object));
        route
            .get("/v1/watch/*")
            .to_new_handler(endpoint(app, connections, watch));
        route
            .get("/v1/instances")
            .to_new_handler(endpoint(app, connections, instances));
        route
            .request(vec![Method::PUT, Method::DELETE], "/admin/instances/*")
            .to_new_handler(endpoint(app, connections, set_instance));
        route
            .post("/admin/fault")
            .to_new_handler(endpoint(app, connections, fault));
        route
            .get("/admin/calls")
            .to_new_handler(endpoint(app, connections, calls));
    })
}

async fn get_object(app: Arc<App>, inbound: InboundRequest) -> Response<Body> {
    if let Err(refused) = app.admit_read().await {
        return refused;
    }
    let Some((kind, name)) = inbound
        .strip_path_prefix("/v1/objects/")
        .and_then(|path| path.split_once('/'))
    else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "kind and name are missing".to_owned(),
        );
    };
    let object = app.lock().get(kind, name).cloned();
    match object {
        Some(object) => json_response(StatusCode::OK, &object),
        None => text_response(StatusCode::NOT_FOUND, "no such object".to_owned()),
    }
}

/// Writes an object. The `lose_answers` fault breaks the connection after the write.
async fn put_object(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let request: PutRequest = match read_json(&mut inbound).await {
        Ok(request) => request,
        Err(refused) => return refused,
    };
    if let Err(refused) = app.admit_write().await {
        return refused;
    }
    let Some((kind, name)) = inbound
        .strip_path_prefix("/v1/objects/")
        .and_then(|path| path.split_once('/'))
    else {
        return text_response(
            StatusCode::BAD_REQUEST,
            "kind and name are missing".to_owned(),
        );
    };
    let response = app.lock().put(kind, name, request);
    if matches!(response, PutResponse::Written { .. }) {
        app.changed.notify_waiters();
    }
    if app.faults.drops_response() {
        return broken_connection();
    }
    json_response(StatusCode::OK, &response)
}

/// Long poll: responds once an object of the kind is newer than `after`, at the latest
/// after `wait_ms`.
async fn watch(app: Arc<App>, inbound: InboundRequest) -> Response<Body> {
    if let Err(refused) = app.admit_read().await {
        return refused;
    }
    let kind = inbound
        .strip_path_prefix("/v1/watch/")
        .unwrap_or_default()
        .to_owned();
    let after = query_number(&inbound, "after");
    let deadline =
        tokio::time::Instant::now() + Duration::from_millis(query_number(&inbound, "wait_ms"));
    loop {
        let changed = app.changed.notified();
        let response = app.lock().changes(&kind, after);
        if app.faults.is_dead() {
            return broken_connection();
        }
        if !response.objects.is_empty() {
            return json_response(StatusCode::OK, &response);
        }
        if tokio::time::timeout_at(deadline, changed).await.is_err() {
            return json_response(StatusCode::OK, &response);
        }
    }
}

/// Numeric query parameter; 0 if it is missing or invalid.
fn query_number(inbound: &InboundRequest, name: &str) -> u64 {
    let text = inbound.query_param(name).unwrap_or_default();
    text.parse().unwrap_or(0)
}

async fn instances(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    if let Err(refused) = app.admit_read().await {
        return refused;
    }
    let lag = Duration::from_millis(app.config.list_lag_ms);
    let list = app.lock().list(Instant::now(), lag);
    json_response(StatusCode::OK, &list)
}

async fn set_instance(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let name = inbound
        .strip_path_prefix("/admin/instances/")
        .unwrap_or_default()
        .to_owned();
    let entry: Option<InstanceEntry> = if inbound.method == Method::DELETE {
        None
    } else {
        match read_json(&mut inbound).await {
            Ok(entry) => Some(entry),
            Err(refused) => return refused,
        }
    };
    app.lock().set_instance(Instant::now(), name.into(), entry);
    json_response(StatusCode::OK, &())
}

async fn fault(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let fault: Fault = match read_json(&mut inbound).await {
        Ok(fault) => fault,
        Err(refused) => return refused,
    };
    app.faults.apply(&fault);
    app.changed.notify_waiters();
    json_response(StatusCode::OK, &())
}

async fn calls(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    let counts = CallCounts {
        writes: app.write_calls.load(Ordering::Relaxed),
        reads: app.read_calls.load(Ordering::Relaxed),
        turned_away: app.refused_calls.load(Ordering::Relaxed),
    };
    json_response(StatusCode::OK, &counts)
}

impl App {
    fn lock(&self) -> std::sync::MutexGuard<'_, Store> {
        self.store.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn admit_read(&self) -> Result<(), Response<Body>> {
        self.read_calls.fetch_add(1, Ordering::Relaxed);
        self.admit(&self.reads).await
    }

    async fn admit_write(&self) -> Result<(), Response<Body>> {
        self.write_calls.fetch_add(1, Ordering::Relaxed);
        self.admit(&self.writes).await
    }

    /// Applies delays, faults and the rate limit to a call, then its latency.
    async fn admit(&self, rate: &Mutex<RateLimit>) -> Result<(), Response<Body>> {
        self.faults.delay_message().await;
        if self.faults.is_dead() {
            return Err(broken_connection());
        }
        let is_allowed = rate
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .try_take();
        if !is_allowed {
            self.refused_calls.fetch_add(1, Ordering::Relaxed);
            return Err(text_response(
                StatusCode::TOO_MANY_REQUESTS,
                "the platform's rate limit is exceeded".to_owned(),
            ));
        }
        tokio::time::sleep(Duration::from_millis(self.config.call_ms)).await;
        Ok(())
    }
}

/// Reads and deserializes a JSON body; on failure returns the 400 response to send.
pub(crate) async fn read_json<T: DeserializeOwned>(
    inbound: &mut InboundRequest,
) -> Result<T, Response<Body>> {
    let body = inbound.read_body(MAX_BODY_BYTES, BODY_TIMEOUT).await;
    let body = body.map_err(|error| text_response(StatusCode::BAD_REQUEST, error.to_string()))?;
    serde_json::from_slice(&body)
        .map_err(|error| text_response(StatusCode::BAD_REQUEST, error.to_string()))
}
