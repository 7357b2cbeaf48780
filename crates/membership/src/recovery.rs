//! What a restarted entry asks its peers for before it serves.

use crate::installer::{FETCH_RETRY, InstallAction, Installer};
use crate::messages::InstallMessage;
use comfreyhold_types::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A restarted entry that got a response waits no longer than this for the others.
pub const RECOVERY_WAIT: Duration = Duration::from_secs(3);

#[derive(Clone, Debug)]
pub(crate) struct Recovery {
    /// What each peer has in effect, once it has answered.
    peers: BTreeMap<InstanceId, Option<Revision>>,
    next_ask: Instant,
    until: Instant,
}

impl Recovery {
    pub(crate) fn new(now: Instant, peers: impl Iterator<Item = InstanceId>) -> Self {
        let peers = peers.map(|id| (id, None)).collect();
        Self { peers, next_ask: now, until: now + RECOVERY_WAIT }
    }

    pub(crate) fn next_ask(&self) -> Instant {
        self.next_ask
    }
}

impl Installer {
    /// Whether a state may not be in effect anywhere yet: it is newer than what peers have named, such as a
    /// response to an earlier start of this entry. The peers are asked again then.
    pub(crate) fn is_beyond_peers(&mut self, revision: Revision) -> bool {
        let Some(recovery) = self.recovery.as_mut().filter(|_| self.goal.is_none()) else {
            return false;
        };
        if recovery.peers.values().flatten().any(|active| revision <= *active) {
            return false;
        }
        recovery.peers.values_mut().for_each(|answer| *answer = None);
        self.fetching = None;
        true
    }

    pub(crate) fn ask_peers(&mut self, now: Instant) {
        let Some(recovery) = self.recovery.as_mut().filter(|r| now >= r.next_ask) else { return };
        recovery.next_ask = now + FETCH_RETRY;
        let silent = recovery.peers.iter().filter(|(_, answer)| answer.is_none());
        for (to, _) in silent {
            let message = InstallMessage::AskNewest;
            self.out.push(InstallAction::Send { to: *to, message });
        }
        self.adopt_from_peers(now);
    }

    pub(crate) fn answer_newest(&mut self, to: InstanceId) {
        let message = InstallMessage::Newest {
            term: self.term,
            active: self.active.revision,
            recovering: self.recovery.is_some(),
        };
        self.out.push(InstallAction::Send { to, message });
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
        if let Some(answer) = recovery.peers.get_mut(&from).filter(|_| !recovering) {
            *answer = (*answer).max(Some(active));
            self.adopt_from_peers(now);
        }
    }

    /// Ends the recovery once the newest state in effect at the peers is in effect here. A goal of
    /// the leader takes precedence, since it is never older.
    pub(crate) fn adopt_from_peers(&mut self, now: Instant) {
        let Some(recovery) = &self.recovery else { return };
        let best = recovery.peers.iter().filter_map(|(id, answer)| answer.map(|r| (r, *id))).max();
        let all_answered = recovery.peers.values().all(Option::is_some);
        let Some((revision, peer)) = best else { return };
        if self.active.revision >= revision {
            if all_answered || now >= recovery.until {
                self.finish_recovery();
            }
        } else if self.staged.revision() >= revision && self.goal.is_none() {
            self.activate();
            self.adopt_from_peers(now);
        } else if self.staged.revision() < revision && self.fetching.is_none() {
            self.fetch(now, peer, true);
        }
    }

    pub(crate) fn finish_recovery(&mut self) {
        if self.recovery.take().is_some() {
            self.out.push(InstallAction::Recovered);
        }
    }
}
