//! A service as operators see it: its queues, and what its engines reported last.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_configuration::{ConfigurationObject, ConfigurationSet};
use ridgeworks_domain::objects::PriorityClass;
use ridgeworks_domain::{BackendName, MonotonicTime, PartnerName, ServiceName};
use ridgeworks_scheduling::{Event, LoadReport, Priority, QueuedCall};

use super::backend_list::ListedBackend;

/// The back ends and the queues of one service.
#[derive(Debug, Clone)]
pub struct ServiceStatus {
    /// The service.
    pub service: ServiceName,
    /// Its back ends.
    pub backends: Vec<BackendStatus>,
    /// Calls that wait for a slot, by partner and priority.
    pub queues: Vec<QueueStatus>,
    /// Grants that have not ended.
    pub in_flight: usize,
    /// Age of the newest cache event.
    pub cache_event_age: Option<Duration>,
}

/// A back end and its last report.
#[derive(Debug, Clone)]
pub struct BackendStatus {
    /// The back end.
    pub listed: ListedBackend,
    /// What it reported, and how long ago.
    pub load: Option<(LoadReport, Duration)>,
}

/// The calls of one partner and priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueueStatus {
    /// The partner.
    pub partner: PartnerName,
    /// Priority of the calls.
    pub priority: Priority,
    /// The partner's classes of this priority.
    pub classes: Vec<String>,
    /// Calls that wait.
    pub length: usize,
    /// How long the oldest one has waited here.
    pub oldest_age: Duration,
}

/// Sums calls up by partner and priority. Each comes with the time since when it waits.
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
    /// Names the classes: requests for slots carry only what the order depends on.
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

/// What engines reported last, and when that came.
#[derive(Debug, Default)]
pub struct LastReports {
    loads: BTreeMap<BackendName, (LoadReport, MonotonicTime)>,
    cache_event: Option<MonotonicTime>,
}

impl LastReports {
    /// Notes what an event tells of an engine.
    pub fn note(&mut self, now: MonotonicTime, event: &Event) {
        match event {
            Event::LoadReport(load) => {
                let name = load.backend.clone();
                self.loads.insert(name, (load.clone(), now));
            }
            Event::CacheEvent(_) => self.cache_event = Some(now),
            _ => {}
        }
    }

    /// Forgets a back end that is gone.
    pub fn remove(&mut self, name: &BackendName) {
        self.loads.remove(name);
    }

    /// A back end with its last report.
    pub fn of(&self, listed: &ListedBackend, now: MonotonicTime) -> BackendStatus {
        let load = self.loads.get(&listed.backend.name);
        BackendStatus {
            listed: listed.clone(),
            load: load.map(|(load, at)| (load.clone(), now.since(*at))),
        }
    }

    /// Age of the newest cache event.
    pub fn cache_event_age(&self, now: MonotonicTime) -> Option<Duration> {
        self.cache_event.map(|at| now.since(at))
    }
}
