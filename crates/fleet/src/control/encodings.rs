//! Encoded responses that many receivers ask for. A copy of the targets and routes, or a difference to one base, is
//! encoded once and shared.
//!
//! An encoding is put together from parts. The remaining cold period of a target depends on the time of the response,
//! so an encoding has gaps in the place of these periods.

use super::feed::FeedState;
use crate::counters::MessageKind;
use crate::messages::{CopyKey, CopyPart, EntryUpdate, FleetResponse, PartRequest, WatchCursor};
use comfreyhold_consensus::register::{Ballot, RegisterValue};
use comfreyhold_membership::announcements::{Announcements, TargetReport};
use comfreyhold_wire::envelope::{MAX_BODY_BYTES, encode_body};
use comfreyhold_wire::error::WireError;
use serde::Serialize;
use std::collections::VecDeque;
use std::sync::Arc;
use std::time::{Duration, Instant};
use xxhash_rust::xxh3::xxh3_64;

/// Maximum number of encodings kept of each part. Entries follow a daemon within a few revisions.
const MAX_KEPT: usize = 4;

/// Size from which encoded declarations are offered, and sent in parts, in bytes. Smaller ones hold up the other changes on
/// the slowest link (1.5 Mbit/s) for less than a tenth of a second.
const MIN_OFFERED_BYTES: usize = 16 * 1024;

/// Size of a part, in bytes. It takes the slowest link 44 ms, in which neither changes of targets nor callers' packets
/// arrive.
const PART_BYTES: usize = 8 * 1024;

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
    key: CopyKey,
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
            is_informed: feed.is_informed,
            ..EntryUpdate::default()
        };
        let mut body = encode_body(&FleetResponse::News(Box::new(empty)))?;
        // The last three bytes are the number of targets, the absent declarations and the absent offer.
        body.truncate(body.len().saturating_sub(3));
        let mut count = 0;
        if since < revision || since == 0 {
            count = self.append_targets(&mut body, feed.targets, since, sharing, now)?;
        } else {
            append(&mut body, &0_usize)?;
        }
        let appended = self.append_declarations(&mut body, feed, cursor, now)?;
        if body.len() > MAX_BODY_BYTES {
            return Err(WireError::FrameTooLarge(body.len()));
        }
        let kind = match (all_targets, count, appended) {
            (true, ..) => MessageKind::WatchFull,
            (false, 0, Appended::Nothing) => MessageKind::WatchIdle,
            _ => MessageKind::WatchChanges,
        };
        let is_full_copy = all_targets || appended == Appended::FullTable;
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

    /// Returns the next part of the copy that an entry has begun, or else the first one of the newest declarations. `None`
    /// if they are not newer than the entry's.
    ///
    /// # Errors
    /// The declarations can't be encoded.
    pub fn part(
        &mut self,
        feed: &FeedState<'_>,
        request: &PartRequest,
        now: Instant,
    ) -> Result<Option<CopyPart>, WireError> {
        let is_begun = |encoded: &EncodedDeclarations| Some(encoded.key) == request.begun;
        let index = match self.declarations.iter().position(is_begun) {
            Some(index) => index,
            None => {
                let cursor = WatchCursor { change: request.change, ..WatchCursor::default() };
                match self.newer_declarations(feed, &cursor, now)? {
                    Some(index) => index,
                    None => return Ok(None),
                }
            }
        };
        // A copy that entries still fetch becomes the last one to be dropped, whenever it was made.
        let Some(mut encoded) = self.declarations.remove(index) else { return Ok(None) };
        encoded.used = now;
        self.declarations.push_back(encoded);
        let Some(encoded) = self.declarations.back() else { return Ok(None) };
        let is_begun = Some(encoded.key) == request.begun;
        let offset = usize::try_from(request.offset).unwrap_or(usize::MAX);
        let offset = if is_begun && offset < encoded.bytes.len() { offset } else { 0 };
        let bytes = encoded.bytes.iter().skip(offset).take(PART_BYTES).copied().collect();
        Ok(Some(CopyPart { key: encoded.key, offset: offset as u64, bytes }))
    }

    /// Appends the declarations if they are newer than the entry's, or offers them if they are large.
    fn append_declarations(
        &mut self,
        body: &mut Vec<u8>,
        feed: &FeedState<'_>,
        cursor: &WatchCursor,
        now: Instant,
    ) -> Result<Appended, WireError> {
        let is_offered = feed.chosen.as_ref().is_some_and(|v| v.state.change <= cursor.offered);
        let index = if is_offered { None } else { self.newer_declarations(feed, cursor, now)? };
        let Some(encoded) = index.and_then(|index| self.declarations.get_mut(index)) else {
            body.extend([0, 0]);
            return Ok(Appended::Nothing);
        };
        encoded.used = now;
        if encoded.bytes.len() > MIN_OFFERED_BYTES {
            body.push(0);
            append(body, &Some(encoded.key.change))?;
            return Ok(Appended::Offer);
        }
        body.extend_from_slice(&encoded.bytes);
        body.push(0);
        Ok(if encoded.is_full { Appended::FullTable } else { Appended::Difference })
    }

    /// Encodes the declarations, unless that is done already. Returns the position of the encoding; `None` if they are not
    /// newer than the entry's.
    fn newer_declarations(
        &mut self,
        feed: &FeedState<'_>,
        cursor: &WatchCursor,
        now: Instant,
    ) -> Result<Option<usize>, WireError> {
        let is_newer = |value: &&Arc<RegisterValue>| value.state.change > cursor.change;
        let Some(value) = feed.chosen.as_ref().filter(is_newer) else { return Ok(None) };
        let change = value.state.change;
        let base = feed.base.as_ref().map(|base| base.state.change);
        let is_same = |e: &EncodedDeclarations| (e.key.base, e.key.change) == (base, change);
        if let Some(index) = self.declarations.iter().position(is_same) {
            return Ok(Some(index));
        }
        self.counts.declarations += 1;
        let declarations = feed.declarations(cursor);
        let is_full = declarations.as_ref().is_some_and(|update| update.has_full_table());
        let mut bytes = Vec::new();
        append(&mut bytes, &declarations)?;
        let (length, hash) = (bytes.len() as u64, xxh3_64(&bytes));
        let key = CopyKey { base, change, length, hash };
        let encoded = EncodedDeclarations { key, used: now, is_full, bytes };
        Ok(Some(push_bounded(&mut self.declarations, encoded)))
    }
}

/// What was appended to an update for newer declarations.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Appended {
    Nothing,
    Difference,
    FullTable,
    Offer,
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
