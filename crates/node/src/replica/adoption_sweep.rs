//! Which of the runs that lack something an owner is asked for, and when again.
//!
//! No I/O and nothing durable: after a restart every run that still lacks something is found anew.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, RunId};

/// Most runs for which owners are asked in one step, of each kind.
pub const MAX_ADOPTIONS_PER_STEP: usize = 64;
/// An owner is asked again for the same run after this time, then after twice that, and so on.
pub const FIRST_REPEAT: Duration = Duration::from_secs(4);
/// Longest time between two requests for the same run. A long call of a living owner is asked for no more often.
pub const LAST_REPEAT: Duration = Duration::from_secs(300);

#[derive(Debug, Clone, Copy)]
struct Asked {
    again_at: MonotonicTime,
    pause: Duration,
}

/// The runs for which owners were asked.
#[derive(Debug, Default)]
pub struct AdoptionSweep {
    asked: BTreeMap<RunId, Asked>,
}

impl AdoptionSweep {
    /// Takes all runs that lack something now; gives those to ask an owner for.
    pub fn step(&mut self, now: MonotonicTime, lacking: impl Iterator<Item = RunId>) -> Vec<RunId> {
        let before = std::mem::take(&mut self.asked);
        let mut due = Vec::new();
        for run in lacking {
            let asked = before.get(&run).copied();
            let wait = asked.is_some_and(|asked| now < asked.again_at);
            if !wait && due.len() < MAX_ADOPTIONS_PER_STEP {
                due.push(run);
                self.asked.insert(run, Asked::again(asked, now));
            } else if let Some(asked) = asked {
                self.asked.insert(run, asked);
            }
        }
        due
    }
}

impl Asked {
    fn again(before: Option<Self>, now: MonotonicTime) -> Self {
        let doubled = before.map_or(FIRST_REPEAT, |before| before.pause * 2);
        let pause = doubled.min(LAST_REPEAT);
        Self {
            again_at: now + pause,
            pause,
        }
    }
}
