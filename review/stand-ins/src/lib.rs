//! Stand-ins for the review cases: the platform's store, engines, clients and the processes under test.
//! They use the standard library only and talk over loopback addresses only.

pub mod client;
pub mod http;
pub mod json;
pub mod node;
pub mod record;
pub mod store;

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex even if another thread panicked while it held it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Whether the disruption is to be applied (`TROUBLE=0` turns it off).
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
