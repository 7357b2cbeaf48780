//! Event loop of one run in virtual time.

use super::load::{OUTAGE, Pattern, Settings};
use super::placement::{EntryPlacement, FlowInfo, Placement, SchemeName};
use super::queue::{EmulatedTarget, TargetRequest};
use super::report::Outcomes;
use anyhow::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Times at which a caller sends and retransmits an opening, from its first transmission.
const OPENING_SEND_TIMES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];

/// Time after the first transmission at which a caller abandons an opening.
const OPENING_TIMEOUT: Duration = Duration::from_millis(1_400);

/// Times at which a caller retransmits a request on an open flow, from its first transmission.
const REQUEST_RETRANSMISSION_TIMES: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
];

/// Time after which a caller abandons a request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum number of attempts of a request, the first included.
const MAX_ATTEMPTS: u32 = 3;

/// Share of the targets that the patterns `Dead` and `Slow` affect.
const AFFECTED_SHARE: f64 = 0.1;

/// Factor on the service time of the targets that the pattern `Slow` affects.
const SLOWDOWN: f64 = 4.0;

enum Event {
    /// A caller of a failure domain sends a request on a new flow.
    ShortFlow { domain: usize },
    /// A caller sends or retransmits an opening.
    SendOpening(Opening),
    /// A caller sends the next request on a long flow.
    NextRequest(u64),
    /// A caller retransmits a request on an open flow.
    RetransmitRequest { flow: u64, requested_at: Duration },
    /// A target completes a request.
    CompleteRequest { target: usize, request: TargetRequest },
    /// All entries restart.
    RestartEntries,
}

#[derive(Clone)]
struct Opening {
    flow_info: FlowInfo,
    domain: usize,
    /// First transmission of the request's first attempt.
    requested_at: Duration,
    /// First transmission of this opening.
    first_sent: Duration,
    attempt: u32,
    /// Targets that did not respond to it.
    tried: Vec<usize>,
}

struct OpenFlow {
    flow_info: FlowInfo,
    entry: usize,
    target: usize,
    domain: usize,
    attempt: u32,
    /// Whether a request on it got no response because of the outage.
    is_blocked: bool,
}

/// State of a run.
struct Emulation<'a> {
    settings: &'a Settings,
    scheme: SchemeName,
    rng: StdRng,
    now: Duration,
    /// Pending events by time, and in the order of their creation at the same time.
    events: BTreeMap<(Duration, u64), Event>,
    last_number: u64,
    targets: Vec<EmulatedTarget>,
    entries: Vec<EntryPlacement>,
    flows: BTreeMap<u64, OpenFlow>,
    outcomes: Outcomes,
}

/// Emulates the load of the settings under a placement scheme until the last event.
///
/// # Errors
/// The histogram of response times can't be created.
pub fn run(settings: &Settings, scheme: SchemeName) -> Result<Outcomes> {
    let mut run = Emulation::new(settings, scheme)?;
    run.schedule_callers();
    while let Some(((at, _), event)) = run.events.pop_first() {
        run.now = at;
        run.handle_event(event);
    }
    let completed: Vec<u64> =
        run.targets.iter().filter(|t| t.is_responsive).map(|target| target.completed).collect();
    run.outcomes.finish(&completed);
    Ok(run.outcomes)
}

impl<'a> Emulation<'a> {
    fn new(settings: &'a Settings, scheme: SchemeName) -> Result<Self> {
        let domains: Vec<usize> = (0..settings.targets).map(|t| t % settings.domains).collect();
        let mut targets: Vec<EmulatedTarget> =
            domains.iter().map(|domain| EmulatedTarget::new(settings, *domain)).collect();
        let affected = (settings.targets as f64 * AFFECTED_SHARE).ceil() as usize;
        for target in targets.iter_mut().take(affected) {
            target.is_responsive = settings.pattern != Pattern::Dead;
            target.slowdown = if settings.pattern == Pattern::Slow { SLOWDOWN } else { 1.0 };
        }
        Ok(Self {
            settings,
            scheme,
            rng: StdRng::seed_from_u64(settings.seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            last_number: 0,
            targets,
            entries: create_entries(settings, scheme, None),
            flows: BTreeMap::new(),
            outcomes: Outcomes::new()?,
        })
    }

    /// Restarts all entries. They keep nothing but the targets and routes.
    fn restart_entries(&mut self) {
        self.entries = create_entries(self.settings, self.scheme, Some(self.now));
        self.flows.values_mut().for_each(|flow| flow.is_blocked = false);
    }

    /// Returns the next number for a flow or an event.
    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let number = self.next_number();
        self.events.insert((at, number), event);
    }

