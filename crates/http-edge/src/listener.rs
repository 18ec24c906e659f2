//! The listening socket, and connections of our own to it.
//!
//! `tiny_http` sets no time-outs. On Linux an accepted socket copies the receive and send time-outs
//! of the socket that it came from, so they are set on the listener. The receive time-out then bounds
//! `accept` too, and `tiny_http` stops accepting on any error; a connection of our own, well within
//! the time-out, keeps `accept` from running into it.

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

/// Connects to the listener and leaves at once, so that `accept` returns.
pub(crate) fn wake(address: SocketAddr) {
    let _ = connect(address);
}

/// Whether a connection without a request is accepted and closed within `patience`.
pub(crate) fn is_accepting(address: SocketAddr, patience: Duration) -> bool {
    probe(address, patience).is_ok_and(|length| length == 0)
}

fn probe(address: SocketAddr, patience: Duration) -> io::Result<usize> {
    let mut stream = connect(address)?;
    stream.set_read_timeout(Some(patience))?;
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
