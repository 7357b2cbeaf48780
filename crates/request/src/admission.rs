//! Common interface of policies that allocate target slots, used to compare the dispatcher with
//! simpler ones.

use crate::message::{Message, SlotOutcome};
use comfreyhold_types::prelude::*;
use std::time::Instant;

/// Entries and targets of a compared deployment.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Entries with their failure domains.
    pub entries: Vec<(InstanceId, DomainId)>,
    /// Targets of the only service.
    pub targets: Vec<TargetRecord>,
    /// Profile of the service.
    pub profile: Profile,
}

/// A request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest {
    /// Number of the request, unique across all entries.
    pub request: u64,
    /// Deadline of the request.
    pub deadline: Instant,
}

/// A message between entries.
#[derive(Clone, Debug)]
pub enum EntryMessage {
    /// A message of the dispatcher protocol.
    Protocol(Message),
    /// Requests a slot from another entry's share.
    Borrow(SlotRequest),
    /// Lends a slot of the target with this index; `None` when no slot is free.
    Lend(SlotRequest, Option<usize>),
    /// Returns a lent slot.
    Return(usize),
}

/// An action of a policy. Entries and targets are given as indices into the layout.
#[derive(Clone, Debug)]
pub enum AdmissionAction {
    /// The entry writes the request to the target.
    Start {
        /// Index of the entry.
        entry: usize,
        /// Number of the request.
        request: u64,
        /// Index of the target.
        target: usize,
    },
    /// The request ends without a response.
    End {
        /// Number of the request.
        request: u64,
        /// Reason for the end.
        code: ResultCode,
    },
    /// One entry sends a message to another.
    Send {
        /// Index of the sending entry.
        from: usize,
        /// Index of the receiving entry.
        to: usize,
        /// Content of the message.
        message: EntryMessage,
    },
}

/// A policy that allocates target slots, simulated for all entries of a deployment.
pub trait AdmissionPolicy {
    /// Short name of the policy for tables.
    fn name(&self) -> &'static str;

    /// Handles a request that arrives at an entry.
    fn acquire(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
    ) -> Vec<AdmissionAction>;

    /// Handles the end of the use of a slot. A policy may start a refused request again.
    fn release(
        &mut self,
        now: Instant,
        entry: usize,
        slot_request: SlotRequest,
        outcome: SlotOutcome,
    ) -> Vec<AdmissionAction>;

    /// Handles a message that arrives at an entry.
    fn deliver(
        &mut self,
        now: Instant,
        from: usize,
        to: usize,
        message: EntryMessage,
    ) -> Vec<AdmissionAction>;

    /// Handles the passing of time.
    fn tick(&mut self, now: Instant) -> Vec<AdmissionAction>;

    /// Handles the death of an entry. No messages reach it or come from it any more.
    fn on_entry_death(&mut self, now: Instant, entry: usize);

    /// Handles the detection of an entry's death by the others. Its lease ends at `lease_ends`.
    fn on_death_detected(
        &mut self,
        now: Instant,
        entry: usize,
        lease_ends: Instant,
    ) -> Vec<AdmissionAction>;
}
