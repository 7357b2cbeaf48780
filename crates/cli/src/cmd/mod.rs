//! The commands, one module per command.

pub mod apply;
pub mod check;
pub mod counts;
pub mod diff;
pub mod domain;
pub mod explain;
pub mod history;
pub mod replace;
pub mod status;
pub mod targets;
pub mod timeline;
