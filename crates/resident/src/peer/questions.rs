//! Questions over UDP that wait for their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use ridgeworks_routing::PromptRead;
use tokio::sync::oneshot;

type Answer = Option<PromptRead>;

/// The questions that are open.
#[derive(Default)]
pub struct Questions {
    last: Cell<u64>,
    open: RefCell<HashMap<u64, oneshot::Sender<Answer>>>,
}

impl Questions {
    /// A new question: its number, and where its answer comes.
    pub fn ask(&self) -> (u64, oneshot::Receiver<Answer>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        self.open.borrow_mut().insert(number, sender);
        (number, receiver)
    }

    /// An answer has come; one that nobody waits for is left out.
    pub fn answer(&self, number: u64, answer: Answer) {
        if let Some(sender) = self.open.borrow_mut().remove(&number) {
            // Whoever asked may have stopped waiting.
            let _ = sender.send(answer);
        }
    }

    /// Nobody waits for the answer any more.
    pub fn forget(&self, number: u64) {
        self.open.borrow_mut().remove(&number);
    }
}
