//! Connections to engines, and the pool of those that are idle.
//!
//! A request is sent on one connection at most once. Its identifier tells it from other requests, but not its sends from each
//! other: a late copy of the answer to one send would pass for the answer to the next on the same connection.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use ridgeworks_resident::http_client::{ConnectError, Connection, SendFailure, connect};
use ridgeworks_resident::response_head::BodyFraming;
use ridgeworks_routing::{Engine, EngineKey, EngineTable};

/// Timeout of opening a connection. An engine that is neither gone nor full accepts one within the
/// network delay.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle time of a connection if the engine states none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Longest idle time that an engine's statement is taken for. It may state any number of seconds.
const MAX_STATED_IDLE: Duration = Duration::from_secs(60 * 60);
/// Fraction of the engine's stated idle time for which a connection is reused, so that the engine
/// does not close it first.
const KEEP_ALIVE_FRACTION: f64 = 0.7;
/// Maximum number of idle connections per engine.
const MAX_IDLE: usize = 24;

/// Number of a connection within this process, from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionId(pub u64);

/// The connections on which one request was sent, in the order of its sends.
#[derive(Debug, Default)]
pub struct UsedConnections(RefCell<Vec<ConnectionId>>);

impl UsedConnections {
    /// The connection of the last send.
    pub fn last(&self) -> Option<ConnectionId> {
        self.0.borrow().last().copied()
    }

    fn contains(&self, connection: ConnectionId) -> bool {
        self.0.borrow().contains(&connection)
    }

    fn add(&self, connection: ConnectionId) {
        self.0.borrow_mut().push(connection);
    }
}

/// A connection to an engine.
pub struct EngineConnection {
    id: ConnectionId,
    connection: Connection,
}

impl EngineConnection {
    /// Whether the connection is known to be closed.
    pub fn is_closed(&self) -> bool {
        self.connection.is_closed()
    }

    /// Sends a request and waits for the head of its response. Sends nothing if the request was sent on this connection before.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        used: &UsedConnections,
    ) -> Result<Response<Incoming>, SendFailure> {
        if used.contains(self.id) {
            return Err(SendFailure::Unsent);
        }
        used.add(self.id);
        self.connection.send(request).await
    }

    /// How the end of the last response's body is found.
    pub fn framing(&self) -> BodyFraming {
        self.connection.framing()
    }

    /// Whether the last response's body, which has been read to its end, is longer than its head told.
    pub fn has_cut_body(&self) -> bool {
        self.connection.has_cut_body()
    }
}

struct IdleConnection {
    connection: EngineConnection,
    until: Instant,
}

impl IdleConnection {
    fn is_usable(&self, now: Instant) -> bool {
        now < self.until && !self.connection.is_closed()
    }
}

/// Idle connections by engine process. A restarted engine has a new key, because connections to its
/// old process are dead.
#[derive(Default)]
pub struct ConnectionPool {
    idle: RefCell<HashMap<EngineKey, Vec<IdleConnection>>>,
    last_id: Cell<u64>,
}

impl ConnectionPool {
    /// Takes the usable idle connection that was used last, of those on which the request was not sent.
    pub fn take_idle(&self, engine: EngineKey, used: &UsedConnections) -> Option<EngineConnection> {
        let mut idle = self.idle.borrow_mut();
        let engine_connections = idle.get_mut(&engine)?;
        let now = Instant::now();
        engine_connections.retain(|idle| idle.is_usable(now));
        let index = engine_connections.iter().rposition(|idle| {
            let connection = &idle.connection;
            connection.connection.is_ready() && !used.contains(connection.id)
        })?;
        Some(engine_connections.remove(index).connection)
    }

    /// Whether an idle connection to the engine is open.
    pub fn has_open(&self, engine: EngineKey) -> bool {
        let idle = self.idle.borrow();
        let connections = idle.get(&engine).into_iter().flatten();
        let mut open = connections.filter(|idle| !idle.connection.is_closed());
        open.next().is_some()
    }

    /// Opens a new connection.
    pub async fn connect(&self, engine: &Engine) -> Result<EngineConnection, ConnectError> {
        let connection = connect(engine.address, CONNECT_TIMEOUT).await?;
        Ok(self.number(connection))
    }

    /// Gives a new connection its number.
    pub fn number(&self, connection: Connection) -> EngineConnection {
        self.last_id.set(self.last_id.get() + 1);
        EngineConnection {
            id: ConnectionId(self.last_id.get()),
            connection,
        }
    }

    /// Returns a connection to the pool. Its last response must have been read to the end.
    pub fn put_idle(
        &self,
        engine: EngineKey,
        connection: EngineConnection,
        keep_alive: Option<Duration>,
    ) {
        if connection.is_closed() {
            return;
        }
        let keep_alive = keep_alive.map_or(DEFAULT_IDLE, |keep_alive| {
            keep_alive.min(MAX_STATED_IDLE).mul_f64(KEEP_ALIVE_FRACTION)
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
            engine_connections.retain(|idle| idle.is_usable(now));
            !engine_connections.is_empty() && listed.contains(engine)
        });
    }
}
