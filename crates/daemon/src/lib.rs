//! The daemons: settings, logging, HTTP, and the drivers that bind the decision cores to sockets,
//! threads and files.

pub mod http_server;
pub mod logging;
pub mod reply;
pub mod settings;
pub mod upstream;
