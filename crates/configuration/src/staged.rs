//! The configuration in force, and newer ones that no majority of voters is known to hold.

use std::collections::VecDeque;
use std::sync::Arc;

use crate::revision::Revision;
use crate::set::{ConfigurationSet, UpdateMismatch};
use crate::update::Update;

/// Maximum number of newer configurations kept; the oldest is dropped.
const MAX_STAGED: usize = 64;

/// The configuration in force and newer ones in order of their revisions.
#[derive(Debug, Clone)]
pub struct StagedSets {
    in_force: Arc<ConfigurationSet>,
    newer: VecDeque<Arc<ConfigurationSet>>,
}

impl Default for StagedSets {
    fn default() -> Self {
        Self {
            in_force: Arc::new(ConfigurationSet::default()),
            newer: VecDeque::new(),
        }
    }
}

impl StagedSets {
    /// The configuration in force.
    pub fn in_force(&self) -> &Arc<ConfigurationSet> {
        &self.in_force
    }

    /// The newest configuration, in force or not.
    pub fn newest(&self) -> &Arc<ConfigurationSet> {
        self.newer.back().unwrap_or(&self.in_force)
    }

    /// Stages the result of applying `update` to the newest configuration. Returns whether it is
    /// newer than all others.
    pub fn stage_update(&mut self, update: &Update) -> Result<bool, UpdateMismatch> {
        if update.revision <= self.newest().revision() {
            return Ok(false);
        }
        let set = self.newest().apply(update)?;
        Ok(self.stage(Arc::new(set)))
    }

    /// Stages a configuration. Returns whether it is newer than all others.
    pub fn stage(&mut self, set: Arc<ConfigurationSet>) -> bool {
        if set.revision() <= self.newest().revision() {
            return false;
        }
        if self.newer.len() == MAX_STAGED {
            self.newer.pop_front();
        }
        self.newer.push_back(set);
        true
    }

    /// Puts in force the newest staged configuration up to revision `held`. Returns whether the
    /// configuration in force changed.
    pub fn promote(&mut self, held: Revision) -> bool {
        let count = self
            .newer
            .iter()
            .take_while(|set| set.revision() <= held)
            .count();
        match self.newer.drain(..count).next_back() {
            Some(set) => {
                self.in_force = set;
                true
            }
            None => false,
        }
    }
}
