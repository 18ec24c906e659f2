//! Tells whether an engine has ended, after a request to it has failed.

use std::rc::Rc;
use std::time::Duration;

use ridgeworks_resident::http_client::{ConnectError, connect};
use ridgeworks_routing::Engine;

use crate::gateway::Gateway;

/// Longer than a round trip to any region. Short, because the request waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// How soon a connection is closed again by something that listens in the place of an engine that has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);
/// How long an engine that started again may take to be listed with its new start.
const RESTART_NOTICE: Duration = Duration::from_secs(5);
/// Engines that are watched for a restart at a time; a failure beyond that is taken for one that the engine outlived.
const MAX_WATCHED: usize = 256;

/// What shows that an engine has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing listens at its address.
    Refused,
    /// Connections to it are accepted and closed at once.
    Closed,
    /// Its machine does not answer. It may be cut off, which cannot be told apart.
    Silent,
    /// Another run of it, or another engine, is listed at its address.
    Restarted,
}

impl Evidence {
    /// Stable name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::Closed => "closed",
            Self::Silent => "silent",
            Self::Restarted => "restarted",
        }
    }
}

/// Opens a connection to an engine; `None` if it accepts one, which is kept for later requests.
pub async fn probe(gateway: &Gateway, engine: &Engine) -> Option<Evidence> {
    match connect(engine.address, PROBE_TIMEOUT).await {
        Ok(connection) => {
            gateway.metrics.engine_connections.inc();
            tokio::time::sleep(CLOSE_TIMEOUT).await;
            if connection.is_closed() {
                return Some(Evidence::Closed);
            }
            gateway.pool.put_idle(engine.key(), connection, None);
            None
        }
        Err(ConnectError::Refused(_)) => Some(Evidence::Refused),
        Err(ConnectError::TimedOut) => Some(Evidence::Silent),
        Err(ConnectError::Handshake(_)) => None,
    }
}

/// Waits for a while whether another run is listed at the engine's address.
pub async fn has_restarted(gateway: &Rc<Gateway>, engine: &Engine) -> bool {
    let watched = &gateway.watched_engines;
    if watched.get() >= MAX_WATCHED {
        return false;
    }
    watched.set(watched.get() + 1);
    let view = &gateway.node.view;
    let mut changes = view.changes();
    let restarted = async {
        while !is_replaced(gateway, engine) {
            if changes.changed().await.is_err() {
                return false;
            }
        }
        true
    };
    let has_restarted = tokio::time::timeout(RESTART_NOTICE, restarted).await;
    watched.set(watched.get() - 1);
    has_restarted.unwrap_or(false)
}

fn is_replaced(gateway: &Gateway, engine: &Engine) -> bool {
    gateway.node.view.with_engines(|table| {
        let mut others = table.engines().filter(|other| other.key() != engine.key());
        others.any(|other| other.address == engine.address)
    })
}
