//! Encoding of messages: round trips, the size limit, and rejection of malformed bytes.

mod support;

use quickcheck::quickcheck;
use ridgeworks_domain::NodeId;
use ridgeworks_membership::message::{
    MAX_CLAIMS_PER_MESSAGE, MAX_MESSAGE_BYTES, MAX_NODES_PER_MESSAGE, records_messages,
};
use ridgeworks_membership::{MembershipMessage, MessageError, NodeClaim};
use support::cluster::member;

fn round_trips(message: &MembershipMessage) -> bool {
    let bytes = message.encode().unwrap();
    MembershipMessage::decode(&bytes).as_ref() == Ok(message)
}

#[test]
fn full_pages_round_trip_below_the_size_limit() {
    let claims: Vec<NodeClaim> = (0..MAX_CLAIMS_PER_MESSAGE)
        .map(|index| member(index, 0, 9).node_claim())
        .collect();
    let nodes = (0..MAX_NODES_PER_MESSAGE as u64).map(NodeId).collect();
    assert!(round_trips(&MembershipMessage::Pull { nodes }));
    assert!(round_trips(&MembershipMessage::Updates {
        claims: claims.clone()
    }));
    assert!(round_trips(&MembershipMessage::Digest {
        first: NodeId(0),
        last: NodeId(9),
        claims
    }));
    assert!(round_trips(&MembershipMessage::Join {
        member: Box::new(member(1, 2, 3))
    }));
}

quickcheck! {
    fn records_of_any_name_length_are_paged(name_bytes: u8, count: u8) -> bool {
        let named = |index: usize| {
            let mut member = member(index, 0, 1);
            member.name = "n".repeat(usize::from(name_bytes));
            member
        };
        let members: Vec<_> = (0..usize::from(count)).map(named).collect();
        let messages = records_messages(members, true);
        let sizes = messages.iter().map(|message| message.encode().unwrap().len());
        messages.iter().all(round_trips) && sizes.max().unwrap_or(0) <= MAX_MESSAGE_BYTES
    }

    fn damaged_bytes_decode_to_a_message_or_malformed(position: usize, value: u8) -> bool {
        let message = MembershipMessage::Join { member: Box::new(member(1, 2, 3)) };
        let mut bytes = message.encode().unwrap();
        let position = position % bytes.len();
        bytes[position] = value;
        matches!(MembershipMessage::decode(&bytes), Ok(_) | Err(MessageError::Malformed))
    }
}

#[test]
fn malformed_and_oversized_bytes_are_rejected() {
    assert_eq!(MembershipMessage::decode(&[]), Err(MessageError::Malformed));
    assert_eq!(
        MembershipMessage::decode(&[0xff; 64]),
        Err(MessageError::Malformed)
    );
    let oversized = vec![0; MAX_MESSAGE_BYTES + 1];
    let refused = MembershipMessage::decode(&oversized);
    assert_eq!(refused, Err(MessageError::TooLong(MAX_MESSAGE_BYTES + 1)));
}
