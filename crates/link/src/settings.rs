//! Settings and errors of the links.

use std::fmt;
use std::net::SocketAddr;

use ridgeworks_domain::NodeId;

/// Dials another address than the advertised one, where a port is forwarded between two networks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DialOverride {
    /// The address that the other node advertises.
    pub advertised: SocketAddr,
    /// The address to dial from here.
    pub dial: SocketAddr,
}

/// Settings of a node's links.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// This node, as its hello frame names it.
    pub node: NodeId,
    /// Raised at each start of the node.
    pub incarnation: u64,
    /// Where to dial instead of the advertised address.
    pub dial_overrides: Vec<DialOverride>,
    /// Most bytes that wait for one connection; above it new messages to that node are dropped.
    pub max_queued_bytes: usize,
}

/// Where a message goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// The node.
    pub node: NodeId,
    /// The address that it advertises.
    pub address: SocketAddr,
}

/// Why links could not start.
#[derive(Debug)]
pub enum LinkError {
    /// The listening address could not be bound.
    Bind {
        /// The address.
        address: SocketAddr,
        /// What the system answered.
        source: std::io::Error,
    },
    /// The listener could not be registered with the poll.
    Register(std::io::Error),
}

impl fmt::Display for LinkError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, source } => {
                write!(formatter, "cannot listen on {address}: {source}")
            }
            Self::Register(source) => write!(formatter, "cannot register the listener: {source}"),
        }
    }
}

impl std::error::Error for LinkError {}
