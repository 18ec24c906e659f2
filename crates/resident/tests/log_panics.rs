//! Panics of tasks and threads, which nothing else may tell of.

use std::sync::atomic::Ordering;
use std::thread;

use ridgeworks_resident::logging;

/// A task that panicked was gone without a line in the log.
#[test]
fn a_panic_is_told_in_the_log() {
    let counters = logging::start("node").expect("the only log of this process");
    let before = counters.queued.load(Ordering::SeqCst);
    let panicking = thread::spawn(|| panic!("for the log"));
    assert!(panicking.join().is_err());
    assert_eq!(counters.queued.load(Ordering::SeqCst), before + 1);
}
