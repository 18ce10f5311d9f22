//! Requests that are sent again over a new connection while the first has no response.

use std::net::SocketAddr;
use std::time::Duration;

use rookferry_net::HttpClient;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
/// Longer than any response takes here.
const WAIT: Duration = Duration::from_secs(20);

/// A server that leaves the first `silent` connections without a response.
async fn serve(silent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.expect("a connection");
            tokio::spawn(respond(stream, number < silent));
        }
    });
    addr
}

async fn respond(mut stream: TcpStream, is_silent: bool) {
    let mut request = [0; 1_024];
    let _ = stream.read(&mut request).await;
    if is_silent {
        std::future::pending::<()>().await;
    }
    let _ = stream.write_all(RESPONSE).await;
}

#[rstest]
#[case::the_first_responds(0)]
#[case::only_the_second_responds(1)]
#[tokio::test]
async fn the_first_response_counts(#[case] silent: usize) {
    let addr = serve(silent).await;
    let hedge_after = Duration::from_millis(20);
    let client = HttpClient::new();
    let response = client.get_hedged(addr, "/", hedge_after, WAIT);
    assert_eq!(&response.await.expect("a response").body[..], b"{}");
}

#[tokio::test]
async fn without_any_response_the_request_times_out() {
    let addr = serve(2).await;
    let (hedge_after, wait) = (Duration::from_millis(20), Duration::from_millis(100));
    let client = HttpClient::new();
    let response = client.get_hedged(addr, "/", hedge_after, wait);
    assert!(response.await.is_err());
}
