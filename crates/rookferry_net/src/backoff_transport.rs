//! An [`EngineTransport`] that makes no calls to an engine during a backoff that the
//! engine requested by `Retry-After`.

use std::net::SocketAddr;
use std::sync::Arc;
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

use crate::BackoffTable;
use crate::ClientError;
use crate::EngineTransport;

/// Wraps a transport and refuses calls to engines that are in backoff. All kinds of
/// calls are covered, since each of them costs the engine work.
pub struct BackoffTransport {
    inner: Arc<dyn EngineTransport>,
    backoffs: Arc<BackoffTable>,
}

impl BackoffTransport {
    /// Wraps `inner` and records the backoffs that engines request in `backoffs`.
    #[must_use]
    pub fn new(inner: Arc<dyn EngineTransport>, backoffs: Arc<BackoffTable>) -> Self {
        Self { inner, backoffs }
    }

    /// Makes a call unless the engine is in backoff. `call` must send nothing before it is
    /// polled.
    fn call_unless_backed_off<'a, T: 'a>(
        &'a self,
        addr: SocketAddr,
        call: BoxFuture<'a, Result<T, ClientError>>,
    ) -> BoxFuture<'a, Result<T, ClientError>> {
        async move {
            if let Some(remaining) = self.backoffs.remaining(addr) {
                return Err(ClientError::BackedOff { addr, remaining });
            }
            let result = call.await;
            if let Err(ClientError::Status {
                status,
                retry_after,
                ..
            }) = &result
            {
                self.backoffs.record_response(addr, *status, retry_after);
            }
            result
        }
        .boxed()
    }
}

impl EngineTransport for BackoffTransport {
    fn info(&self, addr: SocketAddr) -> BoxFuture<'_, Result<EngineInfo, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.info(addr))
    }

    fn load(&self, addr: SocketAddr) -> BoxFuture<'_, Result<LoadReport, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.load(addr))
    }

    fn cache_events(
        &self,
        addr: SocketAddr,
        from: u64,
    ) -> BoxFuture<'_, Result<CacheEvents, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.cache_events(addr, from))
    }

    fn steps(
        &self,
        addr: SocketAddr,
        batch: StepBatch,
        wait: Duration,
    ) -> BoxFuture<'_, Result<StepBatchResponse, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.steps(addr, batch, wait))
    }

    fn open(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
        wait: Duration,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.open(addr, request, wait))
    }

    fn cancel(
        &self,
        addr: SocketAddr,
        request: CancelRequest,
    ) -> BoxFuture<'_, Result<(), ClientError>> {
        self.call_unless_backed_off(addr, self.inner.cancel(addr, request))
    }

    fn export(
        &self,
        addr: SocketAddr,
        request: AttemptRequest,
    ) -> BoxFuture<'_, Result<KvPages, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.export(addr, request))
    }

    fn import(
        &self,
        addr: SocketAddr,
        pages: KvPages,
    ) -> BoxFuture<'_, Result<AttemptResponse, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.import(addr, pages))
    }

    fn order(
        &self,
        addr: SocketAddr,
        request: OrderRequest,
    ) -> BoxFuture<'_, Result<OrderResponse, ClientError>> {
        self.call_unless_backed_off(addr, self.inner.order(addr, request))
    }
}
