//! Runs `stakker` actors on the thread of the networking runtime.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use stakker::Stakker;
use tokio::sync::Notify;

/// The actor system of a process. Deferred calls run after [`ActorRuntime::wake`].
#[derive(Clone)]
pub struct ActorRuntime {
    stakker: Rc<RefCell<Stakker>>,
    wake: Rc<Notify>,
}

impl Default for ActorRuntime {
    fn default() -> Self {
        Self {
            stakker: Rc::new(RefCell::new(Stakker::new(Instant::now()))),
            wake: Rc::new(Notify::new()),
        }
    }
}

impl ActorRuntime {
    /// Borrows the actor system, to create actors.
    pub fn with<R>(&self, create: impl FnOnce(&mut Stakker) -> R) -> R {
        create(&mut self.stakker.borrow_mut())
    }

    /// To be called after a call was deferred; [`ActorRuntime::run`] then runs it.
    pub fn wake(&self) {
        self.wake.notify_one();
    }

    /// Runs actors and their timers until the process ends.
    pub async fn run(self) {
        loop {
            let next_expiry = {
                let mut stakker = self.stakker.borrow_mut();
                stakker.run(Instant::now(), false);
                stakker.next_expiry()
            };
            match next_expiry {
                Some(expiry) => tokio::select! {
                    () = self.wake.notified() => {}
                    () = tokio::time::sleep_until(expiry.into()) => {}
                },
                None => self.wake.notified().await,
            }
        }
    }
}
