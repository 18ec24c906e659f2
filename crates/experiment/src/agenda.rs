//! The agenda of the simulation: what happens when, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use ridgeworks_domain::RunId;
use ridgeworks_scheduling::{Event, Ticket};

use crate::engine::EngineCall;

/// Something that happens in the simulated world.
#[derive(Debug, Clone)]
pub enum Happening {
    /// The next program arrives.
    Arrival(usize),
    /// An agent makes its present call.
    Call(usize),
    /// An agent asks again after a refusal.
    Retry(usize),
    /// An agent's tool answered.
    ToolAnswered(usize),
    /// A program that its user left is closed.
    Close(usize),
    /// The dispatcher is told something.
    Tell(Box<Event>),
    /// A call reaches an engine.
    Submit {
        /// The engine.
        engine: usize,
        /// The call.
        call: EngineCall,
    },
    /// An engine's step ends.
    StepEnd(usize),
    /// A cancellation reaches an engine.
    CancelAt {
        /// The engine.
        engine: usize,
        /// The call's ticket.
        ticket: Ticket,
    },
    /// A lease on a context reaches an engine.
    RetainAt {
        /// The engine.
        engine: usize,
        /// The run.
        run: RunId,
        /// End of the lease, in microseconds.
        until: u64,
    },
    /// The order to drop a context reaches an engine.
    ReleaseAt {
        /// The engine.
        engine: usize,
        /// The run.
        run: RunId,
    },
    /// The request for a listing reaches an engine.
    ListAt(usize),
    /// A context has been moved.
    Moved {
        /// The run.
        run: RunId,
        /// The engine that it was on.
        from: usize,
        /// The engine that it goes to.
        to: usize,
    },
    /// Engines report their load.
    Report,
    /// The dispatcher's tick.
    Tick,
}

/// Happenings in order of time, then of entry.
#[derive(Debug, Default)]
pub struct Agenda {
    order: BinaryHeap<Reverse<(u64, u64)>>,
    entries: BTreeMap<u64, Happening>,
    next: u64,
}

impl Agenda {
    /// Enters a happening.
    pub fn enter(&mut self, at: u64, happening: Happening) {
        self.order.push(Reverse((at, self.next)));
        self.entries.insert(self.next, happening);
        self.next += 1;
    }

    /// Takes the next happening with its time in microseconds.
    pub fn take_next(&mut self) -> Option<(u64, Happening)> {
        let Reverse((at, number)) = self.order.pop()?;
        let happening = self.entries.remove(&number)?;
        Some((at, happening))
    }
}
