//! The replicated log: a sans-I/O consensus core ([`replica`]) and the data folder it persists to
//! ([`disk`]).

pub mod disk;
pub mod durable;
pub mod log;
pub mod message;
pub mod register;
pub mod replica;
