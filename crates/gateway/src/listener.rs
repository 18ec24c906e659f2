//! Takes connections of clients.

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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::entry;
use crate::gateway::Gateway;

/// Descriptors that are not for connections of clients: engines, nodes, the store, files.
const RESERVED_DESCRIPTORS: u64 = 1_000;
const LEAST_CONNECTIONS: u64 = 256;
/// Smallest buffer that the HTTP library takes.
const LEAST_BUFFER: u64 = 8 * 1024;
/// Idle connections stay a little longer than clients may use them.
const IDLE_MARGIN: Duration = Duration::from_millis(500);
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// How far a gateway has come with its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopPhase {
    /// It is not ending.
    Serving,
    /// Clients still come until the platform has noticed; each is served once and its connection closed.
    Draining,
    /// No client is taken any more; those that were taken get their answers.
    Closed,
}

/// Listens for clients until the gateway is closed.
pub async fn listen(
    gateway: Rc<Gateway>,
    address: SocketAddr,
    mut phase: watch::Receiver<StopPhase>,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let descriptors = gateway.node.settings.limits.descriptors;
    let connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS);
    let places = connections.max(LEAST_CONNECTIONS);
    let places = Rc::new(Semaphore::new(
        usize::try_from(places).unwrap_or(usize::MAX),
    ));
    tokio::task::spawn_local(async move {
        loop {
            let Ok(place) = places.acquire().await else {
                return;
            };
            place.forget();
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = phase.wait_for(|phase| *phase == StopPhase::Closed) => return,
            };
            let Ok((stream, _)) = accepted else {
                places.add_permits(1);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let places = Rc::clone(&places);
            let serving = serve(Rc::clone(&gateway), stream, phase.clone());
            tokio::task::spawn_local(async move {
                serving.await;
                places.add_permits(1);
            });
        }
    });
    Ok(())
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, mut phase: watch::Receiver<StopPhase>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = entry::caller_limits(&gateway);
    let idle = Duration::from_millis(limits.idle_timeout_ms) + IDLE_MARGIN;
    let buffer = limits.max_header_bytes.max(LEAST_BUFFER);
    let is_kept = *phase.borrow() == StopPhase::Serving;
    let service = service_fn(move |request: Request<Incoming>| {
        let gateway = Rc::clone(&gateway);
        async move { Ok::<_, Infallible>(entry::answer(gateway, request).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // An order to close would end a connection that has just come before its request is read.
        .keep_alive(is_kept)
        // Covers the rest between two requests too, so it cannot be shorter than that.
        .header_read_timeout(idle)
        .max_buf_size(usize::try_from(buffer).unwrap_or(usize::MAX))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => Some(ended),
        _ = phase.wait_for(|phase| *phase != StopPhase::Serving), if is_kept => None,
    };
    let ended = match ended {
        Some(ended) => ended,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("connection of a client ended: {error}");
    }
}
