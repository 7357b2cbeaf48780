//! Tests of control daemons and entries that start from seeds: what they know, ask, tell and are told.

#![allow(clippy::unwrap_used, clippy::panic)]

mod controls;
mod early_packets;
mod feed;
mod peers;
mod settings;
