//! Status of a service for operators: its queues and the last reports of its engines.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_configuration::{ConfigurationObject, ConfigurationSet};
use ridgeworks_domain::objects::PriorityClass;
use ridgeworks_domain::{BackendName, MonotonicTime, PartnerName, ServiceName};
use ridgeworks_scheduling::{Event, LoadReport, Priority, QueuedCall};

use super::backend_list::ListedBackend;

/// Status of one service.
#[derive(Debug, Clone)]
pub struct ServiceStatus {
    /// Service that has a group on this node; its dispatcher may be another node by now.
    pub service: ServiceName,
    /// All listed back ends.
    pub backends: Vec<BackendStatus>,
    /// Calls waiting for a slot, by partner and priority.
    pub queues: Vec<QueueStatus>,
    /// Number of grants that have not ended.
    pub in_flight: usize,
    /// Age of the newest cache event of any engine; `None` before the first.
    pub cache_event_age: Option<Duration>,
}

/// A back end and its last load report.
#[derive(Debug, Clone)]
pub struct BackendStatus {
    /// Back end and drain state.
    pub listed: ListedBackend,
    /// Last load report and its age; `None` before the first.
    pub load: Option<(LoadReport, Duration)>,
}

/// Waiting calls of one partner and priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueStatus {
    /// Partner that makes the calls.
    pub partner: PartnerName,
    /// Priority shared by the calls.
    pub priority: Priority,
    /// Names of the partner's priority classes with this priority; filled by
    /// [`Self::name_classes`].
    pub classes: Vec<String>,
    /// Number of waiting calls.
    pub length: usize,
    /// Time that the oldest call has waited at this dispatcher.
    pub oldest_age: Duration,
}

/// Groups waiting calls by partner and priority. Each call comes with the time at which it was
/// enqueued.
pub fn queues<'a>(
    calls: impl Iterator<Item = (&'a QueuedCall, MonotonicTime)>,
    now: MonotonicTime,
) -> Vec<QueueStatus> {
    let mut queues: BTreeMap<_, QueueStatus> = BTreeMap::new();
    for (call, since) in calls {
        let Priority { urgent, rank } = call.priority;
        let queue = queues
            .entry((call.partner.clone(), urgent, rank))
            .or_insert_with(|| QueueStatus {
                partner: call.partner.clone(),
                priority: call.priority,
                classes: Vec::new(),
                length: 0,
                oldest_age: Duration::ZERO,
            });
        queue.length += 1;
        queue.oldest_age = queue.oldest_age.max(now.since(since));
    }
    queues.into_values().collect()
}

impl QueueStatus {
    /// Fills in the class names from the configuration: requests for slots carry only the priority.
    pub fn name_classes(&mut self, configuration: &ConfigurationSet) {
        let priority = self.priority;
        let same = |class: &&PriorityClass| {
            class.partner == self.partner
                && class.urgent == priority.urgent
                && class.rank == priority.rank
        };
        let classes = configuration.objects().filter_map(|object| {
            let ConfigurationObject::PriorityClass(class) = &object.object else {
                return None;
            };
            Some(class)
        });
        let classes = classes.filter(same);
        self.classes = classes.map(|class| class.name.to_string()).collect();
    }
}

/// Last load report of each engine and time of the newest cache event.
#[derive(Debug, Default)]
pub struct LastReports {
    loads: BTreeMap<BackendName, (LoadReport, MonotonicTime)>,
    last_cache_event_at: Option<MonotonicTime>,
}

impl LastReports {
    /// Records load reports and cache events; ignores other events.
    pub fn record(&mut self, now: MonotonicTime, event: &Event) {
        match event {
            Event::LoadReport(load) => {
                let name = load.backend.clone();
                self.loads.insert(name, (load.clone(), now));
            }
            Event::CacheEvent(_) => self.last_cache_event_at = Some(now),
            _ => {}
        }
    }

    /// Removes a back end that is no longer listed.
    pub fn remove(&mut self, name: &BackendName) {
        self.loads.remove(name);
    }

    /// Combines a back end with its last load report.
    pub fn status_of(&self, listed: &ListedBackend, now: MonotonicTime) -> BackendStatus {
        let load = self.loads.get(&listed.backend.name);
        BackendStatus {
            listed: listed.clone(),
            load: load.map(|(load, at)| (load.clone(), now.since(*at))),
        }
    }

    /// Age of the newest cache event of any engine; `None` before the first.
    pub fn cache_event_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.last_cache_event_at.map(|at| now.since(at))
    }
}
