//! What must hold in every schedule.

use comfreyhold_consensus::message::LogEntry;
use comfreyhold_consensus::replica::{LogReplica, RequestId};
use comfreyhold_types::declarations::{Outcome, Publication};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Instant;

#[derive(Default)]
struct Attempts {
    open: Vec<RequestId>,
    refused: usize,
    sent: usize,
    accepted: Option<Revision>,
    declined: Option<Outcome>,
}

pub struct Checks {
    seed: u64,
    leaders: BTreeMap<Term, InstanceId>,
    entries: BTreeMap<Revision, LogEntry>,
    states: BTreeMap<Revision, Declarations>,
    reached: BTreeMap<(InstanceId, u64), Revision>,
    requests: BTreeMap<RequestId, u64>,
    attempts: BTreeMap<u64, (Publication, Attempts)>,
    answered: Revision,
    pub accepted: usize,
    pub stale: usize,
}

impl Checks {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            states: BTreeMap::new(),
            reached: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            answered: Revision(0),
            accepted: 0,
            stale: 0,
        }
    }

    pub fn elected(&mut self, id: InstanceId, term: Term) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "seed {}: two leaders in {term}", self.seed);
    }

    pub fn advanced(&mut self, id: InstanceId, start: u64, node: &LogReplica) {
        let revision = node.state().revision;
        let before = self.reached.insert((id, start), revision).unwrap_or_default();
        assert!(revision >= before, "seed {}: {id} went back to {revision}", self.seed);
        for index in before.0 + 1..=revision.0 {
            let Some(entry) = node.entry(Revision(index)) else { continue };
            let first = self.entries.entry(Revision(index)).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "seed {}: entry {index} differs at {id}", self.seed);
        }
        let state = self.states.entry(revision).or_insert_with(|| node.state().clone());
        assert_eq!(state, node.state(), "seed {}: state {revision} differs at {id}", self.seed);
    }

    pub fn read(&self, revision: Revision) {
        let seed = self.seed;
        assert!(revision >= self.answered, "seed {seed}: {revision} read as current");
    }

    pub fn proposed(&mut self, request: RequestId, publication: &Publication) {
        let digest = publication.digest();
        self.requests.insert(request, digest);
        let fresh = || (publication.clone(), Attempts::default());
        let attempts = &mut self.attempts.entry(digest).or_insert_with(fresh).1;
        attempts.sent += 1;
        attempts.open.push(request);
    }

    /// A publication whose response was lost or unknown, to be resent.
    pub fn unanswered(&self, rng: &mut StdRng) -> Option<Publication> {
        if self.attempts.is_empty() || rng.random_bool(0.6) {
            return None;
        }
        let chosen = rng.random_range(0..self.attempts.len());
        self.attempts.values().nth(chosen).map(|(publication, _)| publication.clone())
    }

    fn close(&mut self, request: RequestId) -> Option<&mut Attempts> {
        let digest = self.requests.get(&request)?;
        let attempts = &mut self.attempts.get_mut(digest)?.1;
        let open = attempts.open.iter().position(|open| *open == request);
        assert!(open.is_some(), "seed {}: second response to {request:?}", self.seed);
        attempts.open.remove(open.unwrap());
        Some(attempts)
    }

    pub fn applied(&mut self, request: RequestId, outcome: &Outcome) {
        let seed = self.seed;
        let Some(attempts) = self.close(request) else { return };
        match outcome {
            Outcome::Accepted(revision) | Outcome::Duplicate(revision) => {
                let first = *attempts.accepted.get_or_insert(*revision);
                assert_eq!(first, *revision, "seed {seed}: resend answered differently");
                self.accepted += usize::from(matches!(outcome, Outcome::Accepted(_)));
                self.answered = self.answered.max(*revision);
            }
            other => attempts.declined = Some(other.clone()),
        }
    }

    pub fn refused(&mut self, request: RequestId) {
        if let Some(attempts) = self.close(request) {
            attempts.refused += 1;
        }
    }

    pub fn unknown(&mut self, request: RequestId) {
        self.close(request);
    }

    /// After healing: all instances hold the same state, with every accepted publication and none that
    /// was only ever refused.
    pub fn converged(&self, nodes: Vec<&LogReplica>, now: Instant) {
        let seed = self.seed;
        let statuses: Vec<_> = nodes.iter().map(|node| node.status(now)).collect();
        let leads = nodes.iter().filter(|node| node.read_is_current(now)).count();
        assert_eq!(leads, 1, "seed {seed}: no leader after healing: {statuses:?}");
        let state = nodes[0].state();
        let most = nodes.iter().map(|node| node.state().revision).max().unwrap();
        for node in &nodes {
            // Entries accepted in the last moments may not have reached everyone.
            let near = node.state().revision.0 + 5 >= most.0;
            assert!(near, "seed {seed}: an instance stays behind: {statuses:?}");
        }
        assert!(state.revision >= self.answered || state.revision.0 + 5 >= most.0);
        let held = &nodes.iter().max_by_key(|node| node.state().revision).unwrap().state().versions;
        for (digest, (publication, attempts)) in &self.attempts {
            let record = held.get("profile/orders").and_then(|h| h.get(&publication.version));
            let winner = record.filter(|record| record.digest == *digest);
            let revision = winner.map(|record| record.revision);
            if attempts.accepted.is_some() {
                assert_eq!(attempts.accepted, revision, "seed {seed}: accepted entry is lost");
            }
            let only_refused = attempts.refused == attempts.sent;
            assert!(!only_refused || winner.is_none(), "seed {seed}: refused entry is in effect");
            let conflict = matches!(attempts.declined, Some(Outcome::Conflict { .. }));
            assert!(!conflict || winner.is_none(), "seed {seed}: the winner was told a conflict");
        }
    }
}
