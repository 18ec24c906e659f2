//! Tracks which back ends have finished their first probe, which shows whether they are leaving.
//! The platform's list lags, and a new dispatcher has no other source before the first probe.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime};

use super::backend_list::ListedBackend;

/// Longest time that a new dispatcher holds calls while it waits for the first probe of each back
/// end.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The back ends whose first probe has finished.
#[derive(Debug, Default)]
pub struct ProbedBackends {
    probed: BTreeSet<BackendName>,
    since: Option<MonotonicTime>,
    complete: bool,
}

impl ProbedBackends {
    /// Records that the first probe of a back end finished, successfully or not.
    pub fn insert(&mut self, name: &BackendName) {
        self.probed.insert(name.clone());
    }

    /// Removes a back end that is no longer listed.
    pub fn remove(&mut self, name: &BackendName) {
        self.probed.remove(name);
    }

    /// The listed back ends that have been probed; only these are reported to the scheduler.
    pub fn probed_among(
        &self,
        listed: &BTreeMap<BackendName, ListedBackend>,
    ) -> BTreeMap<BackendName, ListedBackend> {
        let listed = listed.iter();
        let probed = listed.filter(|(name, _)| self.probed.contains(*name));
        probed
            .map(|(name, backend)| (name.clone(), backend.clone()))
            .collect()
    }

    /// Whether the initial probes are complete or have timed out. Once true it stays true:
    /// calls are not held for back ends that are listed later.
    pub fn is_complete(
        &mut self,
        now: MonotonicTime,
        listed: &BTreeMap<BackendName, ListedBackend>,
    ) -> bool {
        let since = *self.since.get_or_insert(now);
        let all = listed.keys().all(|name| self.probed.contains(name));
        self.complete |= all || now.since(since) >= PROBE_TIMEOUT;
        self.complete
    }
}
