//! What the driver and the processes of hollow nodes tell each other: JSON lines over pipes.

use std::net::SocketAddr;

use ridgeworks_membership::MemberState;
use serde::{Deserialize, Serialize};

use super::layout::HollowPlan;

/// First line to a process: what it runs.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct HostPlan {
    /// Its hollow nodes.
    pub nodes: Vec<HollowPlan>,
    /// Link addresses of nodes to join through.
    pub seeds: Vec<SocketAddr>,
    /// Names of the configuration voters.
    pub voters: Vec<String>,
    /// Names of all hollow nodes with a disk, in order.
    pub disk_nodes: Vec<String>,
    /// Idle runs of the whole cluster.
    pub runs: usize,
}

/// What a process is told. Indices of nodes of other processes are passed over.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum HostCommand {
    /// Start new lives of these nodes, at the same addresses.
    Start {
        /// The nodes.
        nodes: Vec<usize>,
        /// Generation of their lives: milliseconds since the Unix epoch.
        generation: u64,
    },
    /// Their machines fail: they say and hear nothing more, and no connection is closed.
    Silence {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// They announce that they leave.
    Leave {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// They announce that they have left.
    Left {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Their processes end: all connections close.
    Close {
        /// The nodes.
        nodes: Vec<usize>,
    },
    /// Nothing passes between these nodes and all others until the next cut; none mends all.
    Cut {
        /// The nodes cut off.
        nodes: Vec<usize>,
    },
    /// Answer with a report.
    Report,
}

/// What an observer saw of a member; being suspected is local to the observer and not reported.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum SeenState {
    /// Present.
    Alive,
    /// Leaving on purpose.
    Leaving,
    /// Declared dead.
    Dead,
    /// Left on purpose.
    Left,
}

impl SeenState {
    /// What is reported of a member in this state.
    pub fn of(state: MemberState) -> Option<Self> {
        match state {
            MemberState::Alive => Some(Self::Alive),
            MemberState::Suspect => None,
            MemberState::Leaving => Some(Self::Leaving),
            MemberState::Dead => Some(Self::Dead),
            MemberState::Left => Some(Self::Left),
        }
    }
}

/// Something that a hollow node saw.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observation {
    /// A member changed.
    Member {
        /// When, in microseconds of the machine's wall clock.
        at_us: u64,
        /// Index of the node that saw it.
        observer: usize,
        /// Name of the member.
        subject: String,
        /// Generation of the member's life.
        generation: u64,
        /// What it is now.
        state: SeenState,
    },
    /// A newer configuration came in force.
    Revision {
        /// When, in microseconds of the machine's wall clock.
        at_us: u64,
        /// Index of the node.
        observer: usize,
        /// Its revision.
        revision: u64,
    },
}

/// State and counters of one hollow node. Counters of links go on over its lives.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeReport {
    /// Its index.
    pub index: usize,
    /// Generation of its life; zero while it is down.
    pub generation: u64,
    /// Members that it sees present, itself among them.
    pub present: usize,
    /// Hash of its table.
    pub table_hash: u64,
    /// Revision in force.
    pub revision: u64,
    /// Whether its lease runs.
    pub is_ready: bool,
    /// Version of its list of machines.
    pub machines_version: u64,
    /// Machines listed there.
    pub machines: usize,
    /// Heads of runs that it holds.
    pub run_heads: usize,
    /// Bytes sent over its links, frame headers included.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Messages sent.
    pub sent_messages: u64,
    /// Messages received.
    pub received_messages: u64,
    /// Messages dropped by full queues or while a connection could not be dialled.
    pub dropped_messages: u64,
    /// Connections dialled.
    pub dialled: u64,
    /// Members suspected in this life.
    pub suspicions: u64,
    /// Pauses of its own process that it noticed in this life.
    pub own_pauses: u64,
    /// Times that its lease ran out in this life.
    pub leases_lapsed: u64,
}

/// Answer to [`HostCommand::Report`].
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct HostReport {
    /// All its nodes.
    pub nodes: Vec<NodeReport>,
    /// What was seen since the last report.
    pub observations: Vec<Observation>,
}
