//! Typed calls to other daemons, over one connection each.

use crate::messages::{FleetRequest, FleetResponse, TOPIC};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::{CallTimeouts, ExchangeClient};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a connection must be established. A machine without power does not answer, and a caller
/// with several peers to choose from is better off with the next one; a full link delays packets by some
/// hundred milliseconds.
const CONNECT_DEADLINE: Duration = Duration::from_millis(300);

/// Connections to other daemons.
pub struct Links {
    clients: RefCell<BTreeMap<SocketAddr, Rc<ExchangeClient>>>,
    connect: Cell<Duration>,
}

impl Default for Links {
    fn default() -> Self {
        Self { clients: RefCell::default(), connect: Cell::new(CONNECT_DEADLINE) }
    }
}

impl Links {
    /// Sends a request and waits for the response.
    ///
    /// # Errors
    /// No response within `deadline`, a broken connection, or a refusal.
    pub async fn call(
        &self,
        to: SocketAddr,
        request: &FleetRequest,
        deadline: Duration,
    ) -> Result<FleetResponse, WireError> {
        self.call_encoded(to, &encode_body(request)?, deadline).await
    }

    /// As `call`, with a request that is encoded once for several receivers.
    ///
    /// # Errors
    /// No response within `deadline`, a broken connection, or a refusal.
    pub async fn call_encoded(
        &self,
        to: SocketAddr,
        body: &[u8],
        deadline: Duration,
    ) -> Result<FleetResponse, WireError> {
        let client = Rc::clone(
            self.clients.borrow_mut().entry(to).or_insert_with(|| Rc::new(ExchangeClient::new(to))),
        );
        let timeouts =
            CallTimeouts { connect: self.connect.get().min(deadline), response: deadline };
        decode_body(&client.call(TOPIC, body, timeouts).await?)
    }

    /// Waits for connections only for `limit` from now on, or for the usual time again.
    pub fn limit_connects(&self, limit: Option<Duration>) {
        self.connect.set(limit.unwrap_or(CONNECT_DEADLINE));
    }

    /// Closes the connections to all but these daemons.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.borrow_mut().retain(|address, _| keep(address));
    }
}
