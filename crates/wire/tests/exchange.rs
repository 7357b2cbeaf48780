//! Tests of requests and responses between processes: responses, refusals, and replacement of an
//! unresponsive connection.

#![allow(clippy::unwrap_used, clippy::panic)]

use comfreyhold_types::codes::ResultCode;
use comfreyhold_wire::envelope::MAX_BODY_BYTES;
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::{CallTimeouts, ExchangeClient, Responder, serve};
use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::LocalSet;

const LONG_TIMEOUT: Duration = Duration::from_secs(60);
const SHORT_TIMEOUT: Duration = Duration::from_millis(200);
const REFUSED_TOPIC: u16 = 9;

struct Echo;

impl Responder for Echo {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        let refused = topic == REFUSED_TOPIC;
        async move { if refused { Err(ResultCode::BadFrame) } else { Ok(body) } }.boxed_local()
    }
}

async fn start_server() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(serve(listener, Rc::new(Echo)));
    address
}

/// Starts a proxy to `upstream`. A connection that receives data while `silent` is set delivers nothing from
/// then on, but stays open.
async fn start_proxy(upstream: SocketAddr, silent: Rc<Cell<bool>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let server = TcpStream::connect(upstream).await.unwrap();
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::task::spawn_local(forward(client_read, server_write, Rc::clone(&silent)));
            tokio::task::spawn_local(forward(server_read, client_write, Rc::clone(&silent)));
        }
    });
    address
}

async fn forward(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    silent: Rc<Cell<bool>>,
) {
    let mut buf = [0; 4_096];
    while let Ok(len) = from.read(&mut buf).await {
        if len == 0 {
            return;
        }
        if silent.get() {
            // Stops delivering on this connection for good, and keeps it open.
            std::future::pending::<()>().await;
        }
        to.write_all(&buf[..len]).await.unwrap();
    }
}

fn timeouts(response: Duration) -> CallTimeouts {
    CallTimeouts { connect: LONG_TIMEOUT, response }
}

/// Guards against waiting forever on an open connection that no longer delivers data, as after a middlebox
/// has lost its state.
#[tokio::test]
async fn a_silent_connection_is_replaced() {
    let test = async {
        let silent = Rc::new(Cell::new(false));
        let proxy = start_proxy(start_server().await, Rc::clone(&silent)).await;
        let client = ExchangeClient::new(proxy);
        assert_eq!(client.call(1, b"one", timeouts(LONG_TIMEOUT)).await.unwrap(), b"one");
        silent.set(true);
        let timed_out = client.call(1, b"two", timeouts(SHORT_TIMEOUT)).await;
        assert!(matches!(timed_out, Err(WireError::Disconnected(_))), "{timed_out:?}");
        silent.set(false);
        assert_eq!(client.call(1, b"three", timeouts(LONG_TIMEOUT)).await.unwrap(), b"three");
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a refusal that is returned as a response or closes the connection, and against sending
/// bodies that the peer would refuse.
#[tokio::test]
async fn refusals_carry_result_codes() {
    let test = async {
        let client = ExchangeClient::new(start_server().await);
        let refused = client.call(REFUSED_TOPIC, b"", timeouts(LONG_TIMEOUT)).await;
        assert!(matches!(refused, Err(WireError::Refused(5001))), "{refused:?}");
        let large = vec![0; MAX_BODY_BYTES + 1];
        let too_large = client.call(1, &large, timeouts(LONG_TIMEOUT)).await;
        assert!(matches!(too_large, Err(WireError::FrameTooLarge(_))), "{too_large:?}");
        let largest = vec![7; MAX_BODY_BYTES];
        assert_eq!(client.call(1, &largest, timeouts(LONG_TIMEOUT)).await.unwrap(), largest);
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a call that hangs when no process listens on the address.
#[tokio::test]
async fn a_call_to_an_absent_peer_fails() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        drop(listener);
        let client = ExchangeClient::new(address);
        let absent = client.call(1, b"", timeouts(LONG_TIMEOUT)).await;
        assert!(matches!(absent, Err(WireError::Disconnected(_))), "{absent:?}");
    };
    LocalSet::new().run_until(test).await;
}
