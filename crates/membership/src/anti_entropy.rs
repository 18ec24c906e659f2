//! Anti-entropy: comparison of two members' tables, which repairs updates lost in dissemination.
//!
//! One member sends the hash of its table. If it differs from the receiver's, the receiver answers
//! with its claims in pages, and both then send what the other lacks.

use std::collections::BTreeSet;

use ridgeworks_domain::NodeId;

use crate::member::{MemberState, NodeClaim};
use crate::member_table::MemberTable;
use crate::message::{MAX_CLAIMS_PER_MESSAGE, MembershipMessage};

const FIRST_NODE: NodeId = NodeId(0);
const LAST_NODE: NodeId = NodeId(u64::MAX);

/// Differences between a page and the local table.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Claims of the page that take precedence over the table's, or whose record the table lacks.
    pub newer_remote: Vec<NodeClaim>,
    /// Claims of the table that take precedence over the page's.
    pub newer_local: Vec<NodeClaim>,
    /// Present members of the table in the page's range that the page does not list.
    pub missing_remote: Vec<NodeId>,
}

/// The table as `Digest` messages whose ranges together cover all nodes.
pub fn digest_pages(table: &MemberTable) -> Vec<MembershipMessage> {
    let claims: Vec<NodeClaim> = table.published_claims().collect();
    let pages: Vec<&[NodeClaim]> = claims.chunks(MAX_CLAIMS_PER_MESSAGE).collect();
    let page_of = |(index, page): (usize, &&[NodeClaim])| MembershipMessage::Digest {
        first: if index == 0 { FIRST_NODE } else { page[0].node },
        last: pages
            .get(index + 1)
            .map_or(LAST_NODE, |next| NodeId(next[0].node.0 - 1)),
        claims: page.to_vec(),
    };
    pages.iter().enumerate().map(page_of).collect()
}

/// Claims as `Digest` messages that cover no range.
pub fn claim_messages(claims: &[NodeClaim]) -> Vec<MembershipMessage> {
    let pages = claims.chunks(MAX_CLAIMS_PER_MESSAGE);
    let message_of = |page: &[NodeClaim]| MembershipMessage::Digest {
        first: LAST_NODE,
        last: FIRST_NODE,
        claims: page.to_vec(),
    };
    pages.map(message_of).collect()
}

/// Compares a page with the table. Departed members that the table does not contain are skipped.
pub fn compare(
    table: &MemberTable,
    first: NodeId,
    last: NodeId,
    claims: &[NodeClaim],
) -> Comparison {
    let mut comparison = Comparison::default();
    for claimed in claims {
        let held = table.published_claim_of(claimed.node);
        match held {
            None if claimed.claim.state.is_present() => comparison.newer_remote.push(*claimed),
            None => {}
            Some(held) if claimed.claim > held => comparison.newer_remote.push(*claimed),
            Some(held) if claimed.claim < held => comparison.newer_local.push(NodeClaim {
                node: claimed.node,
                claim: held,
            }),
            Some(_) => {}
        }
    }
    let listed: BTreeSet<NodeId> = claims.iter().map(|claimed| claimed.node).collect();
    let is_covered = |node: NodeId| first <= node && node <= last;
    comparison.missing_remote = table
        .present()
        .map(|member| member.node)
        .filter(|node| is_covered(*node) && !listed.contains(node))
        .collect();
    comparison
}

/// Whether a claim of this state, received in a comparison, is verified by a probe before it is
/// merged.
pub fn requires_verification(state: MemberState) -> bool {
    state == MemberState::Dead
}
