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

/// Topic whose response is [`LARGE`].
const LARGE_TOPIC: u16 = 8;
static LARGE: [u8; 256 * 1_024] = [7; 256 * 1_024];

struct Echo;

impl Responder for Echo {
    fn respond(
        self: Rc<Self>,
        topic: u16,
        body: Vec<u8>,
    ) -> LocalBoxFuture<'static, Result<Vec<u8>, ResultCode>> {
        let response = match topic {
            REFUSED_TOPIC => Err(ResultCode::BadFrame),
            LARGE_TOPIC => Ok(LARGE.to_vec()),
            _ => Ok(body),
        };
        std::future::ready(response).boxed_local()
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

/// Rate of the slowest link of an instance, in bytes per second (1.5 Mbit/s).
const SLOWEST_LINK_BYTES_PER_S: f64 = 187_500.0;

/// Starts a proxy to `upstream` that delivers at a rate, in each direction.
async fn start_slow_proxy(upstream: SocketAddr, bytes_per_s: f64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::task::spawn_local(async move {
        loop {
            let (client, _) = listener.accept().await.unwrap();
            let server = TcpStream::connect(upstream).await.unwrap();
            let (client_read, client_write) = client.into_split();
            let (server_read, server_write) = server.into_split();
            tokio::task::spawn_local(forward_slowly(client_read, server_write, bytes_per_s));
            tokio::task::spawn_local(forward_slowly(server_read, client_write, bytes_per_s));
        }
    });
    address
}

async fn forward_slowly(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    bytes_per_s: f64,
) {
    let mut buf = [0; 4_096];
    while let Ok(len @ 1..) = from.read(&mut buf).await {
        tokio::time::sleep(Duration::from_secs_f64(len as f64 / bytes_per_s)).await;
        if to.write_all(&buf[..len]).await.is_err() {
            return;
        }
    }
}

/// Guards against a large message that is given up and begun anew each time, since it takes longer than the deadline of a
/// call over a slow link (review/7).
#[tokio::test]
async fn a_message_that_takes_longer_than_the_deadline_arrives() {
    let test = async {
        let proxy = start_slow_proxy(start_server().await, SLOWEST_LINK_BYTES_PER_S).await;
        let client = ExchangeClient::new(proxy);
        // It takes more than a second, and the call has 200 ms.
        let response = client.call(LARGE_TOPIC, b"", timeouts(SHORT_TIMEOUT)).await;
        assert!(response.as_ref().is_ok_and(|body| *body == LARGE), "{:?}", response.err());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a peer that moves a few bytes now and then and keeps a call waiting for ever.
#[tokio::test]
async fn a_call_on_a_connection_that_hardly_moves_times_out() {
    let test = async {
        let proxy = start_slow_proxy(start_server().await, 16.0 * 1_024.0).await;
        let client = ExchangeClient::new(proxy);
        let response = client.call(LARGE_TOPIC, b"", timeouts(SHORT_TIMEOUT)).await;
        assert!(matches!(response, Err(WireError::Disconnected(_))), "{:?}", response.err());
    };
    LocalSet::new().run_until(test).await;
}

/// Guards against a peer that reads nothing and counts as one with a slow link, because the kernel still takes in what is sent
/// to it.
#[tokio::test]
async fn a_peer_that_reads_nothing_is_found_while_more_is_sent() {
    let test = async {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let client = Rc::new(ExchangeClient::new(listener.local_addr().unwrap()));
        let caller = Rc::clone(&client);
        let first = tokio::task::spawn_local(async move {
            caller.call(1, b"first", timeouts(SHORT_TIMEOUT)).await
        });
        let sender = Rc::clone(&client);
        tokio::task::spawn_local(async move {
            loop {
                // The first call has its connection by the first turn, and the others use it too.
                tokio::time::sleep(Duration::from_millis(20)).await;
                let (sender, body) = (Rc::clone(&sender), vec![7; 8 * 1_024]);
                tokio::task::spawn_local(async move {
                    // Nothing answers it.
                    let _ = sender.call(1, &body, timeouts(LONG_TIMEOUT)).await;
                });
            }
        });
        let ended = tokio::time::timeout(10 * SHORT_TIMEOUT, first).await;
        assert!(matches!(ended, Ok(Ok(Err(WireError::Disconnected(_))))), "{ended:?}");
        drop(listener);
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
