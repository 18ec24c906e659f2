//! Memory for what the gateway holds of bodies, shared by all requests.

use std::cell::Cell;
use std::rc::Rc;

/// A limit on the memory of all reservations together.
#[derive(Debug)]
pub struct MemoryBudget {
    taken: Cell<usize>,
    max_bytes: usize,
}

/// A reservation could not grow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OutOfMemoryBudget;

impl MemoryBudget {
    /// A budget of `max_bytes`.
    pub fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(Self {
            taken: Cell::new(0),
            max_bytes,
        })
    }

    /// Number of bytes that are reserved.
    pub fn taken(&self) -> usize {
        self.taken.get()
    }

    /// A reservation that has nothing yet.
    pub fn reservation(self: &Rc<Self>) -> MemoryReservation {
        MemoryReservation {
            budget: Rc::clone(self),
            bytes: 0,
        }
    }
}

/// Reserved memory, which is released on drop.
#[derive(Debug)]
pub struct MemoryReservation {
    budget: Rc<MemoryBudget>,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves `bytes` more, as far as the budget has them.
    pub fn grow(&mut self, bytes: usize) -> Result<(), OutOfMemoryBudget> {
        let taken = self.budget.taken.get().saturating_add(bytes);
        if taken > self.budget.max_bytes {
            return Err(OutOfMemoryBudget);
        }
        self.add(bytes);
        Ok(())
    }

    /// Reserves `bytes` in all, unless that leaves less than the reservation then has: a few that grow without end leave room for many
    /// small ones, and one that is alone may take half of the budget.
    pub fn resize_within_fair_share(&mut self, bytes: usize) -> Result<(), OutOfMemoryBudget> {
        if bytes <= self.bytes {
            self.shrink(self.bytes - bytes);
            return Ok(());
        }
        let more = bytes - self.bytes;
        let taken = self.budget.taken.get().saturating_add(more);
        if self.budget.max_bytes.saturating_sub(taken) < bytes {
            return Err(OutOfMemoryBudget);
        }
        self.add(more);
        Ok(())
    }

    /// Gives back `bytes`.
    fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        self.bytes -= bytes;
        self.budget.taken.set(self.budget.taken.get() - bytes);
    }

    fn add(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.budget.taken.set(self.budget.taken.get() + bytes);
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        self.shrink(self.bytes);
    }
}
