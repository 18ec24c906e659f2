//! Which back ends were asked themselves whether they are leaving. The platform's list is late, and a dispatcher that has
//! just taken over knows nothing else.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use ridgeworks_domain::{BackendName, MonotonicTime};

use super::backend_list::ListedBackend;

/// A new dispatcher waits for the back ends' answers no longer than this.
pub const LONGEST_CHECK: Duration = Duration::from_millis(1_500);

/// The back ends that were asked.
#[derive(Debug, Default)]
pub struct CheckedBackends {
    checked: BTreeSet<BackendName>,
    since: Option<MonotonicTime>,
    complete: bool,
}

impl CheckedBackends {
    /// Notes that a back end answered, or that it can't be reached.
    pub fn insert(&mut self, name: &BackendName) {
        self.checked.insert(name.clone());
    }

    /// Forgets a back end that is gone.
    pub fn remove(&mut self, name: &BackendName) {
        self.checked.remove(name);
    }

    /// The back ends that may be used.
    pub fn of(
        &self,
        listed: &BTreeMap<BackendName, ListedBackend>,
    ) -> BTreeMap<BackendName, ListedBackend> {
        let listed = listed.iter();
        let checked = listed.filter(|(name, _)| self.checked.contains(*name));
        checked
            .map(|(name, backend)| (name.clone(), backend.clone()))
            .collect()
    }

    /// Whether all back ends that the dispatcher began with were asked. Later ones hold nobody up.
    pub fn is_complete(
        &mut self,
        now: MonotonicTime,
        listed: &BTreeMap<BackendName, ListedBackend>,
    ) -> bool {
        let since = *self.since.get_or_insert(now);
        let all = listed.keys().all(|name| self.checked.contains(name));
        self.complete |= all || now.since(since) >= LONGEST_CHECK;
        self.complete
    }
}
