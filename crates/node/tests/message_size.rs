//! Sizes of the messages between nodes: frequent ones must not be as long as the longest.

use ridgeworks_domain::NodeId;
use ridgeworks_membership::{Claim, Incarnation, MemberState, MembershipMessage};
use ridgeworks_node::message::NodeMessage;

/// A probe with its claim, the enum's tags and alignment.
const LONGEST_PROBE: usize = 48;

#[test]
fn a_probe_is_short() {
    let believed = Claim {
        incarnation: Incarnation(1),
        state: MemberState::Alive,
    };
    let updates = Vec::new();
    let ping = NodeMessage::Membership(MembershipMessage::Ping { believed, updates });
    let length = ping.encode().len();
    assert!(length <= LONGEST_PROBE, "a probe takes {length} bytes");
}

#[test]
fn messages_survive_the_way() {
    let target = NodeId::from_name("target");
    let message = NodeMessage::Membership(MembershipMessage::IndirectPing { target });
    assert_eq!(NodeMessage::decode(&message.encode()), Ok(message));
}
