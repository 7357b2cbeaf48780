//! Integration tests of the simulated parts, the load generator and the local deployments.

#![allow(clippy::unwrap_used)]

mod common;
mod deployments;
mod emulator;
mod fabric;
mod load;
mod ports;
mod proxy;
mod target;
mod up;