    fn schedule_callers(&mut self) {
        let settings = self.settings;
        let rate = settings.rate();
        let long_flows = (rate * settings.long_share / settings.long_rate) as usize;
        for flow in 0..long_flows {
            let at = Duration::from_secs_f64(self.rng.random::<f64>() / settings.long_rate);
            let domain = self.caller_domain(flow);
            let flow_info = FlowInfo { flow: self.next_number(), is_long: true, copy: 0 };
            self.schedule(at, Event::SendOpening(Opening::new(flow_info, domain, at)));
        }
        for domain in 0..settings.domains {
            self.schedule(Duration::ZERO, Event::ShortFlow { domain });
        }
        if settings.pattern == Pattern::Outage {
            self.schedule(OUTAGE.end, Event::RestartEntries);
        }
    }

    fn caller_domain(&mut self, caller: usize) -> usize {
        let domain = caller % self.settings.domains;
        let may_move = self.settings.pattern == Pattern::Moved && domain == 0;
        if may_move && self.rng.random_bool(0.5) { 1 % self.settings.domains } else { domain }
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::ShortFlow { domain } => self.start_short_flow(domain),
            Event::SendOpening(opening) => self.send_opening(opening),
            Event::NextRequest(flow) => self.send_next_request(flow),
            Event::RetransmitRequest { flow, requested_at } => {
                self.send_request(flow, requested_at)
            }
            Event::CompleteRequest { target, request } => self.complete_request(target, request),
            Event::RestartEntries => self.restart_entries(),
        }
    }

    /// Opens a flow for one request, and schedules the next such flow after an exponentially distributed time.
    fn start_short_flow(&mut self, domain: usize) {
        let settings = self.settings;
        let share = (1.0 - settings.long_share) / settings.domains as f64;
        let rate = settings.rate() * share * settings.load_factor(self.now);
        let gap = Exp::new(rate).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        let next = self.now + Duration::from_secs_f64(gap);
        if next < settings.length {
            self.schedule(next, Event::ShortFlow { domain });
        }
        let caller_domain = self.caller_domain(domain);
        let flow_info = FlowInfo { flow: self.next_number(), is_long: false, copy: 0 };
        self.send_opening(Opening::new(flow_info, caller_domain, self.now));
    }

    fn send_opening(&mut self, mut opening: Opening) {
        if opening.flow_info.copy == 0 && opening.attempt == 0 && !opening.flow_info.is_long {
            self.outcomes.asked += 1;
        }
        if self.settings.is_outage(self.now) {
            return self.retransmit_or_abandon(opening);
        }
        let entry = self.choose_entry(&opening);
        let now = self.now;
        let target = match self.entries[entry].place_opening(
            &opening.flow_info,
            &opening.tried,
            now,
            &mut self.rng,
        ) {
            Placement::Target(target) => target,
            Placement::Deferred(wait) => {
                return self.schedule(now + wait, Event::SendOpening(opening));
            }
            Placement::Discarded => return self.retransmit_or_abandon(opening),
            Placement::Refused => return self.retry_or_abandon(&opening),
        };
        if !self.targets[target].is_responsive {
            opening.tried.push(target);
            return self.retransmit_or_abandon(opening);
        }
        let flow = OpenFlow {
            flow_info: opening.flow_info,
            entry,
            target,
            domain: opening.domain,
            attempt: opening.attempt,
            is_blocked: false,
        };
        self.outcomes.flows += 1;
        self.outcomes.remote += u64::from(self.targets[target].domain != opening.domain);
        self.flows.insert(opening.flow_info.flow, flow);
        if opening.flow_info.is_long {
            self.send_next_request(opening.flow_info.flow);
        } else {
            self.send_request(opening.flow_info.flow, opening.requested_at);
        }
    }

    /// Schedules the next retransmission of an opening without a response, or ends the attempt after the last one.
    fn retransmit_or_abandon(&mut self, mut opening: Opening) {
        let first_sent = opening.first_sent;
        opening.flow_info.copy += 1;
        match OPENING_SEND_TIMES.get(opening.flow_info.copy as usize) {
            Some(after) => {
                self.outcomes.copies += 1;
                self.schedule(first_sent + *after, Event::SendOpening(opening));
            }
            None => {
                self.now = first_sent + OPENING_TIMEOUT;
                self.retry_or_abandon(&opening);
            }
        }
    }

    fn retry_or_abandon(&mut self, opening: &Opening) {
        if opening.attempt + 1 < MAX_ATTEMPTS {
            self.retry(
                opening.flow_info,
                opening.domain,
                opening.requested_at,
                opening.attempt + 1,
            );
        } else {
            self.outcomes.unanswered += 1;
        }
    }

    /// Starts the next attempt of a request, on a new flow.
    fn retry(&mut self, flow_info: FlowInfo, domain: usize, requested_at: Duration, attempt: u32) {
        let flow_info = FlowInfo { flow: self.next_number(), copy: 0, ..flow_info };
        let first_sent = self.now;
        let opening =
            Opening { attempt, first_sent, ..Opening::new(flow_info, domain, requested_at) };
        self.schedule(self.now, Event::SendOpening(opening));
    }

    /// Chooses the entry that the fabric sends an opening to: one of the caller's failure domain, by the flow's number.
    fn choose_entry(&self, opening: &Opening) -> usize {
        let domains = self.settings.domains;
        let is_local = |entry: &usize| entry % domains == opening.domain;
        let local_entries: Vec<usize> = (0..self.entries.len()).filter(is_local).collect();
        let index = usize::try_from(opening.flow_info.flow).unwrap_or_default();
        local_entries
            .get(index % local_entries.len().max(1))
            .copied()
            .unwrap_or(index % self.entries.len())
    }

    /// Sends a request on a long flow and schedules the next one.
    fn send_next_request(&mut self, flow: u64) {
        if !self.flows.contains_key(&flow) {
            return;
        }
        let rate = self.settings.long_rate * self.settings.load_factor(self.now);
        let gap = Duration::from_secs_f64((0.5 + self.rng.random::<f64>()) / rate);
        if self.now + gap < self.settings.length {
            self.schedule(self.now + gap, Event::NextRequest(flow));
        }
        match self.flows.get(&flow) {
            // A caller that waits for a response on its flow opens another one.
            Some(open) if open.is_blocked => {
                let domain = open.domain;
                let flow_info = FlowInfo { flow: self.next_number(), is_long: false, copy: 0 };
                self.send_opening(Opening::new(flow_info, domain, self.now));
            }
            _ => {
                self.outcomes.asked += 1;
                self.send_request(flow, self.now);
            }
        }
    }

    /// Schedules the next retransmission of a request that was sent during the outage, or abandons it after its
    /// timeout.
    fn retransmit_request(&mut self, flow: u64, requested_at: Duration) {
        let due = REQUEST_RETRANSMISSION_TIMES
            .iter()
            .map(|after| requested_at + *after)
            .find(|at| *at > self.now);
        match due.filter(|due| *due < requested_at + REQUEST_TIMEOUT) {
            Some(due) => self.schedule(due, Event::RetransmitRequest { flow, requested_at }),
            None => self.outcomes.unanswered += 1,
        }
        if let Some(open) = self.flows.get_mut(&flow) {
            open.is_blocked = true;
        }
    }

    fn send_request(&mut self, flow: u64, requested_at: Duration) {
        if self.settings.is_outage(self.now) {
            return self.retransmit_request(flow, requested_at);
        }
        let Some(open) = self.flows.get(&flow) else { return };
        let (entry, target, flow_info) = (open.entry, open.target, open.flow_info);
        let service_time = self.settings.work.sample(&mut self.rng);
        let request = TargetRequest { requested_at, service_time, flow };
        self.entries[entry].record_request(&flow_info, target, self.now);
        match self.targets[target].admit(request) {
            Ok(Some(run_time)) => {
                self.schedule(self.now + run_time, Event::CompleteRequest { target, request })
            }
            Ok(None) => {}
            Err(request) => self.handle_refusal(request),
        }
    }

    /// Handles the refusal of a request by a full target: the caller retries it on a new flow.
    fn handle_refusal(&mut self, request: TargetRequest) {
        let Some(open) = self.flows.get(&request.flow) else { return };
        let (flow_info, domain, attempt) = (open.flow_info, open.domain, open.attempt + 1);
        self.entries[open.entry].record_response(&flow_info, open.target, self.now);
        if !flow_info.is_long {
            self.close_flow(request.flow);
        }
        if attempt < MAX_ATTEMPTS {
            self.retry(
                FlowInfo { is_long: false, ..flow_info },
                domain,
                request.requested_at,
                attempt,
            );
        } else {
            self.outcomes.refused += 1;
        }
    }

    fn complete_request(&mut self, target: usize, request: TargetRequest) {
        if let Some((next, run_time)) = self.targets[target].complete_request() {
            self.schedule(self.now + run_time, Event::CompleteRequest { target, request: next });
        }
        self.outcomes.record_response(self.now - request.requested_at, self.settings.objective);
        let Some(open) = self.flows.get(&request.flow) else { return };
        let flow_info = open.flow_info;
        self.entries[open.entry].record_response(&flow_info, open.target, self.now);
        if !flow_info.is_long {
            self.close_flow(request.flow);
        }
    }

    fn close_flow(&mut self, flow: u64) {
        if let Some(open) = self.flows.remove(&flow) {
            self.entries[open.entry].record_flow_end(&open.flow_info, open.target, self.now);
        }
    }
}

fn create_entries(
    settings: &Settings,
    scheme: SchemeName,
    starts_at: Option<Duration>,
) -> Vec<EntryPlacement> {
    let domains: Vec<usize> = (0..settings.targets).map(|t| t % settings.domains).collect();
    let create_entry = |entry| {
        let local_domain = entry % settings.domains;
        EntryPlacement::new(scheme, entry, settings.entries, &domains, local_domain, starts_at)
    };
    (0..settings.entries).map(create_entry).collect()
}

impl Opening {
    fn new(flow_info: FlowInfo, domain: usize, requested_at: Duration) -> Self {
        Self {
            flow_info,
            domain,
            requested_at,
            first_sent: requested_at,
            attempt: 0,
            tried: Vec::new(),
        }
    }
}
