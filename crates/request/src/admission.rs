//! One interface for ways to allocate target slots, so that the dispatcher can be compared with
//! simpler ones.

use crate::message::{Message, SlotOutcome};
use comfreyhold_types::prelude::*;
use std::time::Instant;

/// Entries and targets of a deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Entries with their failure domains.
    pub entries: Vec<(InstanceId, DomainId)>,
    /// Targets of the one service.
    pub targets: Vec<TargetRecord>,
    /// Profile of the service.
    pub profile: Profile,
}

/// A request that wants a slot.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    /// Number, unique over all entries.
    pub request: u64,
    /// Its deadline.
    pub deadline: Instant,
}

/// A message between entries.
#[derive(Clone, Debug)]
pub enum Note {
    /// Of the dispatcher protocol.
    Protocol(Message),
    /// Asks another entry for a slot of its share.
    Borrow(Ask),
    /// Lends a slot of the target with this index, or none.
    Lend(Ask, Option<usize>),
    /// Returns a lent slot.
    Return(usize),
}

/// What an admission does. Entries and targets are indices into the layout.
#[derive(Clone, Debug)]
pub enum Step {
    /// The entry writes the request to the target.
    Start {
        /// The entry.
        entry: usize,
        /// The request.
        request: u64,
        /// The target.
        target: usize,
    },
    /// The request ends without a response.
    End {
        /// The request.
        request: u64,
        /// Why.
        code: ResultCode,
    },
    /// One entry sends a message to another.
    Send {
        /// Sender.
        from: usize,
        /// Receiver.
        to: usize,
        /// The message.
        note: Note,
    },
}

/// A way to allocate target slots, for all entries of a deployment.
pub trait Admission {
    /// Short name for tables.
    fn name(&self) -> &'static str;

    /// A request arrives at an entry.
    fn acquire(&mut self, now: Instant, entry: usize, ask: Ask) -> Vec<Step>;

    /// The use of a started request's slot has ended. An admission may start a refused one again.
    fn release(&mut self, now: Instant, entry: usize, ask: Ask, outcome: SlotOutcome) -> Vec<Step>;

    /// A message arrives.
    fn deliver(&mut self, now: Instant, from: usize, to: usize, note: Note) -> Vec<Step>;

    /// Time has passed.
    fn tick(&mut self, now: Instant) -> Vec<Step>;

    /// An entry died; nothing reaches it or comes from it any more.
    fn entry_died(&mut self, now: Instant, entry: usize);

    /// The other entries found the death, and its lease ends at this time.
    fn death_found(&mut self, now: Instant, entry: usize, lease_ends: Instant) -> Vec<Step>;
}
