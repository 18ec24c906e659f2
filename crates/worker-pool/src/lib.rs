//! Thread pool for blocking work: reuses idle threads, and starts another one when all are busy.
//!
//! Reuse reduces latency: on a loaded machine, a new thread is scheduled milliseconds later than a woken
//! one (`docs/design/stream-threads.md`).

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

/// Time after which an idle thread ends.
pub const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce() + Send>;

/// A pool of threads. It does not limit the number of threads; callers must limit the number of jobs.
#[derive(Debug, Clone)]
pub struct WorkerPool {
    name: &'static str,
    stack_bytes: usize,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    /// Creates a pool without threads; `name` and `stack_bytes` apply to each thread that it starts.
    pub fn new(name: &'static str, stack_bytes: usize) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            name,
            stack_bytes,
            sender,
            receiver,
        }
    }

    /// Runs a job on a thread of the pool.
    ///
    /// # Errors
    /// Returns the system's error if a new thread is needed and cannot be started; the job is dropped.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        match self.sender.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => {
                self.start_thread(job)
            }
        }
    }

    fn start_thread(&self, first: Job) -> io::Result<()> {
        let receiver = self.receiver.clone();
        let work = move || {
            first();
            while let Ok(job) = receiver.recv_timeout(IDLE_THREAD_LIFETIME) {
                job();
            }
        };
        spawn_detached(self.name, self.stack_bytes, work)
    }
}

/// Starts a thread that is never joined, for long-running work.
///
/// # Errors
/// Returns the system's error if the thread cannot be started; the work is dropped.
pub fn spawn_detached(
    name: &str,
    stack_bytes: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.stack_size(stack_bytes).spawn(work).map(drop)
}
