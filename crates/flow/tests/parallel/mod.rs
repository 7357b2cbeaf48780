//! Runs plays on several threads. Each play depends on its seed only, so that the results are those of one thread.

use std::panic::resume_unwind;
use std::sync::Mutex;
use std::thread;

/// More threads would only wait for each other where several tests run at once.
const MAX_THREADS: usize = 6;

/// Threads that a test uses.
pub fn threads() -> usize {
    thread::available_parallelism().map_or(1, usize::from).min(MAX_THREADS)
}

/// Runs a function for each item. The results are in the order of the items.
pub fn map<T: Send, R: Send>(
    items: impl IntoIterator<Item = T>,
    run: impl Fn(T) -> R + Sync,
) -> Vec<R> {
    let waiting = Mutex::new(items.into_iter().collect::<Vec<T>>().into_iter().enumerate());
    let next = || waiting.lock().unwrap().next();
    let work = || {
        let mut results = Vec::new();
        while let Some((index, item)) = next() {
            results.push((index, run(item)));
        }
        results
    };
    let mut results: Vec<(usize, R)> = thread::scope(|scope| {
        let workers: Vec<_> = (0..threads()).map(|_| scope.spawn(work)).collect();
        workers
            .into_iter()
            .flat_map(|worker| worker.join().unwrap_or_else(|panic| resume_unwind(panic)))
            .collect()
    });
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
