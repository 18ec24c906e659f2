//! Orders to engines: loads of models, adapters and versions, and changes of role.
//!
//! Every order carries a fencing token. An engine refuses a token that is not above the highest one
//! it has seen, so orders of a dispatcher that lost its place, or that were overtaken on the way,
//! change nothing. Loads start no faster than the weight store serves them.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ridgeworks_domain::{BackendName, Ballot, MonotonicTime, ServiceName};

/// Orders one engine obeys in rising order only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// The dispatcher's claim to the group.
    pub epoch: Ballot,
    /// Counts up within the epoch.
    pub number: u64,
}

/// What part of the work an engine does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// Prompts only.
    Prefill,
    /// Generation only.
    Decode,
    /// Both.
    Both,
}

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ModelOrder {
    /// Load a model, adapter or version from the weight store.
    Load {
        /// What to load.
        model: ServiceName,
        /// Its size in bytes.
        bytes: u64,
    },
    /// Drop a model, adapter or version.
    Unload {
        /// What to drop.
        model: ServiceName,
    },
    /// Take a role.
    SetRole(EngineRole),
}

/// An order on its way to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencedOrder {
    /// The engine.
    pub backend: BackendName,
    /// Its token.
    pub token: FencingToken,
    /// The order.
    pub order: ModelOrder,
}

/// Bounds of the orders.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct OrderLimits {
    /// Rate of the weight store, in bytes a second; at least one.
    pub store_bytes_per_second: u64,
    /// An order without an answer is sent again, with a new token, after this time and the time
    /// that the store needs for it.
    pub answer_timeout: Duration,
}

#[derive(Debug, Default)]
struct EngineOrders {
    waiting: VecDeque<ModelOrder>,
    sent: Option<(FencedOrder, MonotonicTime)>,
}

/// Orders of one group, one at a time for each engine.
#[derive(Debug)]
pub struct ModelOrders {
    limits: OrderLimits,
    epoch: Ballot,
    next_number: u64,
    engines: BTreeMap<BackendName, EngineOrders>,
    store_free_at: MonotonicTime,
}

impl ModelOrders {
    /// No orders, under the claim `epoch`.
    pub fn new(limits: OrderLimits, epoch: Ballot) -> Self {
        Self {
            limits,
            epoch,
            next_number: 0,
            engines: BTreeMap::new(),
            store_free_at: MonotonicTime::ZERO,
        }
    }

    /// Adds an order. A role that has not been sent yet is replaced by a newer one.
    pub fn request(&mut self, backend: BackendName, order: ModelOrder) {
        let engine = self.engines.entry(backend).or_default();
        if matches!(order, ModelOrder::SetRole(_)) {
            engine
                .waiting
                .retain(|waiting| !matches!(waiting, ModelOrder::SetRole(_)));
        }
        engine.waiting.push_back(order);
    }

    /// An engine carried out or refused the order with this token; answers to older ones are
    /// ignored.
    pub fn answered(&mut self, backend: &BackendName, token: FencingToken) {
        if let Some(engine) = self.engines.get_mut(backend)
            && engine.sent.as_ref().map(|(order, _)| order.token) == Some(token)
        {
            engine.sent = None;
        }
    }

    /// Forgets the orders of an engine that is gone.
    pub fn backend_gone(&mut self, backend: &BackendName) {
        self.engines.remove(backend);
    }

    /// The orders to be sent now.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<FencedOrder> {
        let names: Vec<BackendName> = self.engines.keys().cloned().collect();
        let due = names.into_iter().filter_map(|name| self.next_of(name, now));
        due.collect()
    }

    /// Whether anything waits or is without an answer.
    pub fn is_idle(&self) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.waiting.is_empty() && engine.sent.is_none())
    }

    fn next_of(&mut self, backend: BackendName, now: MonotonicTime) -> Option<FencedOrder> {
        let engine = self.engines.get_mut(&backend)?;
        if let Some((_, until)) = &engine.sent
            && *until > now
        {
            return None;
        }
        if let Some((lost, _)) = engine.sent.take() {
            engine.waiting.push_front(lost.order);
        }
        let order = engine.waiting.front()?;
        let mut until = now;
        if let ModelOrder::Load { bytes, .. } = order {
            if self.store_free_at > now {
                return None;
            }
            self.store_free_at = now + load_time(*bytes, self.limits);
            until = self.store_free_at;
        }
        self.next_number += 1;
        let token = FencingToken {
            epoch: self.epoch,
            number: self.next_number,
        };
        let fenced = FencedOrder {
            backend,
            token,
            order: engine.waiting.pop_front()?,
        };
        engine.sent = Some((fenced.clone(), until + self.limits.answer_timeout));
        Some(fenced)
    }
}

fn load_time(bytes: u64, limits: OrderLimits) -> Duration {
    let rate = u128::from(limits.store_bytes_per_second.max(1));
    let micros = u128::from(bytes) * 1_000_000 / rate;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
