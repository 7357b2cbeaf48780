//! Log lines of the daemons that a test runs, by thread: each test runs its daemons on its own.

use std::cell::RefCell;
use std::sync::Once;

thread_local! {
    /// `None` on threads whose test reads no lines.
    static LINES: RefCell<Option<Vec<String>>> = const { RefCell::new(None) };
}

struct LineLog;

impl log::Log for LineLog {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.with_borrow_mut(|lines| {
            if let Some(lines) = lines {
                lines.push(record.args().to_string());
            }
        });
    }

    fn flush(&self) {}
}

/// Forgets the lines of this thread, and keeps all later ones.
pub fn collect() {
    static INSTALLED: Once = Once::new();
    INSTALLED.call_once(|| {
        log::set_logger(&LineLog).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    LINES.set(Some(Vec::new()));
}

/// The decisions of a kind that were logged on this thread since [`collect`].
pub fn decisions(kind: &str) -> Vec<serde_json::Value> {
    let prefix = format!("\"kind\":\"{kind}\",");
    let lines = all().into_iter().filter(|line| line.starts_with(&prefix));
    lines.map(|line| serde_json::from_str(&format!("{{{line}}}")).unwrap()).collect()
}

/// The lines on this thread since [`collect`].
pub fn all() -> Vec<String> {
    LINES.with_borrow(Clone::clone).unwrap_or_default()
}
