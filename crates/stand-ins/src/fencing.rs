//! Fencing tokens: a lower token than one seen before is refused.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::failure::Failure;

/// The highest fencing token seen.
#[derive(Debug, Default)]
pub struct Fence {
    highest: AtomicU64,
}

impl Fence {
    /// Takes a token unless a higher one came before.
    pub fn admit(&self, token: u64) -> Result<(), Failure> {
        let before = self.highest.fetch_max(token, Ordering::SeqCst);
        if before > token {
            return Err(Failure::StaleToken(before));
        }
        Ok(())
    }
}
