//! Ports of nodes, which must be known before the nodes start.

use std::collections::HashSet;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::ops::Range;

use rand::RngExt;

use super::error::ClusterError;

/// Below the range that systems draw the ports of outgoing connections from, so that none of those
/// takes a port between its choice and its use.
const PORTS: Range<u16> = 12_000..32_000;
const TRIES: usize = 1_000;

/// Chooses ports of the loopback interface that nobody listens on, each once.
#[derive(Debug, Default)]
pub struct Ports {
    given: HashSet<u16>,
}

impl Ports {
    /// An address that is free now.
    pub fn choose(&mut self) -> Result<SocketAddr, ClusterError> {
        let mut generator = rand::rng();
        for _ in 0..TRIES {
            let port = generator.random_range(PORTS);
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            if !self.given.contains(&port) && TcpListener::bind(address).is_ok() {
                self.given.insert(port);
                return Ok(address);
            }
        }
        Err(ClusterError::NoFreePort)
    }
}
