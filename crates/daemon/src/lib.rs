//! The control and entry daemons: settings, logging, HTTP, and the drivers that connect the state machines of
//! the other crates to sockets, threads and files.

pub mod admin;
pub mod context;
pub mod control;
pub mod control_api;
pub mod control_counts;
pub mod control_run;
pub mod entry;
pub mod entry_admin;
mod entry_body;
mod entry_changes;
pub mod entry_counts;
mod entry_exchange;
pub mod entry_http;
pub mod entry_keys;
pub mod entry_packets;
pub mod entry_requests;
pub mod entry_roles;
pub mod entry_run;
pub mod entry_streams;
pub mod entry_view;
pub mod http_server;
pub mod lifecycle;
pub mod load_reports;
pub mod logging;
pub mod peers;
pub mod process;
pub mod reply;
pub mod settings;
pub mod traffic;
pub mod upstream;
