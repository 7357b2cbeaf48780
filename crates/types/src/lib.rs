//! Domain types shared by every comfreyhold package: keys, profiles, result codes, clocks,
//! events, HTTP bodies and the replicated declarations.

pub mod announcement;
pub mod api;
pub mod clock;
pub mod codes;
pub mod declarations;
pub mod document;
pub mod event;
pub mod hlc;
pub mod keys;
pub mod prelude;
pub mod profile;
pub mod routes;
pub mod target;
