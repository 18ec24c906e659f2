//! Tells whether an engine has ended, after a request to it has failed.

use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::EndCertainty;
use ridgeworks_resident::http_client::{ConnectError, connect};
use ridgeworks_routing::Engine;
use tokio::time::Instant;

use crate::connection_pool::EngineConnection;
use crate::gateway::Gateway;

/// Longer than a round trip to any region. Short, because the request waits.
const PROBE_TIMEOUT: Duration = Duration::from_millis(120);
/// How soon a connection is closed again by something that listens in the place of an engine that has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(10);
/// The same where the machine is busy. Shorter than engines keep connections that are idle.
const LATE_CLOSE_TIMEOUT: Duration = Duration::from_millis(900);
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(25);
/// How long an engine that started again may take to be listed with its new start.
const RESTART_NOTICE: Duration = Duration::from_secs(5);
/// Added to the time after which the entry of an engine that has ended lapses: entries that lapsed while the store was away may be
/// back for so long.
const ENTRY_LIFETIME_MARGIN: Duration = Duration::from_secs(2);
/// How long after that a list is waited for which tells whether an engine lives.
const MAX_LIST_WAIT: Duration = Duration::from_secs(10);
const LIST_CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Engines that are watched for a restart at a time; a failure beyond that is taken for one that the engine outlived.
const MAX_WATCHED: usize = 256;

/// What shows that an engine has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Nothing listens at its address.
    Refused,
    /// Connections to it are accepted and closed at once, by something in its place, or fail otherwise.
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

    /// Whether nothing but the engine's end explains it. An engine that is full resets connections, and a lost link is silent.
    pub fn certainty(self) -> EndCertainty {
        match self {
            Self::Refused | Self::Restarted => EndCertainty::Known,
            Self::Closed | Self::Silent => EndCertainty::Presumed,
        }
    }
}

/// What a probe found.
pub enum Probed {
    Ended(Evidence),
    /// The engine accepted this connection.
    Accepted(EngineConnection),
}

/// Opens a connection to an engine.
pub async fn probe(gateway: &Gateway, engine: &Engine) -> Probed {
    let connection = match connect(engine.address, PROBE_TIMEOUT).await {
        Ok(connection) => connection,
        Err(ConnectError::TimedOut) => return Probed::Ended(Evidence::Silent),
        Err(ConnectError::Refused(error)) if error.kind() == ErrorKind::ConnectionRefused => {
            return Probed::Ended(Evidence::Refused);
        }
        Err(ConnectError::Refused(_) | ConnectError::Handshake(_)) => {
            return Probed::Ended(Evidence::Closed);
        }
    };
    gateway.metrics.engine_connections.inc();
    tokio::time::sleep(CLOSE_TIMEOUT).await;
    if connection.is_closed() {
        return Probed::Ended(Evidence::Closed);
    }
    Probed::Accepted(gateway.pool.number(connection))
}

/// Waits for a while whether an engine that accepted a connection turns out to have ended before.
pub async fn find_late_evidence(
    gateway: &Rc<Gateway>,
    engine: &Engine,
    connection: EngineConnection,
) -> Option<Evidence> {
    let watched = &gateway.watched_engines;
    if watched.get() >= MAX_WATCHED {
        return None;
    }
    watched.set(watched.get() + 1);
    let evidence = tokio::select! {
        () = closed_late(gateway, engine, connection) => Some(Evidence::Closed),
        () = replaced(gateway, engine) => Some(Evidence::Restarted),
        () = tokio::time::sleep(RESTART_NOTICE) => None,
    };
    watched.set(watched.get() - 1);
    evidence
}

/// How long an engine that has ended may still be listed.
pub fn listed_lifetime(gateway: &Gateway) -> Duration {
    let bounds = &gateway.node.settings.bounds;
    bounds.engine_entry_lifetime() + ENTRY_LIFETIME_MARGIN
}

/// Whether an engine is still listed when its entry would have lapsed if it had ended now. False also where no list tells.
pub async fn has_lived_on(gateway: &Rc<Gateway>, engine: &Engine) -> bool {
    let watched = &gateway.watched_engines;
    if watched.get() >= MAX_WATCHED {
        return false;
    }
    watched.set(watched.get() + 1);
    let entry_lifetime = listed_lifetime(gateway);
    let listed = listed_after(gateway, engine, entry_lifetime);
    let lives = tokio::time::timeout(entry_lifetime + MAX_LIST_WAIT, listed).await;
    watched.set(watched.get() - 1);
    lives.unwrap_or(false)
}

/// Waits for a list of the engines as of this time from now, and returns whether the engine is in it.
async fn listed_after(gateway: &Gateway, engine: &Engine, time: Duration) -> bool {
    let view = &gateway.node.view;
    let since = Instant::now();
    loop {
        tokio::time::sleep(LIST_CHECK_INTERVAL).await;
        let is_listed = view.with_engines(|table| {
            let mut engines = table.engines();
            engines.any(|listed| listed.key() == engine.key())
        });
        if !is_listed {
            return false;
        }
        let confirmed_after = view
            .engines_confirmation_age()
            .and_then(|age| since.elapsed().checked_sub(age));
        if confirmed_after.is_some_and(|after| after >= time) {
            return true;
        }
    }
}

/// Completes if the connection is closed soon; else keeps it for later requests.
async fn closed_late(gateway: &Gateway, engine: &Engine, connection: EngineConnection) {
    let until = Instant::now() + LATE_CLOSE_TIMEOUT;
    while Instant::now() < until {
        if connection.is_closed() {
            return;
        }
        tokio::time::sleep(CLOSE_CHECK_INTERVAL).await;
    }
    gateway.pool.put_idle(engine.key(), connection, None);
    std::future::pending().await
}

/// Completes when another run is listed at the engine's address.
async fn replaced(gateway: &Gateway, engine: &Engine) {
    let mut changes = gateway.node.view.changes();
    while !is_replaced(gateway, engine) {
        if changes.changed().await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

fn is_replaced(gateway: &Gateway, engine: &Engine) -> bool {
    gateway.node.view.with_engines(|table| {
        let mut others = table.engines().filter(|other| other.key() != engine.key());
        others.any(|other| other.address == engine.address)
    })
}
