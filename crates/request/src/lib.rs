//! Admission of requests: slots, queues, cold ramps, retries, deadlines and the idempotency
//! register, as state machines without sockets, threads or clocks.

pub mod admission;
pub mod attempt;
pub mod baselines;
pub mod client;
mod client_changes;
pub mod client_event;
mod client_keepalive;
mod client_reports;
pub mod directory;
pub mod dispatcher;
pub mod dispatcher_event;
mod dispatcher_refusals;
mod dispatcher_takeover;
mod dispatcher_witness;
pub mod grants;
pub mod key_client;
pub mod key_refill;
pub mod key_replica;
pub mod keys;
pub mod message;
mod open_request;
pub mod queue;
pub mod ramp;
pub mod releases;
pub mod reply_cache;
pub mod retry_budget;
pub mod single_dispatcher;
pub mod takeover;
pub mod target_slots;
pub mod watchers;
pub mod witness;
