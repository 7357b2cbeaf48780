//! Counts request results at one entry and reports the counts to the control instances, which store them.

use crate::context::{Context, lock};
use crate::settings::Role;
use comfreyhold_membership::counters::{CounterMessage, LocalCounters};
use comfreyhold_types::prelude::*;
use comfreyhold_wire::envelope::Topic;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Interval between reports; a crash loses at most the counts since the last one.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

struct Core {
    /// One set per control instance, since each confirms separately.
    by_receiver: BTreeMap<InstanceId, LocalCounters>,
    next_report: Instant,
}

/// Request counters of one entry.
pub struct EntryCounts {
    cx: Arc<Context>,
    core: Mutex<Core>,
}

impl EntryCounts {
    /// Creates empty counters for this incarnation.
    #[must_use]
    pub fn new(cx: Arc<Context>) -> Self {
        let receivers = cx.settings.with_role(Role::Control).into_keys();
        let counters =
            receivers.map(|id| (id, LocalCounters::new(cx.instance(), cx.incarnation))).collect();
        let core = Core { by_receiver: counters, next_report: cx.now() };
        Self { cx, core: Mutex::new(core) }
    }

    /// Counts a finished request.
    pub fn count_request(&self, service: ServiceId, code: ResultCode) {
        let label: &'static str = code.into();
        metrics::counter!(
            "comfreyhold_requests_total",
            "service" => service.0.to_string(),
            "result" => label
        )
        .increment(1);
        let mut core = lock(&self.core);
        for counters in core.by_receiver.values_mut() {
            counters.add(service, code, 1);
        }
    }

    /// Marks the graceful stop and reports at once.
    pub fn report_stop(&self) {
        let mut core = lock(&self.core);
        core.by_receiver.values_mut().for_each(LocalCounters::stop);
        self.send_reports(&mut core);
    }

    /// Whether at least one control instance has confirmed all counts.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        lock(&self.core).by_receiver.values().any(LocalCounters::is_confirmed)
    }

    /// Applies a control instance's confirmation; ignores other messages.
    pub fn handle_message(&self, from: InstanceId, message: &CounterMessage) {
        let CounterMessage::Confirm { number } = message else { return };
        if let Some(counters) = lock(&self.core).by_receiver.get_mut(&from) {
            counters.confirm(*number);
        }
    }

    /// Sends reports when the report interval has passed.
    pub fn tick(&self) {
        let now = self.cx.now();
        let mut core = lock(&self.core);
        if now >= core.next_report {
            core.next_report = now + REPORT_INTERVAL;
            self.send_reports(&mut core);
        }
    }

    fn send_reports(&self, core: &mut Core) {
        for (to, counters) in &mut core.by_receiver {
            if let Some(report) = counters.report() {
                self.cx.send(*to, Topic::Counters, &CounterMessage::Report(report));
            }
        }
    }
}
