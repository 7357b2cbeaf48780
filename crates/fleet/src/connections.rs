//! Typed requests to other daemons, over one connection to each.

use crate::counters::{CallRecord, CallSide, MessageKind, count_call, measure, with_cpu_time};
use crate::messages::{FleetRequest, FleetResponse, TOPIC};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::{CallTimeouts, ExchangeClient};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Timeout for establishing a connection. A machine without power does not respond, and a daemon that can
/// choose among several peers should soon try the next one. The timeout is not shorter, since a full link
/// delays packets by some hundred milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Rate at which a request arrives at least, in bytes per second. Large requests are those of proposers, which send a value
/// to several voters over one link (170 Mbit/s or more), and voters decode and sync it with a part of a core.
const MIN_REQUEST_BYTES_PER_S: f64 = 1024.0 * 1024.0;

/// Interval at which connections are checked for use. Messages to daemons that are no partners follow each other within a
/// second when many targets change, and otherwise after minutes.
const UNUSED_AFTER: Duration = Duration::from_secs(10);

/// Connections to other daemons, opened at the first request and kept for later ones.
pub struct ConnectionPool {
    /// Receivers of calls since connections were last checked for use.
    used: RefCell<BTreeSet<SocketAddr>>,
    last_checked: Cell<Option<Instant>>,
    clients: RefCell<BTreeMap<SocketAddr, Rc<ExchangeClient>>>,
    connect_timeout: Cell<Duration>,
}

impl Default for ConnectionPool {
    fn default() -> Self {
        Self {
            used: RefCell::default(),
            last_checked: Cell::default(),
            clients: RefCell::default(),
            connect_timeout: Cell::new(CONNECT_TIMEOUT),
        }
    }
}

impl ConnectionPool {
    /// Sends a request and waits for the response. A large request has more time than `deadline`, and so has a response as
    /// long as the connection receives bytes.
    ///
    /// # Errors
    /// No response within `deadline`, a broken connection, or an error code from the receiver.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &FleetRequest,
        deadline: Duration,
    ) -> Result<FleetResponse, WireError> {
        self.call_as(MessageKind::of_request(request), to, request, deadline).await
    }

    /// Like `call`, with a request that is counted as `kind`.
    ///
    /// # Errors
    /// No response within `deadline`, a broken connection, or an error code from the receiver.
    pub async fn call_as(
        &self,
        kind: MessageKind,
        to: SocketAddr,
        request: &FleetRequest,
        deadline: Duration,
    ) -> Result<FleetResponse, WireError> {
        let body = measure(kind, || encode_body(request))?;
        self.call_encoded(kind, to, &body, deadline).await
    }

    /// Like `call_as`, with a request that is encoded once and sent to several receivers.
    ///
    /// # Errors
    /// No response within `deadline`, a broken connection, or an error code from the receiver.
    pub async fn call_encoded(
        &self,
        kind: MessageKind,
        to: SocketAddr,
        body: &[u8],
        deadline: Duration,
    ) -> Result<FleetResponse, WireError> {
        self.used.borrow_mut().insert(to);
        let client = Rc::clone(
            self.clients.borrow_mut().entry(to).or_insert_with(|| Rc::new(ExchangeClient::new(to))),
        );
        let transfer = Duration::from_secs_f64(body.len() as f64 / MIN_REQUEST_BYTES_PER_S);
        let timeouts = CallTimeouts {
            connect: self.connect_timeout.get().min(deadline),
            response: deadline + transfer,
        };
        let call = async {
            let response = client.call(TOPIC, body, timeouts).await?;
            Ok((decode_body::<FleetResponse>(&response)?, response.len()))
        };
        let (result, cpu) = with_cpu_time(call).await;
        let (kind, response_bytes) = match &result {
            Ok((response, bytes)) => (kind.with_response(response), *bytes),
            Err(_) => (kind, 0),
        };
        let (side, request_bytes) = (CallSide::Caller, body.len());
        count_call(kind, &CallRecord { side, request_bytes, response_bytes, cpu });
        result.map(|(response, _)| response)
    }

    /// Sets the timeout for new connections; `None` restores the default.
    pub fn set_connect_timeout(&self, timeout: Option<Duration>) {
        self.connect_timeout.set(timeout.unwrap_or(CONNECT_TIMEOUT));
    }

    /// Closes the connections that were not used for 10 to 20 s, except to daemons for which `keep` returns true.
    pub fn close_unused(&self, keep: impl Fn(&SocketAddr) -> bool, now: Instant) {
        if self.last_checked.get().is_some_and(|checked| now < checked + UNUSED_AFTER) {
            return;
        }
        self.last_checked.set(Some(now));
        let used = self.used.take();
        self.retain(|address| used.contains(address) || keep(address));
    }

    /// Closes the connections to daemons for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.borrow_mut().retain(|address, _| keep(address));
    }
}
