//! Turns of callers, by start-time fair queueing: each admission of a caller moves its next turn one place back, and
//! no caller's turn lies before the latest one that was admitted.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;

/// Maximum number of callers with a turn of their own. All others share one.
pub const MAX_CALLERS: usize = 4_096;

/// Next turns of callers that were admitted lately or wait.
#[derive(Clone, Debug, Default)]
pub(super) struct Callers {
    /// Only turns after `now` are kept.
    turns: BTreeMap<Ipv4Addr, u64>,
    others: u64,
    /// Latest turn that was admitted.
    now: u64,
}

impl Callers {
    /// Takes the next turn of a caller.
    pub(super) fn take_turn(&mut self, caller: Ipv4Addr) -> u64 {
        if self.turns.len() >= MAX_CALLERS && !self.turns.contains_key(&caller) {
            let now = self.now;
            self.turns.retain(|_, turn| *turn > now);
        }
        let next = if self.turns.len() < MAX_CALLERS || self.turns.contains_key(&caller) {
            self.turns.entry(caller).or_default()
        } else {
            &mut self.others
        };
        let turn = (*next).max(self.now);
        *next = turn + 1;
        turn
    }

    /// Gives a turn back that was not used.
    pub(super) fn return_turn(&mut self, caller: Ipv4Addr) {
        let is_full = self.turns.len() >= MAX_CALLERS;
        match self.turns.get_mut(&caller) {
            Some(next) => *next = next.saturating_sub(1),
            None if is_full => self.others = self.others.saturating_sub(1),
            // Its turn lay in the past and was forgotten.
            None => {}
        }
    }

    /// Records that an opening with this turn was admitted.
    pub(super) fn admit(&mut self, turn: u64) {
        self.now = self.now.max(turn);
    }

    /// Number of callers with a turn of their own.
    pub(super) fn len(&self) -> usize {
        self.turns.len()
    }
}
