//! Raw responses that are sent before a connection is closed below the HTTP library, which
//! has no means to send one there.

use rookferry_wire::Outcome;
use rookferry_wire::Problem;
use rookferry_wire::ReasonCode;

/// Request id in problems for requests that were refused before they got an id.
const UNASSIGNED: &str = "unassigned";

/// Sent before a connection is closed by the head timeout.
pub(crate) fn head_timeout_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "request head too slow".to_owned(),
        status: 408,
        detail: "the request's head did not arrive in time; send it at once".to_owned(),
        reason: ReasonCode::BadRequest,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: None,
        ticket: None,
    })
}

/// Sent before a connection with a head beyond the limit is closed.
pub(crate) fn oversized_head_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "request head too large".to_owned(),
        status: 431,
        detail: "the request's head exceeds the size limit; send a shorter one".to_owned(),
        reason: ReasonCode::BadRequest,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: None,
        ticket: None,
    })
}

/// Sent before a connection beyond the limit is closed.
pub(crate) fn connection_limit_response() -> Vec<u8> {
    encode_problem_response(&Problem {
        title: "too many connections".to_owned(),
        status: 503,
        detail: "this instance's connections are used up; come back, or ask another instance"
            .to_owned(),
        reason: ReasonCode::Overloaded,
        outcome: Outcome::NotRun,
        request_id: UNASSIGNED.into(),
        retry_after_ms: Some(1_000),
        ticket: None,
    })
}

fn encode_problem_response(problem: &Problem) -> Vec<u8> {
    let body = serde_json::to_string(problem).unwrap_or_default();
    let head = format!(
        "HTTP/1.1 {} {}\r\ncontent-type: application/problem+json\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
        problem.status,
        problem.title,
        body.len()
    );
    (head + &body).into_bytes()
}
