//! Accepts connections of clients.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use ridgeworks_resident::listen;
use tokio::net::TcpStream;
use tokio::sync::{Notify, Semaphore, watch};

use crate::entry;
use crate::gateway::{Gateway, UsedConnectionGuard};

/// File descriptors reserved for engines, nodes, the store and files.
const RESERVED_DESCRIPTORS: u64 = 1_000;
/// Lowest limit of open client connections, even if the file descriptors allow fewer.
const MIN_CONNECTION_LIMIT: u64 = 256;
/// Least size of a request head that the HTTP library reads; it refuses larger ones by itself. Well above what clients keep within,
/// since a connection outlives the configuration that it was opened under, and since both may count differently.
const MIN_HEAD_BYTES: u64 = 64 * 1024;
const HEAD_LIMIT_FACTOR: u64 = 2;
/// Headers of a request that the HTTP library reads; it refuses more by itself.
const MAX_HEADERS: usize = 512;
/// Idle connections stay open slightly longer than clients may reuse them.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Progress of a gateway's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// No shutdown is in progress.
    Serving,
    /// New connections are accepted until the platform has noticed the shutdown, and closed after
    /// one request.
    Draining,
    /// No connection is accepted; open requests are still answered.
    Closed,
}

/// Listens for clients until the phase is [`StopPhase::Closed`]. Fails if the address cannot be
/// bound.
pub async fn listen(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    mut phase: watch::Receiver<StopPhase>,
) -> io::Result<()> {
    let listener = listen::tcp(address).await?;
    let descriptors = gateway.node.settings.limits.descriptors;
    let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let permits = connections.max(MIN_CONNECTION_LIMIT);
    let permits = Rc::new(Semaphore::new(
        usize::try_from(permits).unwrap_or(usize::MAX),
    ));
    tokio::task::spawn_local(async move {
        loop {
            let Ok(permit) = permits.acquire().await else {
                return;
            };
            permit.forget();
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == StopPhase::Closed) => return,
            };
            let Ok((stream, _)) = accepted else {
                permits.add_permits(1);
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                continue;
            };
            let permits = Rc::clone(&permits);
            let serving = serve(Rc::clone(&gateway), stream, phase.clone());
            tokio::task::spawn_local(async move {
                serving.await;
                permits.add_permits(1);
            });
        }
    });
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, mut phase: watch::Receiver<StopPhase>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = entry::client_limits(&gateway);
    let idle = Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN;
    let head = limits.max_header_bytes.saturating_mul(HEAD_LIMIT_FACTOR);
    let buffer = head.max(MIN_HEAD_BYTES);
    let keeps_alive = *phase.borrow() == StopPhase::Serving;
    let own = Rc::clone(&gateway);
    let use_of_connection = Rc::new(ConnectionUse::default());
    let noted_use = Rc::clone(&use_of_connection);
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&own);
        noted_use.on_request(&gateway);
        async move { Ok::<_, Infallible>(entry::answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .keep_alive(keeps_alive)
        // Also bounds the idle time between two requests, so it must not be shorter than that.
        .header_read_timeout(idle)
        .max_headers(MAX_HEADERS)
        .max_buf_size(usize::try_from(buffer).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    // A graceful shutdown would close a new connection before its request is read.
    let may_shut_down = async {
        // The sender lives as long as the gateway.
        let _ = phase.wait_for(|phase| *phase != StopPhase::Serving).await;
        use_of_connection.began().await;
    };
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        () = may_shut_down, if keeps_alive => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        on_failed_connection(&gateway, &error);
    }
}

/// Whether a client's connection brought a request.
#[derive(Default)]
struct ConnectionUse {
    guard: OnceCell<UsedConnectionGuard>,
    has_begun: Notify,
}

impl ConnectionUse {
    fn on_request(&self, gateway: &Rc<Gateway>) {
        self.guard.get_or_init(|| gateway.track_connection());
        self.has_begun.notify_one();
    }

    /// Completes once the connection has brought a request.
    async fn began(&self) {
        if self.guard.get().is_none() {
            self.has_begun.notified().await;
        }
    }
}

/// Logs why a client's connection failed. Bytes that are no request are answered by the HTTP library, with 400, 414 or 431, before
/// any code of the gateway sees them.
fn on_failed_connection(gateway: &Gateway, error: &hyper::Error) {
    let reason = failure_name(error);
    gateway.metrics.on_failed_client_connection(reason);
    if !error.is_parse() {
        log::debug!("client connection failed: {error}");
        return;
    }
    log::info!(
        target: "request",
        outcome = "refused",
        reason = reason,
        detail:% = error;
        "bytes of a client are no request; refused by the HTTP library"
    );
}

/// Name in logs and metrics of why a client's connection failed.
fn failure_name(error: &hyper::Error) -> &'static str {
    if error.is_parse_too_large() {
        "head_too_large"
    } else if error.is_parse() {
        "unreadable_head"
    } else if error.is_timeout() {
        "idle"
    } else {
        "lost"
    }
}
