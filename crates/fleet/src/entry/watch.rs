//! Watches control daemons for targets and declarations.

use super::{Entry, PacketCodec, WATCHED};
use crate::control::HOLD_WATCH;
use crate::messages::{FleetRequest, FleetResponse, News, Watch};
use serde_json::json;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Time in which a daemon must answer a question. It holds a question without news for `HOLD_WATCH`.
const WATCH_DEADLINE: Duration = HOLD_WATCH.saturating_add(Duration::from_millis(600));

/// Pause between two questions, in which changes gather.
const WATCH_PAUSE: Duration = Duration::from_millis(40);

/// Pause after a question that was not answered.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Time in which a connection must be established until the routes are known. The daemons start at the
/// same time after a loss of power, and those that are up answer within a few milliseconds.
const FIRST_CONNECT: Duration = Duration::from_millis(80);

/// Pause after a question that was not answered, until the routes are known.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Time that the first source has to bring the targets and routes before further ones ask for them too. Both
/// at once would take twice as long over a thin link.
const FIRST_SOURCE_TURN: Duration = Duration::from_millis(400);

/// Questions after which an entry asks again which control daemons there are, and looks whether it can watch one
/// of its own domain: about every 10 s, since nothing depends on it as long as both sources answer.
const LOOK_EVERY: u32 = 20;

/// The source that is of the own domain if one is there.
const HOME_SOURCE: usize = 0;

/// Reason for which a daemon is given up that does not keep to the protocol.
const OTHER_ANSWER: &str = "answered with something else";

impl<C: PacketCodec> Entry<C> {
    pub(super) async fn run_watch(self: Rc<Self>, source: usize) {
        let mut asked: u32 = 0;
        if source > 0 {
            // Either the first source has brought the routes, or its turn is over.
            tokio::time::timeout(FIRST_SOURCE_TURN, self.joined.notified()).await.ok();
        }
        loop {
            let Some(control) = self.control_to_watch(source) else {
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            };
            let joined = self.view.borrow().routing().change > 0;
            self.links.limit_connects(if joined { None } else { Some(FIRST_CONNECT) });
            let outcome = if asked.is_multiple_of(LOOK_EVERY) {
                self.ask_for_controls(source, control).await
            } else {
                self.ask_for_news(source, control).await
            };
            if let Err(reason) = outcome {
                self.lose_control(source, control, &reason);
                // The next daemon is asked first which others there are.
                asked = 0;
                tokio::time::sleep(if joined { RETRY_PAUSE } else { FIRST_RETRY_PAUSE }).await;
            } else {
                asked = asked.wrapping_add(1);
            }
        }
    }

    async fn ask_for_news(&self, source: usize, control: SocketAddr) -> Result<(), String> {
        let question = self.view.borrow().question(source);
        let request = FleetRequest::Watch(question);
        match self.links.call(control, &request, WATCH_DEADLINE).await {
            Ok(FleetResponse::News(news)) => {
                self.take_news(source, control, &question, *news);
                tokio::time::sleep(WATCH_PAUSE).await;
                Ok(())
            }
            Ok(_) => Err(OTHER_ANSWER.to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    /// Asks which control daemons there are. Entries that start together spread over all of them by that.
    async fn ask_for_controls(&self, source: usize, control: SocketAddr) -> Result<(), String> {
        match self.links.call(control, &FleetRequest::Controls, WATCH_DEADLINE).await {
            Ok(FleetResponse::Controls(named)) => {
                let now = self.clock.now();
                let mut controls = self.controls.borrow_mut();
                controls.named(&named, now);
                if source == HOME_SOURCE && controls.should_return(control, now) {
                    self.watching.borrow_mut()[source] = None;
                }
                Ok(())
            }
            Ok(_) => Err(OTHER_ANSWER.to_owned()),
            Err(error) => Err(error.to_string()),
        }
    }

    fn control_to_watch(&self, source: usize) -> Option<SocketAddr> {
        let mut watching = self.watching.borrow_mut();
        let taken: Vec<SocketAddr> =
            (0..WATCHED).filter(|other| *other != source).filter_map(|o| watching[o]).collect();
        let home = source == HOME_SOURCE;
        let choose = || self.controls.borrow().choose(home, &taken, self.clock.now());
        // With fewer daemons than sources, one daemon serves for both.
        let chosen = watching[source].or_else(choose);
        watching[source] = chosen;
        chosen
    }

    fn lose_control(&self, source: usize, control: SocketAddr, reason: &str) {
        self.controls.borrow_mut().failed(control, self.clock.now());
        self.watching.borrow_mut()[source] = None;
        self.record("control-lost", || json!({"control": control, "reason": reason}));
    }

    fn take_news(&self, source: usize, control: SocketAddr, question: &Watch, news: News) {
        let now = self.clock.now();
        self.last_news.set(now);
        if news.source != question.source {
            self.record("control-watched", || json!({"control": control}));
        }
        let changes = self.view.borrow_mut().take(source, question, news, now);
        for spec in changes.targets {
            let told = spec.clone();
            if self.balancer.borrow_mut().set_target(spec, now) {
                self.record("target", || {
                    json!({
                        "target": told.id.to_string(),
                        "service": told.service,
                        "address": told.address,
                        "domain": told.domain.to_string(),
                        "availability": told.availability.to_string(),
                        "silent": told.silent,
                        "born_ms": told.born_ms,
                        "cold_ms": told.cold_until.saturating_duration_since(now).as_millis(),
                        "control": control,
                    })
                });
            }
        }
        if changes.routing {
            let routing = self.view.borrow().routing().clone();
            let (change, withdrawn) = (routing.change, routing.withdrawn.clone());
            let version = routing.table.as_ref().map(|table| table.version);
            if self.balancer.borrow_mut().set_routing(routing, now) {
                self.joined.notify_waiters();
                self.record("declarations", || {
                    json!({
                        "change": change,
                        "version": version,
                        "withdrawn": withdrawn,
                        "control": control,
                    })
                });
            }
        }
        self.update_readiness();
    }
}
