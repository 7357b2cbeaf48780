//! Integration tests that run the `comfreyhold` binary, one module per command.

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
