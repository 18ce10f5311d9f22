//! The platform's object API.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use http::Method;
use http::StatusCode;
use rookferry_wire::InstanceList;
use rookferry_wire::Object;
use rookferry_wire::ObjectVersion;
use rookferry_wire::PutAnswer;
use rookferry_wire::PutRequest;
use rookferry_wire::WatchAnswer;
use snafu::Snafu;

use crate::ClientError;
use crate::HttpClient;

/// How long a call may take.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);
/// How much longer a watch may take than it asks the platform to wait.
const WATCH_GRACE: Duration = Duration::from_secs(2);

/// Why the platform gave no answer.
#[derive(Debug, Snafu)]
pub enum PlatformError {
    /// The call can't have taken effect.
    #[snafu(display("the platform did not take the call: {message}"))]
    Rejected {
        /// The cause.
        message: String,
    },
    /// The call may have taken effect.
    #[snafu(display("the platform's answer is lost: {message}"))]
    Lost {
        /// The cause.
        message: String,
    },
}

/// The platform, as the daemons see it.
pub trait Platform: Send + Sync {
    /// Reads an object; `None` if it doesn't exist.
    fn get<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
    ) -> BoxFuture<'a, Result<Option<Object>, PlatformError>>;

    /// Writes an object if its version is the expected one.
    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        request: PutRequest,
    ) -> BoxFuture<'a, Result<PutAnswer, PlatformError>>;

    /// Waits for changes of a kind after a version; counts as one read.
    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, PlatformError>>;

    /// The lagging list of instances.
    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, PlatformError>>;
}

/// The platform over HTTP.
#[derive(Clone, Debug)]
pub struct HttpPlatform {
    client: HttpClient,
    addr: SocketAddr,
}

impl HttpPlatform {
    /// A client of the platform at an address.
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
            let answer = self.client.get(self.addr, &path, CALL_TIMEOUT).await;
            match answer {
                Ok(object) => Ok(Some(object)),
                Err(ClientError::Status { status, .. }) if status == StatusCode::NOT_FOUND => {
                    Ok(None)
                }
                Err(error) => Err(classify(&error)),
            }
        }
        .boxed()
    }

    fn put<'a>(
        &'a self,
        kind: &'a str,
        name: &'a str,
        request: PutRequest,
    ) -> BoxFuture<'a, Result<PutAnswer, PlatformError>> {
        async move {
            let path = format!("/v1/objects/{kind}/{name}");
            let answer = self
                .client
                .call(Method::PUT, self.addr, &path, Some(&request), CALL_TIMEOUT)
                .await;
            answer.map_err(|error| classify(&error))
        }
        .boxed()
    }

    fn watch<'a>(
        &'a self,
        kind: &'a str,
        after: ObjectVersion,
        wait: Duration,
    ) -> BoxFuture<'a, Result<WatchAnswer, PlatformError>> {
        async move {
            let path = format!(
                "/v1/watch/{kind}?after={after}&wait_ms={}",
                wait.as_millis()
            );
            let answer = self.client.get(self.addr, &path, wait + WATCH_GRACE).await;
            answer.map_err(|error| classify(&error))
        }
        .boxed()
    }

    fn instances(&self) -> BoxFuture<'_, Result<InstanceList, PlatformError>> {
        async move {
            let answer = self
                .client
                .get(self.addr, "/v1/instances", CALL_TIMEOUT)
                .await;
            answer.map_err(|error| classify(&error))
        }
        .boxed()
    }
}

/// Only a failed connect, or the platform's own word that its rate is used
/// up, shows that a call can't have taken effect.
fn classify(error: &ClientError) -> PlatformError {
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
