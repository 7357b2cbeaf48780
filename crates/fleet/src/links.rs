//! Typed calls to other daemons, over one connection each.

use crate::messages::{FleetRequest, FleetResponse, TOPIC};
use comfreyhold_wire::envelope::{decode_body, encode_body};
use comfreyhold_wire::error::WireError;
use comfreyhold_wire::exchange::ExchangeClient;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Connections to other daemons.
#[derive(Default)]
pub struct Links {
    clients: RefCell<BTreeMap<SocketAddr, Rc<ExchangeClient>>>,
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
        decode_body(&client.call(TOPIC, body, deadline).await?)
    }

    /// Closes the connections to all but these daemons.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.clients.borrow_mut().retain(|address, _| keep(address));
    }
}
