//! Prints a routing decision in terms of the configuration: routes, pools and labels.

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use rookferry_core::DecisionRecord;
use rookferry_core::DecisionResult;
use rookferry_net::ClientError;
use rookferry_net::HttpClient;
use serde_json::Value;

use crate::error::CtlError;

/// Timeout of the call to the instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the decision record of a request from an instance and prints it. If there is
/// none, the error has the instance's explanation.
pub(crate) async fn show(
    client: &HttpClient,
    entry: SocketAddr,
    request_id: &str,
) -> Result<(), CtlError> {
    let path = format!("/v1/decisions/{request_id}");
    let record: DecisionRecord = match client.get(entry, &path, CALL_TIMEOUT).await {
        Ok(record) => record,
        Err(ClientError::Status { status, body, .. }) if status == StatusCode::NOT_FOUND => {
            let body: Value = serde_json::from_str(&body).unwrap_or_default();
            let explanation = body["explanation"]
                .as_str()
                .unwrap_or("no decision record of this request")
                .to_owned();
            return Err(CtlError::NoRecord { explanation });
        }
        Err(source) => return Err(CtlError::Entry { source }),
    };
    print(&record);
    Ok(())
}

fn print(record: &DecisionRecord) {
    let id = record.request_id.as_deref().unwrap_or_default();
    let instance = record.instance.as_deref().unwrap_or_default();
    println!(
        "request {id}, decided by {instance} under configuration {}",
        record.config_version
    );
    let labels = record.labels.iter();
    let labels: Vec<String> = labels
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    println!("labels: {}", labels.join(", "));
    for evaluated in &record.routes {
        let verdict = if evaluated.matched {
            "matched"
        } else {
            "did not match"
        };
        println!(
            "route {} [{}]: {verdict}",
            evaluated.route, evaluated.selector
        );
    }
    if let Some(pool) = &record.pool {
        println!("pool {} [{}]", pool.pool, pool.selector);
    }
    for candidate in &record.candidates {
        println!(
            "  {}: {:?}, cost {} us",
            candidate.engine, candidate.verdict, candidate.cost_us
        );
    }
    println!("waited {} us", record.queued_us);
    for (number, chain) in record.chains.iter().enumerate() {
        let verb = if number == 0 { "ran on" } else { "then on" };
        println!("{verb} {}", chain.join(" -> "));
    }
    match &record.result {
        Some(DecisionResult::Answered { size }) => println!("answered, {size} tokens or bytes"),
        Some(DecisionResult::Failed {
            outcome,
            reason,
            detail,
        }) => println!("no answer: {outcome:?}, {reason:?}: {detail}"),
        Some(DecisionResult::CallerGone) => println!("the caller disconnected"),
        None => println!("in progress"),
    }
}
