//! Client of the platform's object API over HTTP.
//!
//! Its errors distinguish calls that can't have taken effect from those that may have.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use rookferry_wire::InstanceList;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use rookferry_wire::WatchResponse;
use snafu::Snafu;

use crate::ClientError;
use crate::HttpClient;

/// Timeout of a call other than a watch.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// Time that a watch may take beyond the wait that is requested from the platform.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Reason why a platform call failed.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call can't have taken effect.
    #[snafu(display("the platform rejected the call: {message}"))]
    Rejected {
        /// The cause.
        message: String,
    },
    /// The call may have taken effect.
    #[snafu(display("the platform's response is lost: {message}"))]
    Lost {
        /// The cause.
        message: String,
    },
}

/// Operations of the platform that the daemons use.
pub trait Platform: Send + Sync {
    /// Reads an object; `None` if it doesn't exist.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Writes an object if its current version is the expected one.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        request: PutRequest,
    ) -> BoxFuture<'a, Result<PutResponse, PlatformError>>;

    /// Waits up to `wait` for changes of a kind after a version; counts as one read.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchResponse, PlatformError>>;

    /// Reads the list of instances, which lags behind the actual state.
    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, PlatformError>>;
}

/// A [`Platform`] reached over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    addr: SocketAddr,
}

impl HttpPlatform {
    /// Creates a client of the platform at `addr`.
    #[must_use]
    pub const fn new(client: HttpClient, addr: SocketAddr) -> Self {
        Self { client, addr }
    }
}

impl Platform for HttpPlatform {
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>> {
        async move {
            let path = format!("/v1/objects/{kind}/{name}");
            let result = self.client.get(self.addr, &path, CALL_TIMEOUT).await;
            match result {
                Ok(object) => Ok(Some(object)),
                Err(ClientError::Status { status, .. }) if status == StatusCode::NOT_FOUND => {
                    Ok(None)
                }
                Err(error) => Err(to_platform_error(&error)),
            }
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        request: PutRequest,
    ) -> BoxFuture<'a, Result<PutResponse, PlatformError>> {
        async move {
            let path = format!("/v1/objects/{kind}/{name}");
            let result = self
                .client
                .call(Method::PUT, self.addr, &path, Some(&request), CALL_TIMEOUT)
                .await;
            result.map_err(|error| to_platform_error(&error))
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchResponse, PlatformError>> {
        async move {
            let path = format!(
                "/v1/watch/{kind}?after={after}&wait_ms={}",
                wait.as_millis()
            );
            let result = self.client.get(self.addr, &path, wait + WATCH_GRACE).await;
            result.map_err(|error| to_platform_error(&error))
        }
        .boxed()
    }

    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, PlatformError>> {
        async move {
            let result = self
                .client
                .get(self.addr, "/v1/instances", CALL_TIMEOUT)
                .await;
            result.map_err(|error| to_platform_error(&error))
        }
        .boxed()
    }
}

/// Converts a client error. Only a failed connect or a client error status (4xx), such as
/// an exceeded rate limit, shows that a call can't have taken effect.
fn to_platform_error(error: &ClientError) -> PlatformError {
    let message = error.to_string();
    let is_rejected = match error {
        ClientError::NotConnected { .. } => true,
        ClientError::Status { status, .. } => status.is_client_error(),
        _ => false,
    };
    if is_rejected {
        return PlatformError::Rejected { message };
    }
    PlatformError::Lost { message }
}
