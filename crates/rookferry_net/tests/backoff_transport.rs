//! An engine that requested a backoff must get no call of any kind until it expires.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rookferry_net::BackoffTable;
use rookferry_net::BackoffTransport;
use rookferry_net::ClientError;
use rookferry_net::EngineTransport;
use rookferry_net::HttpClient;
use rookferry_net::HttpEngineTransport;
use rookferry_wire::AttemptRequest;
use rookferry_wire::CancelRequest;
use rookferry_wire::KvPages;
use rookferry_wire::LayerRange;
use rookferry_wire::Order;
use rookferry_wire::OrderRequest;
use rookferry_wire::StepBatch;
use rookferry_wire::StreamId;
use slog::Discard;
use slog::Logger;
use slog::o;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const WAIT: Duration = Duration::from_secs(5);

fn backoffs() -> Arc<BackoffTable> {
    Arc::new(BackoffTable::new(Logger::root(Discard, o!())))
}

/// Starts an engine that refuses every call with `header` and counts the calls.
async fn spawn_refusing_engine(header: &'static str) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let calls = Arc::new(AtomicUsize::new(0));
    let call_counter = calls.clone();
    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            call_counter.fetch_add(1, Ordering::Relaxed);
            tokio::spawn(async move {
                let mut head = [0; 4_096];
                // Only the number of calls matters, not their content.
                let _ = connection.read(&mut head).await;
                let response = format!(
                    "HTTP/1.1 503 Service Unavailable\r\n{header}\
                     Content-Length: 0\r\nConnection: close\r\n\r\n"
                );
                let _ = connection.write_all(response.as_bytes()).await;
            });
        }
    });
    (addr, calls)
}

/// Makes one call of each kind and returns their errors.
async fn call_all(engines: &dyn EngineTransport, addr: SocketAddr) -> Vec<Option<ClientError>> {
    let stream = StreamId::nil();
    let layers = LayerRange { start: 0, end: 1 };
    let attempt = AttemptRequest {
        stream,
        attempt: 1,
        keep: 0,
        must_exist: false,
    };
    let cancel = CancelRequest { stream, attempt: 1 };
    let pages = KvPages {
        stream,
        attempt: 1,
        layers,
        positions: Vec::new(),
    };
    let order = OrderRequest {
        fence: 1,
        order: Order::LoadAdapter {
            adapter: "one".to_owned(),
        },
    };
    vec![
        engines.load(addr).await.err(),
        engines.info(addr).await.err(),
        engines.cache_events(addr, 0).await.err(),
        engines.steps(addr, StepBatch::default(), WAIT).await.err(),
        engines.open(addr, attempt, WAIT).await.err(),
        engines.cancel(addr, cancel).await.err(),
        engines.export(addr, attempt).await.err(),
        engines.import(addr, pages).await.err(),
        engines.order(addr, order).await.err(),
    ]
}

#[tokio::test]
async fn no_call_of_any_kind_reaches_an_engine_in_backoff() {
    let (addr, calls) = spawn_refusing_engine("Retry-After: 50\r\n").await;
    let backoffs = backoffs();
    let engines = HttpEngineTransport::new(HttpClient::new());
    let engines = BackoffTransport::new(Arc::new(engines), backoffs.clone());
    let errors = call_all(&engines, addr).await;
    assert_eq!(calls.load(Ordering::Relaxed), 1);
    for error in &errors[1..] {
        let error = error.as_ref().expect("an error");
        assert!(error.is_unsent(), "{error}");
    }
    // A new process at the address has requested no backoff.
    backoffs.forget(addr);
    assert!(engines.info(addr).await.is_err());
    assert_eq!(calls.load(Ordering::Relaxed), 2);
}

#[tokio::test]
async fn an_engine_without_a_valid_retry_after_is_still_called() {
    for header in ["", "Retry-After: soon\r\n", "Retry-After: 0\r\n"] {
        let (addr, calls) = spawn_refusing_engine(header).await;
        let engines = HttpEngineTransport::new(HttpClient::new());
        let engines = BackoffTransport::new(Arc::new(engines), backoffs());
        let errors = call_all(&engines, addr).await;
        assert_eq!(calls.load(Ordering::Relaxed), errors.len(), "{header:?}");
    }
}
