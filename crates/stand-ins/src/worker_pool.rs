//! Threads for work that blocks: idle ones are used again, and one more is started when all are
//! busy.
//!
//! A machine under load lets a new thread wait for its first turn much longer than one that sleeps,
//! so reuse shortens the setting up of connections.

use std::thread;
use std::time::Duration;

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};

const IDLE_THREAD_LIFETIME: Duration = Duration::from_secs(30);

type Job = Box<dyn FnOnce() + Send>;

/// The pool.
#[derive(Debug)]
pub struct WorkerPool {
    stack_bytes: usize,
    sender: Sender<Job>,
    receiver: Receiver<Job>,
}

impl WorkerPool {
    /// An empty pool whose threads have stacks of this size.
    pub fn new(stack_bytes: usize) -> Self {
        let (sender, receiver) = bounded(0);
        Self {
            stack_bytes,
            sender,
            receiver,
        }
    }

    /// Runs a job on a thread of the pool.
    ///
    /// # Panics
    /// Panics when the machine has no thread left.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) {
        match self.sender.try_send(Box::new(job)) {
            Ok(()) => {}
            Err(TrySendError::Full(job) | TrySendError::Disconnected(job)) => self.grow(job),
        }
    }

    fn grow(&self, first: Job) {
        let receiver = self.receiver.clone();
        let work = move || {
            first();
            while let Ok(job) = receiver.recv_timeout(IDLE_THREAD_LIFETIME) {
                job();
            }
        };
        let spawned = thread::Builder::new()
            .stack_size(self.stack_bytes)
            .spawn(work);
        spawned.expect("the machine has a thread left");
    }
}
