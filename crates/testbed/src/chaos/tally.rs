//! Counts why requests had no answer, for people who look for the cause.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Mutex, PoisonError};

use super::sending::SendFailure;

/// Failures by request and cause; shared between clients.
#[derive(Debug, Default)]
pub struct Tally {
    counts: Mutex<BTreeMap<(&'static str, String), usize>>,
}

impl Tally {
    /// Counts a sending that brought no answer.
    pub fn add(&self, request: &'static str, failure: &SendFailure) {
        let cause = match failure {
            SendFailure::Refused(error) if error.retry_after_ms.is_some() => {
                format!("{:?}, come back", error.code)
            }
            SendFailure::Refused(error) => format!("{:?}, final", error.code),
            other => format!("{other:?}"),
        };
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        *counts.entry((request, cause)).or_default() += 1;
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        for ((request, cause), count) in counts.iter() {
            writeln!(formatter, "  {request}: {cause}: {count}")?;
        }
        Ok(())
    }
}
