//! The protocol between comfreyhold processes: Cap'n Proto envelopes over capnp-rpc, with message
//! bodies in postcard. Messages are one-way; they may be lost or delivered out of order. Between processes
//! without instance numbers, [`exchange`] offers calls with a response.
//!
//! `src/peer_capnp.rs` is generated from `schema/peer.capnp` with the `capnpc` crate and committed, so
//! that a build needs no generator.

pub mod envelope;
pub mod error;
pub mod exchange;
#[allow(missing_docs, clippy::all, clippy::pedantic, clippy::unwrap_used, clippy::panic, clippy::unimplemented)]
#[rustfmt::skip]
pub mod peer_capnp;
mod peer_link;
pub mod progress;
mod server;
pub mod stats;
pub mod transport;
