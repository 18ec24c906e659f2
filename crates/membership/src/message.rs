//! Messages between members.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

use std::fmt;

use ridgeworks_domain::NodeId;
use rkyv::rancor::Error as ArchiveError;
use rkyv::{Archive, Deserialize, Serialize};

use crate::member::{Claim, Member, NodeClaim};

/// Maximum size of one encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Maximum number of claims in one message, so that it stays below [`MAX_MESSAGE_BYTES`].
pub const MAX_CLAIMS_PER_MESSAGE: usize = 256;
/// Maximum number of nodes in one message, so that it stays below [`MAX_MESSAGE_BYTES`].
pub const MAX_NODES_PER_MESSAGE: usize = 512;
/// Maximum size of the member records in one message.
const MAX_RECORD_BYTES_PER_MESSAGE: usize = 6 * 1024;
/// Size of an encoded member record without its strings, rounded up.
const RECORD_BASE_BYTES: usize = 112;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The bytes are not a membership message.
    Malformed,
    /// The message could not be serialised.
    Unwritable,
    /// The message is longer than [`MAX_MESSAGE_BYTES`]; holds its length.
    TooLong(usize),
}

impl fmt::Display for MessageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed => write!(formatter, "bytes are not a membership message"),
            Self::Unwritable => write!(formatter, "membership message could not be written"),
            Self::TooLong(length) => write!(
                formatter,
                "membership message has {length} bytes, at most {MAX_MESSAGE_BYTES} are allowed"
            ),
        }
    }
}

impl std::error::Error for MessageError {}

/// A message between members. Messages may be lost, repeated or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Requests an [`MembershipMessage::Ack`].
    Ping {
        /// The sender's claim about the receiver, which the receiver may refute.
        believed: Claim,
        /// Piggybacked updates.
        updates: Vec<NodeClaim>,
    },
    /// Answers a ping.
    Ack {
        /// The sender's claim about itself.
        own: Claim,
        /// Piggybacked updates.
        updates: Vec<NodeClaim>,
    },
    /// Requests that the receiver ping another member and report an answer.
    IndirectPing {
        /// The member to ping.
        target: NodeId,
    },
    /// The member answered a ping that was sent after [`MembershipMessage::IndirectPing`] arrived.
    IndirectAck {
        /// The member that answered.
        target: NodeId,
        /// The member's claim about itself.
        claim: Claim,
    },
    /// New claims, to be disseminated further.
    Updates {
        /// The claims.
        claims: Vec<NodeClaim>,
    },
    /// Member records: new members, or answers to a join, a pull or a digest.
    Records {
        /// The records.
        members: Vec<Member>,
        /// Whether the records are merged and disseminated further at once. Otherwise they are not
        /// disseminated further, and a Dead record of a present member is verified first.
        fresh: bool,
    },
    /// A new member announces itself and requests the table.
    Join {
        /// Record of the new member, boxed to keep the enum small.
        member: Box<Member>,
    },
    /// Hash of the sender's table, for comparison.
    TableHash {
        /// Hash over all present members.
        hash: u64,
    },
    /// One page of the sender's table. The receiver verifies a Dead claim itself before it merges it.
    Digest {
        /// First node that the page covers; greater than `last` if it covers no range.
        first: NodeId,
        /// Last node that the page covers.
        last: NodeId,
        /// The sender's claims in order of node.
        claims: Vec<NodeClaim>,
    },
    /// Requests the records of these nodes.
    Pull {
        /// The nodes.
        nodes: Vec<NodeId>,
    },
}

/// Splits records into messages that respect the maximum size.
pub fn records_messages(members: Vec<Member>, fresh: bool) -> Vec<MembershipMessage> {
    let mut messages = Vec::new();
    let mut page = Vec::new();
    let mut page_bytes = 0;
    for member in members {
        let texts = [&member.name, member.zone.as_str(), member.region.as_str()];
        let bytes = RECORD_BASE_BYTES + texts.iter().map(|text| text.len()).sum::<usize>();
        if page_bytes + bytes > MAX_RECORD_BYTES_PER_MESSAGE && !page.is_empty() {
            let members = std::mem::take(&mut page);
            messages.push(MembershipMessage::Records { members, fresh });
            page_bytes = 0;
        }
        page_bytes += bytes;
        page.push(member);
    }
    if !page.is_empty() {
        let members = page;
        messages.push(MembershipMessage::Records { members, fresh });
    }
    messages
}

impl MembershipMessage {
    /// Encodes the message; fails if it is longer than [`MAX_MESSAGE_BYTES`].
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = rkyv::to_bytes::<ArchiveError>(self).map_err(|_| MessageError::Unwritable)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        Ok(bytes.into_vec())
    }

    /// Decodes a message. The bytes need no alignment.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<Self, ArchiveError>(&aligned).map_err(|_| MessageError::Malformed)
    }
}
