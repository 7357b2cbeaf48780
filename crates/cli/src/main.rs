//! CLI
fn main() {}
