//! Agreement between control instances: a replicated log ([`replica`]), a replicated register
//! ([`register`]), and the data folder that the log is stored in ([`disk`]).
//!
//! The state machines do no I/O: the daemon passes them messages and times, and carries out the actions
//! that they return.

pub mod disk;
pub mod durable;
pub mod log;
pub mod message;
pub mod register;
pub mod replica;
