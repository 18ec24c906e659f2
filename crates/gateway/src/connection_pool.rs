//! Pool of idle connections to engines.

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use ridgeworks_resident::http_client::{ConnectError, Connection, connect};
use ridgeworks_routing::{Engine, EngineKey, EngineTable};

/// Timeout of opening a connection. An engine that is neither gone nor full accepts one within the
/// network delay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a connection if the engine states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Fraction of the engine's stated idle time for which a connection is reused, so that the engine
/// does not close it first.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Maximum number of idle connections per engine.
const MAX_IDLE: usize = 24;

struct IdleConnection {
    connection: Connection,
    until: Instant,
}

/// Idle connections by engine process. A restarted engine has a new key, because connections to its
/// old process are dead.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EngineKey, Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Takes a usable idle connection.
    pub fn take_idle(&self, engine: EngineKey) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let engine_connections = idle.get_mut(&engine)?;
        let now = Instant::now();
        while let Some(candidate) = engine_connections.pop() {
            if now < candidate.until && candidate.connection.is_ready() {
                return Some(candidate.connection);
            }
        }
        None
    }

    /// Whether an idle connection to the engine is open.
    pub fn has_open(&self, engine: EngineKey) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&engine).into_iter().flatten();
        let mut open = connections.filter(|idle| !idle.connection.is_closed());
        open.next().is_some()
    }

    /// Opens a new connection.
    pub async fn connect(&self, engine: &Engine) -> Result<Connection, ConnectError> {
        connect(engine.address, CONNECT_TIMEOUT).await
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    pub fn put_idle(
        &self,
        engine: EngineKey,
        connection: Connection,
        keep_alive: Option<Duration>,
    ) {
        if connection.is_closed() {
            return;
        }
        let keep_alive = keep_alive.map_or(DEFAULT_IDLE, |keep_alive| {
            keep_alive.mul_f64(KEEP_ALIVE_FRACTION)
        });
        let mut idle = self.idle.borrow_mut();
        let engine_connections = idle.entry(engine).or_default();
        if engine_connections.len() < MAX_IDLE {
            let until = Instant::now() + keep_alive;
            engine_connections.push(IdleConnection { connection, until });
        }
    }

    /// Drops connections that are closed, expired, or to engines that are no longer listed.
    pub fn prune(&self, table: &EngineTable) {
        let now = Instant::now();
        let listed: HashSet<EngineKey> = table.engines().map(Engine::key).collect();
        self.idle.borrow_mut().retain(|engine, engine_connections| {
            engine_connections.retain(|idle| now < idle.until && !idle.connection.is_closed());
            !engine_connections.is_empty() && listed.contains(engine)
        });
    }
}
