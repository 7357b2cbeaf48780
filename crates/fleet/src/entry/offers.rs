//! Fetches declarations in parts that control daemons offer because they are too large for one message. Only one daemon
//! sends them at a time, and long polls go on meanwhile.

use super::partial_copy::{CopyProgress, PartialCopy};
use super::watch::RETRY_INTERVAL;
use super::{Entry, PacketCodec};
use crate::messages::{DeclarationUpdate, FleetRequest, FleetResponse};
use rand::RngExt;
use serde_json::json;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Deadline for a part, which is 8 KiB: the slowest link sends it in 44 ms. It covers the wait for a turn.
const PART_DEADLINE: Duration = Duration::from_millis(1_100);

/// Declarations that control daemons have offered.
#[derive(Default)]
pub(super) struct Offers {
    /// Daemon and change number of the last offer of each source.
    by_source: RefCell<BTreeMap<usize, (SocketAddr, u64)>>,
    added: Notify,
    partial: RefCell<PartialCopy>,
    /// When the copy in progress was begun.
    begun: Cell<Option<Instant>>,
}

impl<C: PacketCodec> Entry<C> {
    /// Records the offer of a daemon, and wakes the task that fetches the declarations.
    pub(super) fn record_offer(&self, source: usize, control: SocketAddr, change: u64) {
        self.view.borrow_mut().record_offer(change);
        self.offers.by_source.borrow_mut().insert(source, (control, change));
        self.offers.added.notify_one();
    }

    pub(super) async fn run_offers(self: Rc<Self>) {
        loop {
            self.offers.added.notified().await;
            while let Some((source, control)) = self.next_offer() {
                if let Err(reason) = self.fetch_part(control).await {
                    self.offers.by_source.borrow_mut().remove(&source);
                    self.record("copy-failed", || json!({"control": control, "reason": reason}));
                    let jitter = rand::rng().random::<f64>() + 0.5;
                    tokio::time::sleep(RETRY_INTERVAL.mul_f64(jitter)).await;
                }
            }
            // Daemons offer again what could not be fetched.
            self.view.borrow_mut().forget_offers();
        }
    }

    /// Source and daemon to fetch the next part from: the first source whose offer is newer than the declarations.
    fn next_offer(&self) -> Option<(usize, SocketAddr)> {
        let known = self.view.borrow().routing().change;
        let mut offers = self.offers.by_source.borrow_mut();
        offers.retain(|_, (_, change)| *change > known);
        offers.iter().next().map(|(source, (control, _))| (*source, *control))
    }

    async fn fetch_part(&self, control: SocketAddr) -> Result<(), String> {
        let change = self.view.borrow().routing().change;
        let request = self.offers.partial.borrow_mut().next_request(change);
        if self.offers.begun.get().is_none() {
            self.offers.begun.set(Some(self.clock.now()));
        }
        let request = FleetRequest::Part(request);
        let part = match self.connections.call(control, &request, PART_DEADLINE).await {
            Ok(FleetResponse::Part(Some(part))) => part,
            Ok(FleetResponse::Part(None)) => return Err("no copy at the moment".to_owned()),
            Ok(_) => return Err("unexpected type of response".to_owned()),
            Err(error) => return Err(error.to_string()),
        };
        let progress = self.offers.partial.borrow_mut().receive(&part);
        match progress {
            CopyProgress::Incomplete => Ok(()),
            CopyProgress::Damaged => Err("the parts are no declarations".to_owned()),
            CopyProgress::Complete { base, declarations } => {
                self.apply_copy(control, base, &declarations, part.key.length);
                Ok(())
            }
        }
    }

    fn apply_copy(
        &self,
        control: SocketAddr,
        base: u64,
        declarations: &DeclarationUpdate,
        bytes: u64,
    ) {
        let now = self.clock.now();
        let begun = self.offers.begun.take().unwrap_or(now);
        self.record("copy-received", || {
            let took_ms = now.saturating_duration_since(begun).as_millis();
            json!({"change": declarations.change, "base": base, "bytes": bytes, "took_ms": took_ms})
        });
        if self.view.borrow_mut().apply_declarations(base, declarations) {
            self.apply_routing(control, now);
        }
        self.update_readiness();
    }
}
