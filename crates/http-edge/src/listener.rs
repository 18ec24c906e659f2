//! The listening socket, and the connections that the edge opens to it.
//!
//! `tiny_http` sets no timeouts. On Linux an accepted socket inherits the receive and send timeouts of
//! the listening socket, so they are set there. The receive timeout then also applies to `accept`, and
//! `tiny_http` stops accepting on any error. The edge therefore connects to its own listener more often
//! than the timeout, which prevents `accept` from timing out.

use std::io::{self, Read};
use std::net::{Ipv4Addr, Ipv6Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use socket2::{Domain, Protocol, Socket, Type};

use crate::settings::EdgeSettings;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Opens the listening socket.
pub(crate) fn open(settings: &EdgeSettings) -> io::Result<TcpListener> {
    let domain = Domain::for_address(settings.listen);
    let socket = Socket::new(domain, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_tcp_nodelay(true)?;
    socket.set_read_timeout(Some(settings.read_timeout))?;
    socket.set_write_timeout(Some(settings.write_timeout))?;
    socket.bind(&settings.listen.into())?;
    socket.listen(settings.listen_backlog)?;
    Ok(socket.into())
}

/// Connects to the listener and disconnects immediately, so that `accept` returns.
pub(crate) fn wake(address: SocketAddr) {
    let _ = connect(address);
}

/// Returns whether a connection without a request is accepted and closed within `timeout`.
pub(crate) fn is_accepting(address: SocketAddr, timeout: Duration) -> bool {
    probe(address, timeout).is_ok_and(|length| length == 0)
}

fn probe(address: SocketAddr, timeout: Duration) -> io::Result<usize> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.shutdown(Shutdown::Write)?;
    stream.read(&mut [0])
}

fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let mut target = address;
    match target {
        SocketAddr::V4(ref mut v4) if v4.ip().is_unspecified() => v4.set_ip(Ipv4Addr::LOCALHOST),
        SocketAddr::V6(ref mut v6) if v6.ip().is_unspecified() => v6.set_ip(Ipv6Addr::LOCALHOST),
        _ => {}
    }
    TcpStream::connect_timeout(&target, CONNECT_TIMEOUT)
}
