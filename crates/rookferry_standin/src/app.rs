//! Application engines: HTTP services that echo each request and count the calls per
//! request id.
//!
//! Every path but `/admin` is the service. `/admin/ledger` returns the calls begun by
//! `rookferry-request-id`; calls without this header count as `direct`.
//! `/admin/calls-since-asked` returns the calls since the last refusal with a backoff.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

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
use rookferry_wire::InstanceId;
use rookferry_wire::Labels;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::Notify;

use crate::Fault;
use crate::FaultState;
use crate::admin::RESTART_DELAY;
use crate::admin::broken_connection;
use crate::platform::server::read_json;

const MAX_BODY_BYTES: usize = 1_000_000;
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Configuration of an application engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AppConfig {
    /// Instance name.
    pub instance: InstanceId,
    /// Listen address.
    pub listen: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Labels that pool selectors match.
    #[serde(default)]
    pub labels: Labels,
    /// Duration of a call.
    pub call_us: u64,
}

/// State shared by the request handlers.
struct App {
    config: AppConfig,
    faults: FaultState,
    /// Signals a simulated crash of the process.
    crashed: Notify,
    /// Calls begun, by request id.
    ledger: Mutex<BTreeMap<String, u32>>,
}

/// A running application engine.
#[derive(Debug)]
pub struct AppServer {
    /// Instance name.
    pub instance: InstanceId,
    /// Bound address.
    pub addr: SocketAddr,
}

/// Response body of an application engine.
#[derive(Serialize, Deserialize)]
struct AppResponse {
    served_by: InstanceId,
    method: String,
    path: String,
    body: String,
}

impl AppServer {
    /// Starts an application engine that serves until the process exits.
    ///
    /// # Errors
    ///
    /// Fails if the listen address can't be bound.
    pub async fn start(config: AppConfig) -> io::Result<Self> {
        let server = Server::bind(config.listen, ConnectionLimits::default()).await?;
        let addr = server.local_addr()?;
        let instance = config.instance.clone();
        let app = Arc::new(App {
            config,
            faults: FaultState::default(),
            ledger: Mutex::default(),
            crashed: Notify::new(),
        });
        tokio::spawn(run(app, server, addr));
        Ok(Self { instance, addr })
    }
}

/// Serves until the process exits. After each simulated crash it restarts at the same
/// address, `RESTART_DELAY` later.
async fn run(app: Arc<App>, mut server: Server, addr: SocketAddr) {
    loop {
        let router = router(&app, server.connections());
        server.serve(router, app.crashed.notified()).await;
        tokio::time::sleep(RESTART_DELAY).await;
        server = match Server::bind(addr, ConnectionLimits::default()).await {
            Ok(server) => server,
            Err(error) => {
                panic!("can't bind an application engine again after its restart: {error}")
            }
        };
    }
}

fn router(app: &Arc<App>, connections: &ConnectionTable) -> Router {
    let methods = vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::DELETE,
    ];
    build_simple_router(|route| {
        route
            .post("/admin/fault")
            .to_new_handler(endpoint(app, connections, fault));
        route
            .get("/admin/ledger")
            .to_new_handler(endpoint(app, connections, ledger));
        route
            .get("/admin/calls-since-asked")
            .to_new_handler(endpoint(app, connections, calls_since_refusal));
        route
            .request(methods, "/*")
            .to_new_handler(endpoint(app, connections, serve));
    })
}

async fn serve(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let body = match inbound.read_body(MAX_BODY_BYTES, BODY_TIMEOUT).await {
        Ok(body) => body,
        Err(error) => return text_response(StatusCode::BAD_REQUEST, error.to_string()),
    };
    if let Some(refusal) = app.faults.refusal_with_backoff() {
        return refusal;
    }
    app.faults.delay_message().await;
    if app.faults.is_dead() {
        return broken_connection();
    }
    let request_id = inbound
        .header("rookferry-request-id")
        .unwrap_or("direct")
        .to_owned();
    {
        let mut ledger = app.ledger.lock().unwrap_or_else(PoisonError::into_inner);
        *ledger.entry(request_id).or_default() += 1;
    }
    if app.faults.crashes_on(&body) {
        app.crashed.notify_one();
        return broken_connection();
    }
    tokio::time::sleep(Duration::from_micros(app.config.call_us)).await;
    if app.faults.is_dead() || app.faults.drops_response() {
        return broken_connection();
    }
    let response = AppResponse {
        served_by: app.config.instance.clone(),
        method: inbound.method.to_string(),
        path: inbound.uri.path().to_owned(),
        body: String::from_utf8_lossy(&body).into_owned(),
    };
    json_response(StatusCode::OK, &response)
}

async fn fault(app: Arc<App>, mut inbound: InboundRequest) -> Response<Body> {
    let fault: Fault = match read_json(&mut inbound).await {
        Ok(fault) => fault,
        Err(refused) => return refused,
    };
    app.faults.apply(&fault);
    json_response(StatusCode::OK, &())
}

async fn calls_since_refusal(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    json_response(StatusCode::OK, &app.faults.calls_since_refusal())
}

async fn ledger(app: Arc<App>, _inbound: InboundRequest) -> Response<Body> {
    let ledger = app
        .ledger
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    json_response(StatusCode::OK, &ledger)
}
