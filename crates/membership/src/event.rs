//! Input events and output effects of the membership state machine.

use std::net::SocketAddr;

use ridgeworks_domain::NodeId;

use crate::member::{Incarnation, Member, MemberState};
use crate::message::MembershipMessage;

/// An input of the membership state machine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The time given by [`crate::Membership::next_timer`] is reached.
    Timer,
    /// A membership message arrived.
    Message {
        /// The sender, as identified by the handshake of its link.
        from: NodeId,
        /// The message.
        message: MembershipMessage,
    },
    /// A message of another protocol arrived from the node, which shows that it is alive.
    PeerActivity {
        /// The sender.
        node: NodeId,
    },
    /// A link to the node was closed or reset by the other end, or could not be opened.
    LinkClosed {
        /// The node at the other end.
        node: NodeId,
    },
    /// This node starts a planned leave and accepts no new work.
    Leave,
    /// This node has drained its work; the process may exit once the effects are carried out.
    Left,
}

/// An action that the host must carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a member, opening a link if there is none. The message may be lost.
    Send {
        /// The member.
        to: NodeId,
        /// Address to connect to.
        address: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// Send a message to a seed whose node identifier is not known yet. The message may be lost.
    SendToSeed {
        /// Address to connect to.
        address: SocketAddr,
        /// The message.
        message: MembershipMessage,
    },
    /// A member joined, changed its state or was replaced.
    MemberChanged {
        /// The member as it is now.
        member: Member,
        /// Its previous state; `None` if it was not known.
        old_state: Option<MemberState>,
    },
    /// A Dead or Left member was removed after the retention time.
    MemberForgotten {
        /// The node.
        node: NodeId,
    },
    /// A process that started later uses this node's name; this process must stop.
    Superseded {
        /// The other process's incarnation.
        by: Incarnation,
    },
}
