//! Integration tests of the command line, one module a command, with the real binary.

#![allow(clippy::unwrap_used)]

mod apply;
mod check;
mod counts;
mod diff;
mod domain;
mod explain;
mod history;
mod replace;
mod status;
mod support;
mod targets;
mod timeline;
