//! Software versions that the engines of each service had lately, to tell where a stream can have begun.

use std::collections::HashMap;
use std::time::Duration;

use crate::engine_table::{EngineTable, SoftwareKey};

/// How long a version is remembered after its last engine has gone.
const RETENTION: Duration = Duration::from_secs(60);

/// When engines of each version were last listed. Times are since the start of the process.
#[derive(Debug, Clone, Default)]
pub struct SoftwareHistory {
    /// First observation of a list of engines.
    since: Option<Duration>,
    /// By service.
    services: HashMap<String, HashMap<SoftwareKey, Duration>>,
}

impl SoftwareHistory {
    /// Records the versions of the listed engines. Called at intervals that are short beside the time for which an engine serves.
    pub fn observe(&mut self, table: &EngineTable, now: Duration) {
        self.since.get_or_insert(now);
        for engine in table.engines() {
            if !self.services.contains_key(&engine.service) {
                self.services.insert(engine.service.clone(), HashMap::new());
            }
            if let Some(versions) = self.services.get_mut(&engine.service) {
                versions.insert(engine.software_key(), now);
            }
        }
        self.services.retain(|_, versions| {
            versions.retain(|_, last| now.saturating_sub(*last) < RETENTION);
            !versions.is_empty()
        });
    }

    /// The only version that engines of the service had within this time up to now. `None` if there were several, or if the
    /// engines have not been known for so long.
    pub fn only_version(
        &self,
        service: &str,
        within: Duration,
        now: Duration,
    ) -> Option<SoftwareKey> {
        let from = now.checked_sub(within)?;
        if self.since? > from {
            return None;
        }
        let versions = self.services.get(service)?.iter();
        let mut recent = versions.filter(|(_, last)| **last >= from);
        let (only, _) = recent.next()?;
        recent.next().is_none().then_some(*only)
    }
}
