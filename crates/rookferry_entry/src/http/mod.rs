//! HTTP interfaces of an entry instance: one for callers, one for operators.

mod call;
mod forward;
mod keyed;
mod model;
mod operators;
mod refusal;
mod respond;
mod service;
mod sse;

use std::sync::Arc;

use gotham::prelude::*;
use gotham::router::Router;
use gotham::router::build_simple_router;
use http::Method;
use http::StatusCode;
use rookferry_net::ConnectionTable;
use rookferry_net::NotFound;
use rookferry_net::endpoint;

use crate::entry::EntryState;

pub(crate) use forward::serve_forwarded;

/// Routes of the callers' interface.
pub(crate) fn caller_router(entry: &Arc<EntryState>, connections: &ConnectionTable) -> Router {
    let methods = vec![
        Method::GET,
        Method::HEAD,
        Method::POST,
        Method::PUT,
        Method::PATCH,
        Method::DELETE,
    ];
    build_simple_router(|route| {
        route
            .post("/v1/completions")
            .to_new_handler(endpoint(entry, connections, model::complete));
        route.request(methods, "/apps/*").to_new_handler(endpoint(
            entry,
            connections,
            service::call,
        ));
        route
            .get("/readyz")
            .to_new_handler(endpoint(entry, connections, operators::ready));
        route.add_response_extender(StatusCode::NOT_FOUND, NotFound);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, NotFound);
    })
}

/// Routes of the operators' interface.
pub(crate) fn operator_router(entry: &Arc<EntryState>, connections: &ConnectionTable) -> Router {
    build_simple_router(|route| {
        route
            .get("/healthz")
            .to_new_handler(endpoint(entry, connections, operators::healthy));
        route
            .get("/readyz")
            .to_new_handler(endpoint(entry, connections, operators::ready));
        route
            .get("/metrics")
            .to_new_handler(endpoint(entry, connections, operators::metrics));
        route.get("/v1/decisions/*").to_new_handler(endpoint(
            entry,
            connections,
            operators::decision,
        ));
        route
            .get("/v1/config")
            .to_new_handler(endpoint(entry, connections, operators::config));
        route
            .get("/v1/status")
            .to_new_handler(endpoint(entry, connections, operators::status));
        route
            .get("/v1/fleet")
            .to_new_handler(endpoint(entry, connections, operators::fleet));
        route.get("/v1/objectives").to_new_handler(endpoint(
            entry,
            connections,
            operators::objectives,
        ));
        route.add_response_extender(StatusCode::NOT_FOUND, NotFound);
        route.add_response_extender(StatusCode::METHOD_NOT_ALLOWED, NotFound);
    })
}
