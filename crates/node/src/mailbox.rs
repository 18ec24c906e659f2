//! The way from other threads into the actor thread.

use std::sync::Arc;

use crossbeam_channel::{Receiver, Sender, unbounded};
use stakker_mio::mio::Waker;

/// Posts messages to the actor thread from any other thread. Cheap to clone.
pub struct Mailbox<T> {
    sender: Sender<T>,
    waker: Arc<Waker>,
}

impl<T> Clone for Mailbox<T> {
    fn clone(&self) -> Self {
        Self {
            sender: self.sender.clone(),
            waker: self.waker.clone(),
        }
    }
}

impl<T> Mailbox<T> {
    /// A mailbox that wakes the poll of `waker`, and the end that the actor thread empties.
    pub fn new(waker: Arc<Waker>) -> (Self, Receiver<T>) {
        let (sender, receiver) = unbounded();
        (Self { sender, waker }, receiver)
    }

    /// Hands a message over. It is dropped when the actor thread has ended.
    pub fn post(&self, message: T) {
        if self.sender.send(message).is_ok() {
            // A failed wake only delays the message until the next event.
            let _ = self.waker.wake();
        }
    }
}
