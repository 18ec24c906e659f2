//! Tests that jobs do not wait for busy threads, and that the pool reuses idle threads.

use std::thread;
use std::time::Duration;

use crossbeam_channel::{bounded, unbounded};
use ridgeworks_worker_pool::WorkerPool;

const STACK_BYTES: usize = 64 * 1024;
const TIMEOUT: Duration = Duration::from_secs(10);

#[test]
fn a_job_runs_while_another_one_blocks() {
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
    assert_eq!(reports.recv_timeout(TIMEOUT), Ok("second"));
    drop(release);
    assert_eq!(reports.recv_timeout(TIMEOUT), Ok("first"));
}

#[test]
fn an_idle_thread_is_reused() {
    let pool = WorkerPool::new("pool", STACK_BYTES);
    let (report, reports) = unbounded();
    let mut seen = Vec::new();
    // The previous thread may not be idle yet when the next job starts, so some jobs start new threads.
    while seen
        .iter()
        .all(|thread| seen.iter().filter(|other| *other == thread).count() < 2)
    {
        let report = report.clone();
        pool.run(move || {
            let _ = report.send(thread::current().id());
        })
        .expect("a thread starts");
        seen.push(reports.recv_timeout(TIMEOUT).expect("the job runs"));
    }
}
