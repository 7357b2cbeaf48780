//! Encoded responses that many receivers ask for. A copy of the targets and routes, or a difference to one base, is
//! encoded once and shared.
//!
//! An encoding is put together from parts. The remaining cold period of a target depends on the time of the response,
//! so an encoding has gaps in the place of these periods.

use super::feed::FeedState;
use crate::counters::MessageKind;
use crate::messages::{EntryUpdate, FleetResponse, WatchCursor};
use comfreyhold_consensus::register::{Ballot, RegisterValue};
use comfreyhold_membership::announcements::{Announcements, TargetReport};
use comfreyhold_wire::envelope::{MAX_BODY_BYTES, encode_body};
use comfreyhold_wire::error::WireError;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of encodings kept of each part. Entries follow a daemon within a few revisions.
const MAX_KEPT: usize = 4;

/// Time after which an unused encoding is dropped, and after which a full copy is encoded anew. It covers a common
/// start, and bounds the memory at rest.
const KEPT_FOR: Duration = Duration::from_secs(5);

/// Part of the targets that may have changed since a full copy which is still shared. Those that have changed follow
/// it in the same message.
const MAX_CHANGED_PART: usize = 8;

/// Number of changed targets up to which a full copy of any size is still shared.
const MIN_CHANGED: usize = 16;

/// Which differences between a shared encoding and a new one are permitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sharing {
    /// None: a shared encoding has the same bytes as a new one.
    Exact,
    /// The numbers of repeated announcements may be older, and a target may be contained twice, of which the last
    /// one counts. Targets repeat their announcements all the time, so that encodings would hardly be shared otherwise.
    Loose,
}

/// An update for an entry, encoded as a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EncodedUpdate {
    /// The encoded response.
    pub body: Vec<u8>,
    /// What the update brings.
    pub kind: MessageKind,
    /// Whether it brings all targets or the whole route table.
    pub is_full_copy: bool,
}

/// Number of encodings made since the start, of each part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EncodingCounts {
    /// Lists of targets.
    pub targets: u64,
    /// Declarations.
    pub declarations: u64,
    /// Values of the register.
    pub values: u64,
}

/// Encoded target reports, without their number.
struct EncodedTargets {
    since: u64,
    revision: u64,
    record_changes: u64,
    made: Instant,
    used: Instant,
    count: usize,
    bytes: Vec<u8>,
    /// Positions at which the remaining cold periods are inserted, and the ends of these periods.
    gaps: Vec<(usize, Instant)>,
}

/// Encoded declarations, as an `Option`.
struct EncodedDeclarations {
    ballot: Ballot,
    base: Option<u64>,
    used: Instant,
    is_full: bool,
    bytes: Vec<u8>,
}

/// The newest encodings.
#[derive(Default)]
pub struct Encodings {
    targets: VecDeque<EncodedTargets>,
    declarations: VecDeque<EncodedDeclarations>,
    value: Option<(Ballot, Instant, Vec<u8>)>,
    counts: EncodingCounts,
}

impl Encodings {
    /// Encodes the changes since an entry's cursor as a response to its long poll.
    ///
    /// # Errors
    /// The response can't be encoded, or exceeds the maximum size of a message.
    pub fn update(
        &mut self,
        feed: &FeedState<'_>,
        cursor: &WatchCursor,
        sharing: Sharing,
        now: Instant,
    ) -> Result<EncodedUpdate, WireError> {
        let all_targets = cursor.source != feed.incarnation;
        let since = if all_targets { 0 } else { cursor.targets };
        let revision = feed.targets.revision();
        let empty = EntryUpdate {
            source: feed.incarnation,
            revision,
            all_targets,
            ..EntryUpdate::default()
        };
        let mut body = encode_body(&FleetResponse::News(Box::new(empty)))?;
        // The last two bytes are the number of targets and the absent declarations.
        body.truncate(body.len().saturating_sub(2));
        let mut count = 0;
        if since < revision || since == 0 {
            count = self.append_targets(&mut body, feed.targets, since, sharing, now)?;
        } else {
            append(&mut body, &0_usize)?;
        }
        let is_full_table = self.append_declarations(&mut body, feed, cursor, now)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        let kind = match (all_targets, count, is_full_table) {
            (true, ..) => MessageKind::WatchFull,
            (false, 0, None) => MessageKind::WatchIdle,
            _ => MessageKind::WatchChanges,
        };
        let is_full_copy = all_targets || is_full_table == Some(true);
        Ok(EncodedUpdate { body, kind, is_full_copy })
    }

    /// Encodes a chosen value as a response to the fetch of the newest one.
    ///
    /// # Errors
    /// The response can't be encoded, or exceeds the maximum size of a message.
    pub fn value(
        &mut self,
        value: &Arc<RegisterValue>,
        now: Instant,
    ) -> Result<Vec<u8>, WireError> {
        if let Some((ballot, used, body)) = &mut self.value
            && *ballot == value.ballot
        {
            *used = now;
            return Ok(body.clone());
        }
        self.counts.values += 1;
        let body = encode_body(&FleetResponse::Newest(Some(Arc::clone(value))))?;
        self.value = Some((value.ballot, now, body.clone()));
        Ok(body)
    }

    /// Drops the encodings that have not been used lately.
    pub fn drop_unused(&mut self, now: Instant) {
        let is_recent = |used: Instant| now < used + KEPT_FOR;
        self.targets.retain(|encoded| is_recent(encoded.used));
        self.declarations.retain(|encoded| is_recent(encoded.used));
        self.value.take_if(|(_, used, _)| !is_recent(*used));
    }

