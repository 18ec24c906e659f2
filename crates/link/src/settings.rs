//! Settings and errors of the links.

use std::fmt;
use std::net::SocketAddr;

use ridgeworks_domain::NodeId;

/// Replaces an advertised address, for nodes behind port forwarding between two networks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DialOverride {
    /// Address that the other node advertises.
    pub advertised: SocketAddr,
    /// Address to connect to instead.
    pub dial: SocketAddr,
}

/// Settings of a node's links.
#[derive(Debug, Clone)]
pub struct LinkSettings {
    /// Address to listen on.
    pub listen: SocketAddr,
    /// This node, sent in the hello frame.
    pub node: NodeId,
    /// Number that increases with each start of the node.
    pub incarnation: u64,
    /// Addresses to connect to instead of the advertised ones.
    pub dial_overrides: Vec<DialOverride>,
    /// Maximum number of bytes queued per connection; a message that would exceed it is dropped.
    pub max_queued_bytes: usize,
}

/// Destination of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Peer {
    /// Receiving node.
    pub node: NodeId,
    /// Address that the node advertises.
    pub address: SocketAddr,
}

/// Why the links could not start.
#[derive(Debug)]
pub enum LinkError {
    /// The listening address could not be bound.
    Bind {
        /// Listening address that could not be bound.
        address: SocketAddr,
        /// Error of the operating system.
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
