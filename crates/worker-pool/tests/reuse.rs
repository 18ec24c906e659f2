//! The pool uses idle threads again and grows when all are busy.

use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, unbounded};
use ridgeworks_worker_pool::WorkerPool;

const STACK_BYTES: usize = 64 * 1024;
const PATIENCE: Duration = Duration::from_secs(10);

#[test]
fn a_busy_thread_does_not_hold_up_the_next_job() {
    let pool = WorkerPool::new("pool", STACK_BYTES);
    let (release, released) = bounded::<()>(0);
    let (report, reports) = unbounded();
    let waiting = report.clone();
    pool.run(move || {
        let _ = released.recv();
        let _ = waiting.send("first");
    })
    .expect("a thread starts");
    pool.run(move || {
        let _ = report.send("second");
    })
    .expect("a thread starts");
    assert_eq!(reports.recv_timeout(PATIENCE), Ok("second"));
    drop(release);
    assert_eq!(reports.recv_timeout(PATIENCE), Ok("first"));
}

#[test]
fn an_idle_thread_is_used_again() {
    let pool = WorkerPool::new("pool", STACK_BYTES);
    let (report, reports) = unbounded();
    let mut seen = Vec::new();
    // A thread takes the next job only once it waits for one again, so some jobs may start threads.
    while seen
        .iter()
        .all(|thread| seen.iter().filter(|other| *other == thread).count() < 2)
    {
        let report = report.clone();
        pool.run(move || {
            let _ = report.send(thread::current().id());
        })
        .expect("a thread starts");
        seen.push(reports.recv_timeout(PATIENCE).expect("the job runs"));
    }
}
