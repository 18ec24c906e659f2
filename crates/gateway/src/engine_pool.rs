//! Connections to engines that are used again.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ridgeworks_resident::http_client::{ConnectError, Connection, connect};
use ridgeworks_routing::{Engine, EngineKey, EngineTable};

/// Engines answer a new connection within their network's delay, unless they are gone or full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long a connection may rest where the engine does not say.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Part of the engine's own idle time after which a connection is no longer used.
const IDLE_SHARE: f64 = 0.7;
/// Connections kept for one engine.
const MAX_IDLE: usize = 24;

struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Idle connections by the run of the engine: one to an earlier run leads nowhere.
#[derive(Default)]
pub struct EnginePool {
    idle: RefCell<HashMap<EngineKey, Vec<IdleConnection>>>,
}

impl EnginePool {
    /// A connection that rested here, if one is fit.
    pub fn take_idle(&self, engine: EngineKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let of_engine = idle.get_mut(&engine)?;
        let now = Instant::now();
        while let Some(candidate) = of_engine.pop() {
            if now < candidate.until && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// A new connection.
    pub async fn connect(&self, engine: &Engine) -> Result<Connection, ConnectError> {
        connect(engine.address, CONNECT_TIMEOUT).await
    }

    /// Keeps a connection whose answer was read whole.
    pub fn give_back(&self, engine: EngineKey, connection: Connection, rest: Option<Duration>) {
        if connection.is_closed() {
            return;
        }
        let rest = rest.map_or(DEFAULT_IDLE, |rest| rest.mul_f64(IDLE_SHARE));
        let mut idle = self.idle.borrow_mut();
        let of_engine = idle.entry(engine).or_default();
        if of_engine.len() < MAX_IDLE {
            let until = Instant::now() + rest;
            of_engine.push(IdleConnection { connection, until });
        }
    }

    /// Drops connections to engines that are gone, and those that rested too long.
    pub fn prune(&self, table: &EngineTable) {
        let now = Instant::now();
        let listed: HashSet<EngineKey> = table.engines().map(Engine::key).collect();
        self.idle.borrow_mut().retain(|engine, of_engine| {
            of_engine.retain(|idle| now < idle.until && !idle.connection.is_closed());
            !of_engine.is_empty() && listed.contains(engine)
        });
    }
}
