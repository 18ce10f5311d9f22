//! JSON bodies of the client protocol: completion requests, responses and errors.

use serde::Deserialize;
use serde::Serialize;

use crate::RequestId;

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model.
    pub model: String,
    /// The prompt's text.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether to stream tokens as they are generated.
    #[serde(default)]
    pub stream: bool,
}

const fn default_max_tokens() -> u32 {
    16
}

/// Body of a response that is not streamed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CompletionResponse {
    /// Id of the request.
    pub id: RequestId,
    /// Name of the model.
    pub model: String,
    /// Ids of the generated tokens.
    pub tokens: Vec<u64>,
    /// The tokens as text.
    pub text: String,
    /// Either `length` or `stop`; an incomplete completion is reported as an error.
    pub finish_reason: String,
}

/// One server-sent event of a streamed response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StreamEvent {
    /// Id of the request.
    pub id: RequestId,
    /// Index of the token in the response, from 0.
    pub index: u32,
    /// Id of the token.
    pub token: u64,
    /// The token as text.
    pub text: String,
}

/// What is known about the execution of a failed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No part of the request was executed.
    NotRun,
    /// The request was forwarded and its result is lost; it may have been executed.
    Unknown,
    /// A request with the same key is running; retry later for its response.
    Running,
}

/// Machine-readable reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ReasonCode {
    /// The request is invalid, or its body can't be parsed.
    BadRequest,
    /// The API key is missing or belongs to no account.
    Unauthorized,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The body was not received in time.
    BodyTooSlow,
    /// The model, service or path doesn't exist.
    NotFound,
    /// No route's selector matched.
    NoRoute,
    /// No chain of live engines covers the model's layers.
    NoChain,
    /// The account's limit is reached.
    AccountLimit,
    /// The queue is full, or the expected wait exceeds the deadline.
    Overloaded,
    /// The instance has no active configuration yet.
    NotReady,
    /// The instance is leaving.
    Leaving,
    /// The key can't be claimed because the platform is unavailable.
    ClaimUnavailable,
    /// The idempotency key was used with another body.
    KeyReused,
    /// The idempotency key is older than the time for which keys are stored.
    KeyExpired,
    /// A request with the same idempotency key is running.
    KeyRunning,
    /// The engines that executed the request became unavailable.
    EngineLost,
    /// The request is quarantined because several servers crashed while executing it.
    Quarantined,
    /// The request's deadline has passed.
    DeadlinePassed,
    /// The instance that owns the key has exited, and its work can't be resumed.
    OwnerGone,
}

/// Body of an error response, `application/problem+json`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Problem {
    /// Short human-readable summary.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What is wrong, the offending value, and the likely fix.
    pub detail: String,
    /// Machine-readable reason.
    pub reason: ReasonCode,
    /// What is known about the request's execution.
    pub outcome: Outcome,
    /// Id of the request.
    pub request_id: RequestId,
    /// Delay before a retry, in milliseconds; absent if a retry can't succeed.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
    /// Idempotency key to use for retries while the platform is unavailable.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub ticket: Option<String>,
}
