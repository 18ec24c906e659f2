//! What goes into the membership state machine and what comes out of it.

use std::net::SocketAddr;

use ridgeworks_domain::NodeId;

use crate::member::{Incarnation, Member, MemberState};
use crate::message::MembershipMessage;

/// Something that happened to this node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The time of [`crate::Membership::next_timer`] has come.
    Timer,
    /// A membership message arrived.
    Message {
        /// The node that sent it, as its link introduced itself.
        from: NodeId,
        /// The message.
        message: MembershipMessage,
    },
    /// Any other message arrived from the node: it lives.
    PeerActivity {
        /// The sender.
        node: NodeId,
    },
    /// A link to the node was closed or reset by the other end, or could not be dialled.
    LinkClosed {
        /// The other end.
        node: NodeId,
    },
    /// This node starts to leave on purpose: it takes nothing new.
    Leave,
    /// This node has finished what it had; it may exit once the effects are carried out.
    Left,
}

/// What the node must do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// Send a message to a member, opening a link if there is none. May be lost.
    Send {
        /// The member.
        to: NodeId,
        /// Where to dial it.
        address: SocketAddr,
        /// What to send.
        message: MembershipMessage,
    },
    /// Send a message to a seed whose node is not known yet. May be lost.
    SendToSeed {
        /// Where to dial it.
        address: SocketAddr,
        /// What to send.
        message: MembershipMessage,
    },
    /// A member joined, changed its state or was replaced.
    MemberChanged {
        /// The member as it is now.
        member: Member,
        /// Its state before, `None` when it was not known.
        old_state: Option<MemberState>,
    },
    /// A Dead or Left member was forgotten after the retention time.
    MemberForgotten {
        /// The node.
        node: NodeId,
    },
    /// Another process of a later start carries this node's name: this process must stop.
    Superseded {
        /// The other process's incarnation.
        by: Incarnation,
    },
}
