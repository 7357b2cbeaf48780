//! Invariants that must hold in every schedule.

use comfreyhold_consensus::message::LogEntry;
use comfreyhold_consensus::replica::{LogReplica, RequestId};
use comfreyhold_types::declarations::{Outcome, Publication};
use comfreyhold_types::prelude::*;
use rand::RngExt;
use rand::rngs::StdRng;
use std::collections::BTreeMap;
use std::time::Instant;

/// Attempts to propose one publication, and their results.
#[derive(Default)]
struct ProposalAttempts {
    open_requests: Vec<RequestId>,
    refused_count: usize,
    sent_count: usize,
    accepted_at: Option<Revision>,
    other_outcome: Option<Outcome>,
}

pub struct Checks {
    seed: u64,
    leaders: BTreeMap<Term, InstanceId>,
    entries: BTreeMap<Revision, LogEntry>,
    states: BTreeMap<Revision, Declarations>,
    /// Last revision that each process has reached, by instance and incarnation.
    applied_revisions: BTreeMap<(InstanceId, u64), Revision>,
    /// Digest of the publication that each request proposes.
    requests: BTreeMap<RequestId, u64>,
    /// Proposed publications and the attempts for each, by digest.
    attempts: BTreeMap<u64, (Publication, ProposalAttempts)>,
    max_acknowledged: Revision,
    pub accepted_count: usize,
    pub stale_count: usize,
    pub step_down_count: usize,
}

impl Checks {
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            leaders: BTreeMap::new(),
            entries: BTreeMap::new(),
            states: BTreeMap::new(),
            applied_revisions: BTreeMap::new(),
            requests: BTreeMap::new(),
            attempts: BTreeMap::new(),
            max_acknowledged: Revision(0),
            accepted_count: 0,
            stale_count: 0,
            step_down_count: 0,
        }
    }

    pub fn check_elected(&mut self, id: InstanceId, term: Term) {
        let first = *self.leaders.entry(term).or_insert(id);
        assert_eq!(first, id, "seed {}: two leaders in {term}", self.seed);
    }

    pub fn check_advanced(&mut self, id: InstanceId, incarnation: u64, replica: &LogReplica) {
        let revision = replica.state().revision;
        let before = self.applied_revisions.insert((id, incarnation), revision).unwrap_or_default();
        assert!(revision >= before, "seed {}: {id} went back to {revision}", self.seed);
        for index in before.0 + 1..=revision.0 {
            let Some(entry) = replica.entry(Revision(index)) else { continue };
            let first = self.entries.entry(Revision(index)).or_insert_with(|| entry.clone());
            assert_eq!(first, entry, "seed {}: entry {index} differs at {id}", self.seed);
        }
        let state = self.states.entry(revision).or_insert_with(|| replica.state().clone());
        assert_eq!(state, replica.state(), "seed {}: state {revision} differs at {id}", self.seed);
    }

    pub fn check_read(&self, revision: Revision) {
        let seed = self.seed;
        assert!(revision >= self.max_acknowledged, "seed {seed}: {revision} read as current");
    }

    pub fn record_proposed(&mut self, request: RequestId, publication: &Publication) {
        let digest = publication.digest();
        self.requests.insert(request, digest);
        let new_attempts = || (publication.clone(), ProposalAttempts::default());
        let attempts = &mut self.attempts.entry(digest).or_insert_with(new_attempts).1;
        attempts.sent_count += 1;
        attempts.open_requests.push(request);
    }

    /// Picks an earlier publication to send again, or `None` to send a new one.
    pub fn choose_resend(&self, rng: &mut StdRng) -> Option<Publication> {
        if self.attempts.is_empty() || rng.random_bool(0.6) {
            return None;
        }
        let chosen = rng.random_range(0..self.attempts.len());
        self.attempts.values().nth(chosen).map(|(publication, _)| publication.clone())
    }

    fn close_request(&mut self, request: RequestId) -> Option<&mut ProposalAttempts> {
        let digest = self.requests.get(&request)?;
        let attempts = &mut self.attempts.get_mut(digest)?.1;
        let open = attempts.open_requests.iter().position(|open| *open == request);
        assert!(open.is_some(), "seed {}: second response to {request:?}", self.seed);
        attempts.open_requests.remove(open.unwrap());
        Some(attempts)
    }

    pub fn check_applied(&mut self, request: RequestId, outcome: &Outcome) {
        let seed = self.seed;
        let Some(attempts) = self.close_request(request) else { return };
        match outcome {
            Outcome::Accepted(revision) | Outcome::Duplicate(revision) => {
                let first = *attempts.accepted_at.get_or_insert(*revision);
                assert_eq!(
                    first, *revision,
                    "seed {seed}: a resend was accepted at another revision"
                );
                self.accepted_count += usize::from(matches!(outcome, Outcome::Accepted(_)));
                self.max_acknowledged = self.max_acknowledged.max(*revision);
            }
            other => attempts.other_outcome = Some(other.clone()),
        }
    }

    pub fn record_refused(&mut self, request: RequestId) {
        if let Some(attempts) = self.close_request(request) {
            attempts.refused_count += 1;
        }
    }

    pub fn record_unknown(&mut self, request: RequestId) {
        self.close_request(request);
    }

    /// Checks the replicas after all faults have ended: there is one leader, all are close to its revision, and
    /// the state holds every accepted publication and none that was refused each time.
    pub fn check_converged(&self, replicas: Vec<&LogReplica>, now: Instant) {
        let seed = self.seed;
        let statuses: Vec<_> = replicas.iter().map(|replica| replica.status(now)).collect();
        let leader_count = replicas.iter().filter(|replica| replica.read_is_current(now)).count();
        assert_eq!(
            leader_count, 1,
            "seed {seed}: not exactly one leader after healing: {statuses:?}"
        );
        let state = replicas[0].state();
        let max_revision = replicas.iter().map(|replica| replica.state().revision).max().unwrap();
        for replica in &replicas {
            // The last accepted entries may not have reached all replicas yet.
            let is_near = replica.state().revision.0 + 5 >= max_revision.0;
            assert!(is_near, "seed {seed}: a replica stays behind: {statuses:?}");
        }
        assert!(state.revision >= self.max_acknowledged || state.revision.0 + 5 >= max_revision.0);
        let versions = &replicas
            .iter()
            .max_by_key(|replica| replica.state().revision)
            .unwrap()
            .state()
            .versions;
        for (digest, (publication, attempts)) in &self.attempts {
            let record = versions.get("profile/orders").and_then(|v| v.get(&publication.version));
            let winner = record.filter(|record| record.digest == *digest);
            let revision = winner.map(|record| record.revision);
            if attempts.accepted_at.is_some() {
                assert_eq!(attempts.accepted_at, revision, "seed {seed}: accepted entry is lost");
            }
            let was_only_refused = attempts.refused_count == attempts.sent_count;
            assert!(
                !was_only_refused || winner.is_none(),
                "seed {seed}: refused entry is in effect"
            );
            let had_conflict = matches!(attempts.other_outcome, Some(Outcome::Conflict { .. }));
            assert!(
                !had_conflict || winner.is_none(),
                "seed {seed}: the publication in effect was reported as a conflict"
            );
        }
    }
}
