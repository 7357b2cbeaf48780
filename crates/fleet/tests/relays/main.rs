//! Heartbeats by relay in fleets of many control daemons: the choice of partners, what is passed on, and models in
//! virtual time.

#![allow(clippy::unwrap_used, clippy::panic)]

mod choice;
mod costs;
mod failures;
mod links;
mod model;
mod properties;
