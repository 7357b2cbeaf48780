//! Tests of control daemons and entries: their settings, the discovery of control daemons from seeds, and the
//! updates from control daemons to entries.

#![allow(clippy::unwrap_used, clippy::panic)]

mod capacity;
mod common_start;
mod contention;
mod controls;
mod counters;
mod cut_off;
mod early_packets;
mod encodings;
mod feed;
mod folders;
mod large_tables;
mod late_orders;
mod link;
mod load;
mod log_lines;
mod peers;
mod saves;
mod settings;
mod stalls;
mod stops;
