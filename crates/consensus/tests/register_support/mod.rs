//! Simulated control daemons with registers, on a network that loses, delays and reorders messages,
//! reproducible from a seed.

mod exchanges;

use comfreyhold_consensus::register::acceptor::Acceptor;
use comfreyhold_consensus::register::read::{QuorumRead, ReadOutcome};
use comfreyhold_consensus::register::repair::{Departures, VoterCandidate, next_voters};
use comfreyhold_consensus::register::round::{Proposal, Round, RoundProgress, VoterChange};
use comfreyhold_consensus::register::{
    AddressedRequest, Ballot, DiskId, RegisterRequest, RegisterResponse, RegisterValue, Replica,
    Voters,
};
use comfreyhold_types::keys::DomainName;
use comfreyhold_types::routes::{RoutePublication, RouteTable, StateChange};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

/// Fraction of messages that are lost until the network heals.
const LOSS_RATE: f64 = 0.15;

/// Maximum number of deliveries for one round on a healed network.
const MAX_DELIVERIES_PER_ATTEMPT: usize = 20_000;

pub fn replica(number: u64, disk: u64) -> Replica {
    let address = SocketAddr::from(([10, 0, 0, u8::try_from(number).unwrap()], 7_000));
    Replica { disk: DiskId(disk), address }
}

enum Message {
    Request { from: usize, to: Replica, round: Ballot, request: RegisterRequest },
    Response { to: usize, round: Ballot, from: DiskId, response: RegisterResponse },
}

struct Daemon {
    number: u64,
    acceptor: Acceptor,
    known: Arc<RegisterValue>,
    chosen: Option<Arc<RegisterValue>>,
    /// Round in progress, with the version that it publishes.
    round: Option<(Round, Option<u64>)>,
    /// Voters that the last proposal is to make.
    proposed_voters: Option<BTreeSet<Replica>>,
    /// Highest ballot seen.
    seen: Ballot,
    /// Number of rounds that ended with a chosen value that includes their proposal.
    completed: u64,
}

pub struct SimulatedFleet {
    seed: u64,
    rng: StdRng,
    daemons: Vec<Daemon>,
    messages: Vec<Message>,
    loss_rate: f64,
    version: u64,
    next_disk: u64,
    /// Daemons that never respond again.
    removed: BTreeSet<usize>,
    /// Highest version that was reported to an operator as in effect.
    acknowledged: u64,
    /// Chosen values.
    history: BTreeMap<Ballot, Arc<RegisterValue>>,
    /// Contents of chosen values, by version.
    contents: BTreeMap<u64, BTreeSet<Vec<u8>>>,
}

