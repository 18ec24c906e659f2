//! Threads for work that blocks: idle ones are used again, and one more is started when all are
//! busy.
//!
//! A machine under load lets a new thread wait for its first turn much longer than one that sleeps:
//! about 4 ms against well under 1 ms where it was measured (`docs/design/stream-threads.md`).

use std::io;
use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

/// An idle thread ends after this time.
pub const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce() + Send>;

/// The pool. It does not bound the number of threads: its users bound the work.
#[derive(Debug, Clone)]
pub struct WorkerPool {
    name: &'static str,
    stack_bytes: usize,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    /// An empty pool whose threads have this name and stacks of this size.
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
    /// The system's error when a thread is needed and cannot be started; the job is dropped then.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> io::Result<()> {
        match self.sender.try_send(Box::new(job)) {
            Ok(()) => Ok(()),
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.grow(job),
        }
    }

    fn grow(&self, first: Job) -> io::Result<()> {
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

/// Starts a thread that nobody joins, for work that goes on for long.
///
/// # Errors
/// The system's error when the thread cannot be started; the work is dropped then.
pub fn spawn_detached(
    name: &str,
    stack_bytes: usize,
    work: impl FnOnce() + Send + 'static,
) -> io::Result<()> {
    let builder = thread::Builder::new().name(name.to_owned());
    builder.stack_size(stack_bytes).spawn(work).map(drop)
}
