//! One run in virtual time.

use super::load::{OUTAGE, Pattern, Settings};
use super::placement::{EntryPlacement, FlowFacts, Placed, SchemeName};
use super::queue::{Target, Work};
use super::report::Outcomes;
use anyhow::Result;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use std::collections::BTreeMap;
use std::time::Duration;

/// Times at which a caller sends an opening, and at which it gives up.
const COPIES: [Duration; 3] =
    [Duration::ZERO, Duration::from_millis(200), Duration::from_millis(600)];
const OPEN_LIMIT: Duration = Duration::from_millis(1_400);

/// Times at which a caller repeats a request on an open flow.
const REPETITIONS: [Duration; 4] = [
    Duration::from_millis(200),
    Duration::from_millis(600),
    Duration::from_millis(1_400),
    Duration::from_millis(3_000),
];

/// Time after which a caller gives a request up.
const REQUEST_LIMIT: Duration = Duration::from_millis(2_500);

/// Attempts of a request, the first included.
const ATTEMPTS: u32 = 3;

/// Share of the targets that the patterns `Dead` and `Slow` affect, and how much slower they are.
const AFFECTED: f64 = 0.1;
const SLOWNESS: f64 = 4.0;

enum Event {
    /// A caller of a domain asks on a flow of its own.
    Ask { domain: usize },
    /// An opening is sent, for the first time or again.
    Open(Opening),
    /// The next request on a long flow.
    Next(u64),
    /// A request on an open flow is sent again.
    Repeat { flow: u64, asked: Duration },
    /// A request ends at a target.
    End { target: usize, work: Work },
    /// All entries start anew.
    Start,
}

#[derive(Clone)]
struct Opening {
    facts: FlowFacts,
    domain: usize,
    asked: Duration,
    /// When its first copy was sent.
    opened: Duration,
    attempt: u32,
    tried: Vec<usize>,
}

struct OpenFlow {
    facts: FlowFacts,
    entry: usize,
    target: usize,
    domain: usize,
    attempt: u32,
    /// Whether a request on it waits for the end of an outage.
    blocked: bool,
}

struct Run<'a> {
    settings: &'a Settings,
    scheme: SchemeName,
    rng: StdRng,
    now: Duration,
    events: BTreeMap<(Duration, u64), Event>,
    numbers: u64,
    targets: Vec<Target>,
    entries: Vec<EntryPlacement>,
    flows: BTreeMap<u64, OpenFlow>,
    outcomes: Outcomes,
}

/// Plays a load with a scheme.
///
/// # Errors
/// The record of times can't be created.
pub fn run(settings: &Settings, scheme: SchemeName) -> Result<Outcomes> {
    let mut run = Run::new(settings, scheme)?;
    run.schedule_callers();
    while let Some(((at, _), event)) = run.events.pop_first() {
        run.now = at;
        run.handle(event);
    }
    let ran: Vec<u64> = run.targets.iter().filter(|t| t.alive).map(|target| target.ran).collect();
    run.outcomes.close(&ran);
    Ok(run.outcomes)
}

impl<'a> Run<'a> {
    fn new(settings: &'a Settings, scheme: SchemeName) -> Result<Self> {
        let domains: Vec<usize> = (0..settings.targets).map(|t| t % settings.domains).collect();
        let mut targets: Vec<Target> =
            domains.iter().map(|domain| Target::new(settings, *domain)).collect();
        let affected = (settings.targets as f64 * AFFECTED).ceil() as usize;
        for target in targets.iter_mut().take(affected) {
            target.alive = settings.pattern != Pattern::Dead;
            target.slowness = if settings.pattern == Pattern::Slow { SLOWNESS } else { 1.0 };
        }
        Ok(Self {
            settings,
            scheme,
            rng: StdRng::seed_from_u64(settings.seed),
            now: Duration::ZERO,
            events: BTreeMap::new(),
            numbers: 0,
            targets,
            entries: entries(settings, scheme, None),
            flows: BTreeMap::new(),
            outcomes: Outcomes::new()?,
        })
    }

    /// All entries have forgotten everything but the targets and routes.
    fn start_entries(&mut self) {
        self.entries = entries(self.settings, self.scheme, Some(self.now));
        self.flows.values_mut().for_each(|flow| flow.blocked = false);
    }

    fn number(&mut self) -> u64 {
        self.numbers += 1;
        self.numbers
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        let number = self.number();
        self.events.insert((at, number), event);
    }

