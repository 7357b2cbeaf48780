//! Recovery of a restarted entry: before it serves, it fetches the state that its peers have in effect.

use crate::installer::{FETCH_RETRY, InstallAction, Installer};
use crate::messages::InstallMessage;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A restarted entry with at least one response stops waiting for the other peers after this long.
pub const RECOVERY_TIMEOUT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// Revision in effect at each peer; `None` until the peer responds.
    peers: BTreeMap<InstanceId, Option<Revision>>,
    next_query: Instant,
    deadline: Instant,
}

impl Recovery {
    pub(crate) fn new(now: Instant, peers: impl Iterator<Item = InstanceId>) -> Self {
        let peers = peers.map(|id| (id, None)).collect();
        Self { peers, next_query: now, deadline: now + RECOVERY_TIMEOUT }
    }

    pub(crate) fn next_query(&self) -> Instant {
        self.next_query
    }
}

impl Installer {
    /// Whether a state is newer than any revision that the peers have reported, so that it may not be in
    /// effect anywhere yet, such as a response to a fetch by an earlier incarnation of this entry. If so, the
    /// peers are queried again.
    pub(crate) fn exceeds_peers(&mut self, revision: Revision) -> bool {
        let Some(recovery) = self.recovery.as_mut().filter(|_| self.desired.is_none()) else {
            return false;
        };
        if recovery.peers.values().flatten().any(|active| revision <= *active) {
            return false;
        }
        recovery.peers.values_mut().for_each(|response| *response = None);
        self.pending_fetch = None;
        true
    }

    pub(crate) fn query_peers(&mut self, now: Instant) {
        let Some(recovery) = self.recovery.as_mut().filter(|r| now >= r.next_query) else { return };
        recovery.next_query = now + FETCH_RETRY;
        let missing = recovery.peers.iter().filter(|(_, response)| response.is_none());
        for (to, _) in missing {
            let message = InstallMessage::AskNewest;
            self.actions.push(InstallAction::Send { to: *to, message });
        }
        self.adopt_from_peers(now);
    }

    pub(crate) fn send_newest(&mut self, to: InstanceId) {
        let message = InstallMessage::Newest {
            term: self.term,
            active: self.active.revision,
            recovering: self.recovery.is_some(),
        };
        self.actions.push(InstallAction::Send { to, message });
    }

    pub(crate) fn on_newest(
        &mut self,
        now: Instant,
        from: InstanceId,
        term: Term,
        active: Revision,
        recovering: bool,
    ) {
        let Some(recovery) = &mut self.recovery else { return };
        self.term = self.term.max(term);
        if let Some(response) = recovery.peers.get_mut(&from).filter(|_| !recovering) {
            *response = (*response).max(Some(active));
            self.adopt_from_peers(now);
        }
    }

    /// Ends the recovery once the newest state in effect at the peers is in effect here. A desired revision
    /// of the leader takes precedence, since it is never older.
    pub(crate) fn adopt_from_peers(&mut self, now: Instant) {
        let Some(recovery) = &self.recovery else { return };
        let newest =
            recovery.peers.iter().filter_map(|(id, response)| response.map(|r| (r, *id))).max();
        let all_responded = recovery.peers.values().all(Option::is_some);
        let Some((revision, peer)) = newest else { return };
        if self.active.revision >= revision {
            if all_responded || now >= recovery.deadline {
                self.finish_recovery();
            }
        } else if self.staged.revision() >= revision && self.desired.is_none() {
            self.activate();
            self.adopt_from_peers(now);
        } else if self.staged.revision() < revision && self.pending_fetch.is_none() {
            self.fetch(now, peer, true);
        }
    }

    pub(crate) fn finish_recovery(&mut self) {
        if self.recovery.take().is_some() {
            self.actions.push(InstallAction::Recovered);
        }
    }
}
