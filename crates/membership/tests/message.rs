//! Messages read back as they were written, stay small and refuse what is not theirs.

mod support;

use quickcheck::quickcheck;
use ridgeworks_domain::NodeId;
use ridgeworks_membership::message::{
    MAX_CLAIMS_PER_MESSAGE, MAX_MESSAGE_BYTES, MAX_NODES_PER_MESSAGE, records_messages,
};
use ridgeworks_membership::{MembershipMessage, MessageError, NodeClaim};
use support::cluster::member;

fn reads_back(message: &MembershipMessage) -> bool {
    let bytes = message.encode().unwrap();
    MembershipMessage::decode(&bytes).as_ref() == Ok(message)
}

#[test]
fn full_pages_read_back_and_stay_below_the_bound() {
    let claims: Vec<NodeClaim> = (0..MAX_CLAIMS_PER_MESSAGE)
        .map(|index| member(index, 0, 9).node_claim())
        .collect();
    let nodes = (0..MAX_NODES_PER_MESSAGE as u64).map(NodeId).collect();
    assert!(reads_back(&MembershipMessage::Pull { nodes }));
    assert!(reads_back(&MembershipMessage::Updates {
        claims: claims.clone()
    }));
    assert!(reads_back(&MembershipMessage::Digest {
        first: NodeId(0),
        last: NodeId(9),
        claims
    }));
    assert!(reads_back(&MembershipMessage::Join {
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
        messages.iter().all(reads_back) && sizes.max().unwrap_or(0) <= MAX_MESSAGE_BYTES
    }

    fn damaged_bytes_read_as_a_message_or_as_malformed(position: usize, value: u8) -> bool {
        let message = MembershipMessage::Join { member: Box::new(member(1, 2, 3)) };
        let mut bytes = message.encode().unwrap();
        let position = position % bytes.len();
        bytes[position] = value;
        matches!(MembershipMessage::decode(&bytes), Ok(_) | Err(MessageError::Malformed))
    }
}

#[test]
fn foreign_and_oversized_bytes_are_refused() {
    assert_eq!(MembershipMessage::decode(&[]), Err(MessageError::Malformed));
    assert_eq!(
        MembershipMessage::decode(&[0xff; 64]),
        Err(MessageError::Malformed)
    );
    let oversized = vec![0; MAX_MESSAGE_BYTES + 1];
    let refused = MembershipMessage::decode(&oversized);
    assert_eq!(refused, Err(MessageError::TooLong(MAX_MESSAGE_BYTES + 1)));
}
