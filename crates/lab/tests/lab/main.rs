//! Integration tests of the stand-ins and the load generator.

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