    /// Number of encodings made since the start.
    #[must_use]
    pub fn counts(&self) -> EncodingCounts {
        self.counts
    }

    /// Number of encodings that are kept.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.targets.len() + self.declarations.len() + usize::from(self.value.is_some())
    }

    /// Appends the targets that changed after a revision. Returns their number.
    fn append_targets(
        &mut self,
        body: &mut Vec<u8>,
        targets: &Announcements,
        since: u64,
        sharing: Sharing,
        now: Instant,
    ) -> Result<usize, WireError> {
        let shared = self.targets.iter().rposition(|encoded| match sharing {
            Sharing::Exact => encoded.is_exact(targets, since),
            Sharing::Loose => encoded.is_current(targets, since, now),
        });
        let index = match shared {
            Some(index) => index,
            None => {
                self.counts.targets += 1;
                let encoded = EncodedTargets::new(targets, since, now)?;
                push_bounded(&mut self.targets, encoded)
            }
        };
        let Some(encoded) = self.targets.get_mut(index) else { return Ok(0) };
        encoded.used = now;
        let is_current = encoded.revision == targets.revision();
        let newer: Vec<TargetReport> =
            if is_current { Vec::new() } else { targets.changed_since(encoded.revision, now) };
        let count = encoded.count + newer.len();
        append(body, &count)?;
        encoded.append_to(body, now)?;
        for report in &newer {
            append(body, report)?;
        }
        Ok(count)
    }

    /// Appends the declarations if they are newer than the entry's. Returns whether they have the whole table; `None`
    /// if they are not newer.
    fn append_declarations(
        &mut self,
        body: &mut Vec<u8>,
        feed: &FeedState<'_>,
        cursor: &WatchCursor,
        now: Instant,
    ) -> Result<Option<bool>, WireError> {
        let is_newer = |value: &&Arc<RegisterValue>| value.state.change > cursor.change;
        let Some(value) = feed.chosen.as_ref().filter(is_newer) else {
            body.push(0);
            return Ok(None);
        };
        let base = feed.base.as_ref().map(|base| base.state.change);
        let is_same =
            |encoded: &EncodedDeclarations| encoded.ballot == value.ballot && encoded.base == base;
        let index = match self.declarations.iter().position(is_same) {
            Some(index) => index,
            None => {
                self.counts.declarations += 1;
                let declarations = feed.declarations(cursor);
                let is_full = declarations.as_ref().is_some_and(|update| update.has_full_table());
                let mut bytes = Vec::new();
                append(&mut bytes, &declarations)?;
                let (ballot, used) = (value.ballot, now);
                let encoded = EncodedDeclarations { ballot, base, used, is_full, bytes };
                push_bounded(&mut self.declarations, encoded)
            }
        };
        let Some(encoded) = self.declarations.get_mut(index) else { return Ok(None) };
        encoded.used = now;
        body.extend_from_slice(&encoded.bytes);
        Ok(Some(encoded.is_full))
    }
}

impl EncodedTargets {
    fn new(targets: &Announcements, since: u64, now: Instant) -> Result<Self, WireError> {
        let (mut bytes, mut gaps, mut count) = (Vec::new(), Vec::new(), 0);
        for (mut report, cold_until) in targets.changed_with_cold_end(since, now) {
            count += 1;
            report.announcement.cold_ms = 0;
            append(&mut bytes, &report)?;
            if cold_until > now {
                // The last two bytes are the cold period and whether the target is silent.
                let end = bytes.len().saturating_sub(2);
                bytes.remove(end);
                gaps.push((end, cold_until));
            }
        }
        Ok(Self {
            since,
            revision: targets.revision(),
            record_changes: targets.record_changes(),
            made: now,
            used: now,
            count,
            bytes,
            gaps,
        })
    }

    /// Whether an encoding made now would have the same bytes.
    fn is_exact(&self, targets: &Announcements, since: u64) -> bool {
        (self.since, self.record_changes) == (since, targets.record_changes())
            && self.revision == targets.revision()
    }

    /// Whether this encoding and the changes since then state the same as one made now.
    fn is_current(&self, targets: &Announcements, since: u64, now: Instant) -> bool {
        if self.since != since || now >= self.made + KEPT_FOR {
            return false;
        }
        self.revision == targets.revision()
            || (since == 0
                && targets.changed_count(self.revision)
                    <= (self.count / MAX_CHANGED_PART).max(MIN_CHANGED))
    }

    /// Appends the reports with the cold periods that remain at `now`.
    fn append_to(&self, body: &mut Vec<u8>, now: Instant) -> Result<(), WireError> {
        let mut done = 0;
        for (position, cold_until) in &self.gaps {
            body.extend_from_slice(self.bytes.get(done..*position).unwrap_or_default());
            let remaining = cold_until.saturating_duration_since(now).as_millis();
            append(body, &u64::try_from(remaining).unwrap_or(u64::MAX))?;
            done = *position;
        }
        body.extend_from_slice(self.bytes.get(done..).unwrap_or_default());
        Ok(())
    }
}

/// Appends an encoding, and removes the oldest one beyond [`MAX_KEPT`]. Returns the position of the new one.
fn push_bounded<T>(kept: &mut VecDeque<T>, encoding: T) -> usize {
    if kept.len() >= MAX_KEPT {
        kept.pop_front();
    }
    kept.push_back(encoding);
    kept.len() - 1
}

fn append<T: Serialize>(body: &mut Vec<u8>, part: &T) -> Result<(), WireError> {
    body.extend(encode_body(part)?);
    Ok(())
}
