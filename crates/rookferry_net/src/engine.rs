//! Client of the engine protocol over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use rookferry_wire::AttemptRequest;
use rookferry_wire::AttemptResponse;
use rookferry_wire::CacheEvents;
use rookferry_wire::CancelRequest;
use rookferry_wire::EngineInfo;
use rookferry_wire::KvPages;
use rookferry_wire::LoadReport;
use rookferry_wire::OrderRequest;
use rookferry_wire::OrderResponse;
use rookferry_wire::StepBatch;
use rookferry_wire::StepBatchResponse;

use crate::ClientError;
use crate::HttpClient;

/// Timeout of calls that neither run steps nor open an attempt.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Calls of the engine protocol. Each fails with a [`ClientError`] if there is no
/// successful response in time.
pub trait EngineTransport: Send + Sync {
    /// Reads the engine's description of itself.
    fn info(&self, addr: SocketAddr) -> BoxFuture<'_, Result<EngineInfo, ClientError>>;

    /// Reads the engine's latest load report.
    fn load(&self, addr: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ClientError>>;

    /// Reads cache events from sequence number `from` on.
    fn cache_events(
        &self,
        addr: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<CacheEvents, ClientError>>;

    /// Runs a batch of steps, within `wait`.
    fn steps(
        &self,
        addr: SocketAddr,
        batch: StepBatch,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StepBatchResponse, ClientError>>;

    /// Opens an attempt of a stream, within `wait`.
    fn open(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
        wait: Duration,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>>;

    /// Cancels a stream and frees its KV cache.
    fn cancel(
        &self,
        addr: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'_, Result<(), ClientError>>;

    /// Exports the KV cache of a stream.
    fn export(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<KvPages, ClientError>>;

    /// Imports the KV cache of a stream.
    fn import(
        &self,
        addr: SocketAddr,
        pages: KvPages,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>>;

    /// Sends a fenced order.
    fn order(
        &self,
        addr: SocketAddr,
        request: OrderRequest,
    ) -> BoxFuture<'_, Result<OrderResponse, ClientError>>;
}

/// An [`EngineTransport`] over HTTP with JSON bodies.
#[derive(Clone, Debug)]
pub struct HttpEngineTransport {
    client: HttpClient,
}

impl HttpEngineTransport {
    /// Creates a transport that sends through `client`.
    #[must_use]
    pub const fn new(client: HttpClient) -> Self {
        Self { client }
    }
}

impl EngineTransport for HttpEngineTransport {
    fn info(&self, addr: SocketAddr) -> BoxFuture<'_, Result<EngineInfo, ClientError>> {
        self.client.get(addr, "/v1/info", CALL_TIMEOUT).boxed()
    }

    fn load(&self, addr: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ClientError>> {
        self.client.get(addr, "/v1/load", CALL_TIMEOUT).boxed()
    }

    fn cache_events(
        &self,
        addr: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<CacheEvents, ClientError>> {
        async move {
            let path = format!("/v1/cache-events?from={from}");
            self.client.get(addr, &path, CALL_TIMEOUT).await
        }
        .boxed()
    }

    fn steps(
        &self,
        addr: SocketAddr,
        batch: StepBatch,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StepBatchResponse, ClientError>> {
        async move { self.client.post(addr, "/v1/steps", &batch, wait).await }.boxed()
    }

    fn open(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
        wait: Duration,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>> {
        async move { self.client.post(addr, "/v1/attempts", &request, wait).await }.boxed()
    }

    fn cancel(
        &self,
        addr: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'_, Result<(), ClientError>> {
        async move {
            self.client
                .post(addr, "/v1/cancel", &request, CALL_TIMEOUT)
                .await
        }
        .boxed()
    }

    fn export(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<KvPages, ClientError>> {
        async move {
            self.client
                .post(addr, "/v1/kv/export", &request, CALL_TIMEOUT)
                .await
        }
        .boxed()
    }

    fn import(
        &self,
        addr: SocketAddr,
        pages: KvPages,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>> {
        async move {
            self.client
                .post(addr, "/v1/kv/import", &pages, CALL_TIMEOUT)
                .await
        }
        .boxed()
    }

    fn order(
        &self,
        addr: SocketAddr,
        request: OrderRequest,
    ) -> BoxFuture<'_, Result<OrderResponse, ClientError>> {
        async move {
            self.client
                .post(addr, "/v1/orders", &request, CALL_TIMEOUT)
                .await
        }
        .boxed()
    }
}
