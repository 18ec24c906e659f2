//! Sockets at the addresses of the settings.
//!
//! When a process starts, an address may be taken for a while, by the process before it or by a connection that was given its port.
//! The machine may not have it yet, or lack what a socket takes. The process waits instead of ending.

use std::fmt;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, UdpSocket};
use tokio::time::{Instant, sleep};

use crate::resources::{MAX_WAIT, RETRY_INTERVAL, is_shortage};

const LOG_INTERVAL: Duration = Duration::from_secs(5);

#[derive(Debug, Clone, Copy)]
enum Protocol {
    Tcp,
    Udp,
}

impl fmt::Display for Protocol {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Self::Tcp => "tcp",
            Self::Udp => "udp",
        })
    }
}

/// Listens at an address, once it is free. Fails if it is not after 30 seconds, or cannot be used for another reason.
pub async fn tcp(address: SocketAddr) -> io::Result<TcpListener> {
    bind(Protocol::Tcp, address, || TcpListener::bind(address)).await
}

/// Binds a datagram socket like [`tcp`].
pub async fn udp(address: SocketAddr) -> io::Result<UdpSocket> {
    bind(Protocol::Udp, address, || UdpSocket::bind(address)).await
}

async fn bind<S, F>(
    protocol: Protocol,
    address: SocketAddr,
    try_bind: impl Fn() -> F,
) -> io::Result<S>
where
    F: Future<Output = io::Result<S>>,
{
    let since = Instant::now();
    let mut logged_at: Option<Instant> = None;
    loop {
        let error = match try_bind().await {
            Ok(socket) => {
                if logged_at.is_some() {
                    let waited_ms = since.elapsed().as_millis() as u64;
                    log::info!(target: "dependency", protocol:% = protocol, address:% = address, waited_ms = waited_ms; "address is free");
                }
                return Ok(socket);
            }
            Err(error) => error,
        };
        if !may_pass(&error) || since.elapsed() >= MAX_WAIT {
            return Err(error);
        }
        if logged_at.is_none_or(|at| at.elapsed() >= LOG_INTERVAL) {
            logged_at = Some(Instant::now());
            log::warn!(target: "dependency", protocol:% = protocol, address:% = address, detail:% = error; "address cannot be used yet");
        }
        sleep(RETRY_INTERVAL).await;
    }
}

fn may_pass(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
    ) || is_shortage(error)
}