    fn schedule_callers(&mut self) {
        let settings = self.settings;
        let rate = settings.rate();
        let long_flows = (rate * settings.long_share / settings.long_rate) as usize;
        for flow in 0..long_flows {
            let at = Duration::from_secs_f64(self.rng.random::<f64>() / settings.long_rate);
            let domain = self.caller_domain(flow);
            let facts = FlowFacts { flow: self.number(), long: true, copy: 0 };
            self.schedule(at, Event::Open(Opening::new(facts, domain, at)));
        }
        for domain in 0..settings.domains {
            self.schedule(Duration::ZERO, Event::Ask { domain });
        }
        if settings.pattern == Pattern::Outage {
            self.schedule(OUTAGE.end, Event::Start);
        }
    }

    fn caller_domain(&mut self, caller: usize) -> usize {
        let domain = caller % self.settings.domains;
        let moved = self.settings.pattern == Pattern::Moved && domain == 0;
        if moved && self.rng.random_bool(0.5) { 1 % self.settings.domains } else { domain }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Ask { domain } => self.ask(domain),
            Event::Open(opening) => self.open(opening),
            Event::Next(flow) => self.next_request(flow),
            Event::Repeat { flow, asked } => self.request(flow, asked),
            Event::End { target, work } => self.end(target, work),
            Event::Start => self.start_entries(),
        }
    }

    /// A caller opens a flow for one request, and the next one follows at random.
    fn ask(&mut self, domain: usize) {
        let settings = self.settings;
        let share = (1.0 - settings.long_share) / settings.domains as f64;
        let rate = settings.rate() * share * settings.factor(self.now);
        let gap = Exp::new(rate).map_or(1.0, |gaps| gaps.sample(&mut self.rng));
        let next = self.now + Duration::from_secs_f64(gap);
        if next < settings.length {
            self.schedule(next, Event::Ask { domain });
        }
        let from = self.caller_domain(domain);
        let facts = FlowFacts { flow: self.number(), long: false, copy: 0 };
        self.open(Opening::new(facts, from, self.now));
    }

    fn open(&mut self, mut opening: Opening) {
        if opening.facts.copy == 0 && opening.attempt == 0 && !opening.facts.long {
            self.outcomes.asked += 1;
        }
        if self.settings.is_out(self.now) {
            return self.unanswered(opening);
        }
        let entry = self.entry_for(&opening);
        let now = self.now;
        let target =
            match self.entries[entry].place(&opening.facts, &opening.tried, now, &mut self.rng) {
                Placed::At(target) => target,
                Placed::Later(wait) => return self.schedule(now + wait, Event::Open(opening)),
                Placed::Nowhere => return self.unanswered(opening),
                Placed::Refused => return self.give_up(&opening),
            };
        if !self.targets[target].alive {
            opening.tried.push(target);
            return self.unanswered(opening);
        }
        let flow = OpenFlow {
            facts: opening.facts,
            entry,
            target,
            domain: opening.domain,
            attempt: opening.attempt,
            blocked: false,
        };
        self.outcomes.flows += 1;
        self.outcomes.remote += u64::from(self.targets[target].domain != opening.domain);
        self.flows.insert(opening.facts.flow, flow);
        if opening.facts.long {
            self.next_request(opening.facts.flow);
        } else {
            self.request(opening.facts.flow, opening.asked);
        }
    }

    /// The caller sends the next copy when it is due, or gives the attempt up.
    fn unanswered(&mut self, mut opening: Opening) {
        let started = opening.opened;
        opening.facts.copy += 1;
        match COPIES.get(opening.facts.copy as usize) {
            Some(copy) => {
                self.outcomes.copies += 1;
                self.schedule(started + *copy, Event::Open(opening));
            }
            None => {
                self.now = started + OPEN_LIMIT;
                self.give_up(&opening);
            }
        }
    }

    fn give_up(&mut self, opening: &Opening) {
        if opening.attempt + 1 < ATTEMPTS {
            self.retry(opening.facts, opening.domain, opening.asked, opening.attempt + 1);
        } else {
            self.outcomes.unanswered += 1;
        }
    }

    /// The next attempt comes on a new flow.
    fn retry(&mut self, facts: FlowFacts, domain: usize, asked: Duration, attempt: u32) {
        let facts = FlowFacts { flow: self.number(), copy: 0, ..facts };
        let opened = self.now;
        let opening = Opening { attempt, opened, ..Opening::new(facts, domain, asked) };
        self.schedule(self.now, Event::Open(opening));
    }

    /// The fabric chooses an entry of the caller's domain by a hash of the flow.
    fn entry_for(&self, opening: &Opening) -> usize {
        let domains = self.settings.domains;
        let in_domain = |entry: &usize| entry % domains == opening.domain;
        let there: Vec<usize> = (0..self.entries.len()).filter(in_domain).collect();
        let index = usize::try_from(opening.facts.flow).unwrap_or_default();
        there.get(index % there.len().max(1)).copied().unwrap_or(index % self.entries.len())
    }

    fn next_request(&mut self, flow: u64) {
        if !self.flows.contains_key(&flow) {
            return;
        }
        let rate = self.settings.long_rate * self.settings.factor(self.now);
        let gap = Duration::from_secs_f64((0.5 + self.rng.random::<f64>()) / rate);
        if self.now + gap < self.settings.length {
            self.schedule(self.now + gap, Event::Next(flow));
        }
        match self.flows.get(&flow) {
            // A caller that waits for an answer on its flow opens another one.
            Some(open) if open.blocked => {
                let domain = open.domain;
                let facts = FlowFacts { flow: self.number(), long: false, copy: 0 };
                self.open(Opening::new(facts, domain, self.now));
            }
            _ => {
                self.outcomes.asked += 1;
                self.request(flow, self.now);
            }
        }
    }

    /// A request on an open flow gets no answer before an entry runs again.
    fn repeat(&mut self, flow: u64, asked: Duration) {
        let due = REPETITIONS.iter().map(|after| asked + *after).find(|at| *at > self.now);
        match due.filter(|due| *due < asked + REQUEST_LIMIT) {
            Some(due) => self.schedule(due, Event::Repeat { flow, asked }),
            None => self.outcomes.unanswered += 1,
        }
        if let Some(open) = self.flows.get_mut(&flow) {
            open.blocked = true;
        }
    }

    fn request(&mut self, flow: u64, asked: Duration) {
        if self.settings.is_out(self.now) {
            return self.repeat(flow, asked);
        }
        let Some(open) = self.flows.get(&flow) else { return };
        let (entry, target, facts) = (open.entry, open.target, open.facts);
        let takes = self.settings.work.sample(&mut self.rng);
        let work = Work { asked, takes, flow };
        self.entries[entry].sent(&facts, target, self.now);
        match self.targets[target].take(work) {
            Ok(Some(time)) => self.schedule(self.now + time, Event::End { target, work }),
            Ok(None) => {}
            Err(work) => self.refused(work),
        }
    }

    /// A full target has refused a request: its caller tries again on a new flow.
    fn refused(&mut self, work: Work) {
        let Some(open) = self.flows.get(&work.flow) else { return };
        let (facts, domain, attempt) = (open.facts, open.domain, open.attempt + 1);
        self.entries[open.entry].answered(&facts, open.target, self.now);
        if !facts.long {
            self.close(work.flow);
        }
        if attempt < ATTEMPTS {
            self.retry(FlowFacts { long: false, ..facts }, domain, work.asked, attempt);
        } else {
            self.outcomes.refused += 1;
        }
    }

    fn end(&mut self, target: usize, work: Work) {
        if let Some((next, time)) = self.targets[target].end() {
            self.schedule(self.now + time, Event::End { target, work: next });
        }
        self.outcomes.answered(self.now - work.asked, self.settings.objective);
        let Some(open) = self.flows.get(&work.flow) else { return };
        let facts = open.facts;
        self.entries[open.entry].answered(&facts, open.target, self.now);
        if !facts.long {
            self.close(work.flow);
        }
    }

    fn close(&mut self, flow: u64) {
        if let Some(open) = self.flows.remove(&flow) {
            self.entries[open.entry].ended(&open.facts, open.target, self.now);
        }
    }
}

fn entries(
    settings: &Settings,
    scheme: SchemeName,
    starts: Option<Duration>,
) -> Vec<EntryPlacement> {
    let domains: Vec<usize> = (0..settings.targets).map(|t| t % settings.domains).collect();
    let entry = |entry| {
        let own = entry % settings.domains;
        EntryPlacement::new(scheme, entry, settings.entries, &domains, own, starts)
    };
    (0..settings.entries).map(entry).collect()
}

impl Opening {
    fn new(facts: FlowFacts, domain: usize, asked: Duration) -> Self {
        Self { facts, domain, asked, opened: asked, attempt: 0, tried: Vec::new() }
    }
}
