//! Prints an instance's status: the instance, its peers and its engines.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_net::HttpClient;
use serde_json::Value;

use crate::error::CtlError;

/// Timeout of the call to the instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

pub(crate) async fn show(client: &HttpClient, entry: SocketAddr) -> Result<(), CtlError> {
    let status: Value = client
        .get(entry, "/v1/status", CALL_TIMEOUT)
        .await
        .map_err(|source| CtlError::Entry { source })?;
    println!(
        "{} in {}: version {}, {}",
        text(&status["instance"]),
        text(&status["failure_domain"]),
        status["config_version"],
        if status["is_ready"] == true {
            "ready"
        } else {
            "not ready"
        }
    );
    for member in status["members"].as_array().into_iter().flatten() {
        println!(
            "{} in {}: version {}, {}, heard {} ms ago",
            text(&member["instance"]),
            text(&member["failure_domain"]),
            member["config_version"],
            text(&member["state"]),
            member["silent_ms"]
        );
    }
    for (name, engine) in status["engines"].as_object().into_iter().flatten() {
        println!(
            "engine {name} in {}: {} layers {}, {}, {} streams, round trip {} us",
            text(&engine["failure_domain"]),
            text(&engine["model"]),
            text(&engine["layers"]),
            text(&engine["state"]),
            engine["streams"],
            engine["round_trip_us"]
        );
    }
    Ok(())
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or_default()
}