impl SimulatedFleet {
    pub fn new(seed: u64, daemons: u64, voters: u64) -> Self {
        let voters = Voters::stable((0..voters).map(|n| replica(n, 100 + n)).collect());
        let initial = Arc::new(RegisterValue { voters, ..RegisterValue::default() });
        let daemon = |number| Daemon {
            number,
            acceptor: acceptor(DiskId(100 + number)),
            known: Arc::clone(&initial),
            chosen: None,
            round: None,
            proposed_voters: None,
            seen: Ballot::default(),
            completed: 0,
        };
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            daemons: (0..daemons).map(daemon).collect(),
            messages: Vec::new(),
            loss_rate: LOSS_RATE,
            version: 0,
            next_disk: 1_000,
            removed: BTreeSet::new(),
            acknowledged: 0,
            history: BTreeMap::new(),
            contents: BTreeMap::new(),
        }
    }

    fn random_daemon(&mut self) -> usize {
        self.rng.random_range(0..self.daemons.len())
    }

    /// Publishes the next version on a random daemon.
    pub fn publish_on_random_daemon(&mut self) {
        let (changes, version) = self.next_publication();
        let at = self.random_daemon();
        if !self.removed.contains(&at) {
            self.propose(at, Proposal { changes, voters: None }, version);
        }
    }

    /// A publication of the next version, with that version.
    fn next_publication(&mut self) -> (Vec<StateChange>, Option<u64>) {
        self.version += self.rng.random_range(1..4);
        let version = self.version;
        (publication(version, &version.to_le_bytes()).changes, Some(version))
    }

    /// Withdraws or restores a failure domain on a random daemon.
    pub fn withdraw_on_random_daemon(&mut self) {
        self.version += 1;
        let domain = DomainName::from(format!("d{}", self.version % 5).as_str());
        let change = StateChange::Withdraw { domain, out: self.rng.random_bool(0.5) };
        let at = self.random_daemon();
        self.propose(at, Proposal { changes: vec![change], voters: None }, None);
    }

    /// Checks that all daemons which hold a value under the same ballot hold the same one.
    pub fn assert_one_value_per_ballot(&self) {
        let mut values: BTreeMap<Ballot, &Arc<RegisterValue>> = BTreeMap::new();
        let accepted = self.daemons.iter().filter_map(|daemon| daemon.acceptor.accepted());
        let chosen = self.daemons.iter().filter_map(|daemon| daemon.chosen.as_ref());
        for value in accepted.chain(chosen) {
            let known = values.entry(value.ballot).or_insert(value);
            assert_eq!(*known, value, "seed {}: two values under one ballot", self.seed);
        }
    }

    /// Publishes different content under one version on two daemons.
    pub fn publish_concurrently(&mut self, version: u64) {
        self.version = version;
        self.propose(0, publication(version, b"first"), Some(version));
        self.propose(1, publication(version, b"second"), Some(version));
    }

    fn propose(&mut self, at: usize, proposal: Proposal, version: Option<u64>) {
        let me = self.replica(at);
        let daemon = &mut self.daemons[at];
        let known = match &daemon.chosen {
            Some(chosen) if chosen.ballot > daemon.known.ballot => Arc::clone(chosen),
            _ => Arc::clone(&daemon.known),
        };
        let seen = daemon.seen.max(known.ballot).max(daemon.acceptor.promised());
        let ballot = Ballot::above(seen, me.disk, 0);
        daemon.seen = ballot;
        daemon.proposed_voters = proposal.voters.as_ref().map(|change| change.to.clone());
        let (round, requests) = Round::new(ballot, known, proposal);
        daemon.round = Some((round, version));
        self.send(at, ballot, requests);
    }

    fn send(&mut self, from: usize, round: Ballot, requests: Vec<(Replica, RegisterRequest)>) {
        for (to, request) in requests {
            self.messages.push(Message::Request { from, to, round, request });
        }
    }

    fn replica(&self, at: usize) -> Replica {
        replica(self.daemons[at].number, self.daemons[at].acceptor.disk().0)
    }

    /// Delivers a random number of messages in random order.
    pub fn deliver_some_messages(&mut self) {
        let steps = self.rng.random_range(0..30);
        for _ in 0..steps {
            self.deliver_one();
        }
    }

    /// Delivers a message, without loss after `publish_and_converge`. Returns false if there was none.
    pub fn deliver_next(&mut self) -> bool {
        let has_messages = !self.messages.is_empty();
        self.deliver_one();
        has_messages
    }

    /// Requests that were sent and have not arrived.
    pub fn requests_in_flight(&self) -> impl Iterator<Item = &RegisterRequest> {
        self.messages.iter().filter_map(|message| match message {
            Message::Request { request, .. } => Some(request),
            Message::Response { .. } => None,
        })
    }

    fn deliver_one(&mut self) {
        if self.messages.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.messages.len());
        let message = self.messages.swap_remove(index);
        if self.rng.random_bool(self.loss_rate) {
            return;
        }
        match message {
            Message::Request { from, to, round, request } => {
                let at =
                    self.daemons.iter().position(|d| replica(d.number, 0).address == to.address);
                let Some(at) = at.filter(|at| !self.removed.contains(at)) else { return };
                let response = self.answer(at, &AddressedRequest { to: to.disk, request });
                self.messages.push(Message::Response { to: from, round, from: to.disk, response });
            }
            Message::Response { to, round, from, response } => {
                self.handle_response(to, round, from, response);
            }
        }
    }

    fn answer(&mut self, at: usize, addressed: &AddressedRequest) -> RegisterResponse {
        let acceptor = &mut self.daemons[at].acceptor;
        let decision = acceptor.decide(addressed);
        if let Some(write) = decision.write {
            acceptor.apply(write);
        }
        decision.response
    }

    fn handle_response(
        &mut self,
        at: usize,
        ballot: Ballot,
        from: DiskId,
        response: RegisterResponse,
    ) {
        let daemon = &mut self.daemons[at];
        let Some((round, _)) = &mut daemon.round else { return };
        if round.ballot() != ballot {
            return;
        }
        match round.handle_response(from, response) {
            RoundProgress::Send(requests) => self.send(at, ballot, requests),
            RoundProgress::Preempted(higher) => {
                daemon.seen = daemon.seen.max(higher);
                daemon.round = None;
            }
            RoundProgress::Chosen { value, next } => self.handle_chosen(at, value, next),
        }
    }

    fn handle_chosen(&mut self, at: usize, value: Arc<RegisterValue>, next: Option<Proposal>) {
        let Some((_, version)) = self.daemons[at].round.take() else { return };
        if let Some(publication) = &value.state.publication {
            let contents = self.contents.entry(publication.table.version).or_default();
            contents.insert(publication.document.to_vec());
        }
        self.history.insert(value.ballot, Arc::clone(&value));
        let daemon = &mut self.daemons[at];
        if daemon.chosen.as_ref().is_none_or(|known| known.ballot < value.ballot) {
            daemon.chosen = Some(value);
        }
        match next {
            Some(next) => self.propose(at, next, version),
            None => {
                self.daemons[at].completed += 1;
                self.acknowledged = self.acknowledged.max(version.unwrap_or_default());
            }
        }
    }

    /// Drops the messages in flight, runs rounds of one daemon without loss until one completes, and gives its
    /// chosen value to all daemons.
    pub fn heal_and_converge(&mut self) {
        self.messages.clear();
        self.loss_rate = 0.0;
        for daemon in &mut self.daemons {
            daemon.round = None;
        }
        let at = loop {
            let at = self.random_daemon();
            if !self.removed.contains(&at) {
                break at;
            }
        };
        let before = self.daemons[at].completed;
        for _ in 0..50 {
            self.propose(at, Proposal::default(), None);
            for _ in 0..MAX_DELIVERIES_PER_ATTEMPT {
                if self.daemons[at].round.is_none() || self.messages.is_empty() {
                    break;
                }
                self.deliver_one();
            }
            if self.daemons[at].completed > before {
                break;
            }
        }
        let converged = self.daemons[at].completed > before;
        assert!(converged, "seed {}: no round ends after the network healed", self.seed);
        let newest = self.daemons[at].chosen.clone();
        for daemon in &mut self.daemons {
            daemon.chosen.clone_from(&newest);
        }
        self.loss_rate = LOSS_RATE;
    }

    /// Publishes without loss until the value is chosen; messages are not lost afterwards either.
    pub fn publish_and_converge(&mut self) {
        self.loss_rate = 0.0;
        self.publish_on_random_daemon();
        while !self.messages.is_empty() {
            self.deliver_one();
        }
        self.heal_and_converge();
        self.loss_rate = 0.0;
    }

    /// Restarts all daemons with their disks.
    pub fn restart_all(&mut self) {
        self.messages.clear();
        for daemon in &mut self.daemons {
            daemon.round = None;
            daemon.chosen = None;
            if let Some(accepted) = daemon.acceptor.accepted() {
                daemon.known = Arc::clone(accepted);
            }
        }
    }

    /// Lets one voter accept a value that was sent to no other.
    pub fn accept_on_one_disk(&mut self) {
        let newest = RegisterValue::clone(self.daemons[0].chosen.as_ref().unwrap());
        let ballot = Ballot { count: newest.ballot.count + 1, ..newest.ballot };
        let value = Arc::new(RegisterValue { ballot, ..newest });
        let to = self.daemons[0].acceptor.disk();
        let response =
            self.answer(0, &AddressedRequest { to, request: RegisterRequest::Accept(value) });
        assert_eq!(response, RegisterResponse::Accepted);
    }

    /// Highest ballot promised on each disk.
    pub fn promised_ballots(&self) -> Vec<Ballot> {
        self.daemons.iter().map(|daemon| daemon.acceptor.promised()).collect()
    }

    /// Whether a daemon finds the newest value by quorum reads alone, with all voters responding. `depth` counts
    /// the repeated reads.
    pub fn reads_newest_without_round(&mut self, at: usize, depth: u32) -> bool {
        let known = Arc::clone(&self.daemons[at].known);
        let (mut read, requests) = QuorumRead::new(Arc::clone(&known), false);
        for (to, request) in requests {
            let voter = self.daemons.iter().position(|d| d.acceptor.disk() == to.disk).unwrap();
            let response = self.answer(voter, &AddressedRequest { to: to.disk, request });
            let RegisterResponse::Newest(ballot) = response else { panic!("{response:?}") };
            read.record_response(to.disk, ballot);
        }
        match read.outcome() {
            ReadOutcome::Chosen(ballot) if ballot == known.ballot => true,
            ReadOutcome::Chosen(_) if depth < 3 => {
                let holder = read.newest_value_holder().unwrap();
                let found = self.daemons.iter().find(|d| d.acceptor.disk() == holder.disk);
                self.daemons[at].known = Arc::clone(found.unwrap().acceptor.accepted().unwrap());
                self.reads_newest_without_round(at, depth + 1)
            }
            _ => false,
        }
    }

    pub fn assert_nothing_lost(&self) {
        let newest = self.daemons[0].chosen.as_ref().unwrap();
        let version = newest.state.version().unwrap_or_default();
        let acknowledged = self.acknowledged;
        assert!(version >= acknowledged, "seed {}: {version} after {acknowledged}", self.seed);
        self.assert_one_content_per_version();
    }

    pub fn assert_one_content_per_version(&self) {
        for (version, contents) in &self.contents {
            assert_eq!(contents.len(), 1, "seed {}: version {version}", self.seed);
        }
    }

    /// Restarts a random voter with an empty data folder.
    pub fn lose_folder(&mut self) {
        let voters: Vec<Replica> =
            self.daemons[0].chosen.as_ref().unwrap().voters.current.iter().copied().collect();
        let lost = voters[self.rng.random_range(0..voters.len())];
        let at = self.daemons.iter().position(|d| d.acceptor.disk() == lost.disk).unwrap();
        self.renew_folder(at);
    }

    fn renew_folder(&mut self, at: usize) {
        self.next_disk += 1;
        self.daemons[at].acceptor = acceptor(DiskId(self.next_disk));
        self.daemons[at].round = None;
    }

    /// Removes a daemon for good.
    pub fn remove_daemon(&mut self, at: usize) {
        self.removed.insert(at);
        self.daemons[at].round = None;
    }

    /// Lets a remaining daemon replace the voter of a removed one, and delivers all messages.
    pub fn replace_removed_voter(&mut self) {
        let at = (0..self.daemons.len()).find(|at| !self.removed.contains(at)).unwrap();
        let from = self.daemons[at].chosen.as_ref().unwrap().voters.current.clone();
        let unresponsive = self.removed_disks();
        let departures = Departures { unresponsive, ..Departures::default() };
        let to = next_voters(&from, &self.candidates(), &departures, 3).unwrap();
        let voters = Some(VoterChange { from, to });
        let proposal = Proposal { changes: Vec::new(), voters };
        self.loss_rate = 0.0;
        let before = self.daemons[at].completed;
        // The first attempt can fail and return a higher ballot, above which the second one succeeds.
        for _ in 0..2 {
            if self.daemons[at].completed == before {
                self.propose(at, proposal.clone(), None);
            }
            while !self.messages.is_empty() {
                self.deliver_one();
            }
        }
        let newest = self.daemons[at].chosen.clone();
        for daemon in &mut self.daemons {
            daemon.chosen.clone_from(&newest);
        }
    }

    /// Replaces voters until none is left to replace.
    pub fn repair_voters(&mut self) {
        self.loss_rate = 0.0;
        self.messages.clear();
        for _ in 0..10 {
            self.heal_and_converge();
            let voters = self.daemons[0].chosen.as_ref().unwrap().voters.current.clone();
            let Some(to) = next_voters(&voters, &self.candidates(), &Departures::default(), 3)
            else {
                return;
            };
            let voters = Some(VoterChange { from: voters, to });
            self.propose(0, Proposal { changes: Vec::new(), voters }, None);
            self.loss_rate = 0.0;
            while !self.messages.is_empty() {
                self.deliver_one();
            }
        }
        panic!("seed {}: voters are replaced without end", self.seed);
    }

    fn candidates(&self) -> Vec<VoterCandidate> {
        let all = (0..self.daemons.len()).filter(|at| !self.removed.contains(at));
        all.map(|at| VoterCandidate { replica: self.replica(at), domain: at }).collect()
    }

    /// Lets a random daemon replace a random voter, based on the value that it knows.
    pub fn repair_from_outdated_state(&mut self) {
        let at = self.random_daemon();
        let Some(chosen) = self.daemons[at].chosen.clone() else { return };
        let voters = chosen.voters.current.clone();
        let unresponsive = voters.iter().nth(self.rng.random_range(0..voters.len())).unwrap().disk;
        let unresponsive = BTreeSet::from([unresponsive]);
        let departures = Departures { unresponsive, ..Departures::default() };
        let to = next_voters(&voters, &self.candidates(), &departures, 3);
        let voters = to.map(|to| VoterChange { from: voters, to });
        self.propose(at, Proposal { changes: Vec::new(), voters }, None);
    }

    /// Confirms the newest value that a random daemon knows with a quorum read, and checks that it is not older
    /// than the acknowledged changes.
    pub fn read_on_random_daemon(&mut self) {
        let at = self.random_daemon();
        let Some(chosen) = self.daemons[at].chosen.clone() else { return };
        let acknowledged = self.acknowledged;
        let (mut read, requests) = QuorumRead::new(Arc::clone(&chosen), true);
        for (to, request) in requests {
            let voter = self.daemons.iter().position(|d| d.acceptor.disk() == to.disk).unwrap();
            let response = self.answer(voter, &AddressedRequest { to: to.disk, request });
            let RegisterResponse::Newest(ballot) = response else { panic!("{response:?}") };
            if self.rng.random_bool(LOSS_RATE) {
                continue;
            }
            if let ReadOutcome::Chosen(ballot) = read.record_response(to.disk, ballot) {
                let holder = read.newest_value_holder().unwrap();
                let at = self.daemons.iter().position(|d| d.acceptor.disk() == holder.disk);
                let found = match ballot == chosen.ballot {
                    true => chosen,
                    false => self.daemons[at.unwrap()].acceptor.accepted().cloned().unwrap(),
                };
                let version = found.state.version().unwrap_or_default();
                assert!(version >= acknowledged, "seed {}: read {version}", self.seed);
                return;
            }
        }
    }
}

fn acceptor(disk: DiskId) -> Acceptor {
    let mut acceptor = Acceptor::default();
    acceptor.apply(comfreyhold_consensus::register::acceptor::AcceptorWrite::Identity(disk));
    acceptor
}

fn publication(version: u64, document: &[u8]) -> Proposal {
    let table = Arc::new(RouteTable { version, ..RouteTable::default() });
    let publication = RoutePublication { document: Arc::new(document.to_vec()), table };
    Proposal { changes: vec![StateChange::Publish(publication)], voters: None }
}
