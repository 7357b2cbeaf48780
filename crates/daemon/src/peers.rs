//! Handling of messages and events of other processes that entries and control daemons have in common.

use crate::context::Context;
use comfreyhold_membership::detector::{Detector, MemberChange};
use comfreyhold_membership::members::MemberUpdate;
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::Envelope;
use comfreyhold_wire::error::WireError;

/// Passes an envelope to `handle` unless it comes from an earlier incarnation of its sender. Logs the error
/// if the envelope is malformed.
pub fn deliver(
    cx: &Context,
    envelope: &Envelope,
    handle: impl FnOnce(&Envelope) -> Result<(), WireError>,
) {
    if !cx.accept(envelope) {
        return;
    }
    if let Err(error) = handle(envelope) {
        log::warn!("{} from {}: {error}", error.code().number(), envelope.from);
    }
}

/// Records a member's state change in the timeline.
pub fn record_member_change(cx: &Context, change: MemberChange, member: &MemberUpdate) {
    let kind = match change {
        MemberChange::Alive | MemberChange::Restarted => EventKind::PeerAlive,
        MemberChange::Suspected => EventKind::PeerSuspected,
        MemberChange::Dead | MemberChange::Left => EventKind::PeerDead,
    };
    let fields = [("peer", member.id.to_string()), ("change", format!("{change:?}"))];
    cx.record(kind, &fields);
}

/// Records in the timeline that a target joined, changed or was lost.
pub fn record_target_change(cx: &Context, kind: EventKind, target: &TargetRecord) {
    let fields = [
        ("service", target.service.clone()),
        ("address", target.address.to_string()),
        ("incarnation", target.incarnation.0.to_string()),
        ("state", target.state.to_string()),
    ];
    cx.record(kind, &fields);
}

/// Records in the timeline that a connection timed out or broke.
pub fn record_closed_connection(cx: &Context, peer: InstanceId, reason: &str) {
    cx.record(
        EventKind::ConnectionSilent,
        &[("peer", peer.to_string()), ("reason", reason.to_owned())],
    );
}

/// Stops this process, since a later one runs under the same instance number.
pub fn stop_superseded(cx: &Context, newer: Incarnation) {
    log::error!(
        "instance {} was started again as {newer}; this process is outdated",
        cx.instance()
    );
    cx.mark_superseded();
}

/// Copies each member's route from the failure detector: direct, or through another member.
pub fn set_routes(cx: &Context, detector: &Detector) {
    for member in detector.members() {
        cx.set_route(member.update.id, member.via);
    }
}
