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

/// Most bytes of one encoded message.
pub const MAX_MESSAGE_BYTES: usize = 8 * 1024;
/// Most claims in one message, so that it stays below [`MAX_MESSAGE_BYTES`].
pub const MAX_CLAIMS_PER_MESSAGE: usize = 256;
/// Most nodes in one message, so that it stays below [`MAX_MESSAGE_BYTES`].
pub const MAX_NODES_PER_MESSAGE: usize = 512;
/// Most bytes of member records that are gathered in one message.
const MAX_RECORD_BYTES_PER_MESSAGE: usize = 6 * 1024;
/// Bytes of an encoded member record besides its texts, rounded up.
const RECORD_BASE_BYTES: usize = 112;

/// Why a message could not be encoded or decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageError {
    /// The bytes are not a membership message.
    Malformed,
    /// The message could not be written.
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

/// A message between members. All may be lost, repeated or reordered.
#[derive(Debug, Clone, PartialEq, Eq, Archive, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Asks for an answer.
    Ping {
        /// What the sender holds of the receiver, so that the receiver can refute it.
        believed: Claim,
        /// Updates passed on.
        updates: Vec<NodeClaim>,
    },
    /// Answers a ping.
    Ack {
        /// What the sender says of itself.
        own: Claim,
        /// Updates passed on.
        updates: Vec<NodeClaim>,
    },
    /// Asks the receiver to ping another member and to report if it answers.
    IndirectPing {
        /// The member to ping.
        target: NodeId,
    },
    /// The member answered a ping that was sent after [`MembershipMessage::IndirectPing`] came.
    IndirectAck {
        /// The member that answered.
        target: NodeId,
        /// What it said of itself.
        claim: Claim,
    },
    /// Fresh claims, to be passed on at once.
    Updates {
        /// What changed.
        claims: Vec<NodeClaim>,
    },
    /// Member records: new members to be passed on at once, or answers to a pull.
    Records {
        /// The records.
        members: Vec<Member>,
        /// Whether these are news, to be passed on; otherwise they are hearsay.
        fresh: bool,
    },
    /// A new member asks for the table.
    Join {
        /// Its record, boxed so that the other messages stay small.
        member: Box<Member>,
    },
    /// Hash of the sender's table, for comparison.
    TableHash {
        /// Hash over all present members.
        hash: u64,
    },
    /// One page of the sender's table. Its claims are hearsay: a receiver checks a Dead one itself.
    Digest {
        /// First node that the page covers; after `last` when it covers no range.
        first: NodeId,
        /// Last node that the page covers.
        last: NodeId,
        /// What the sender holds, by node.
        claims: Vec<NodeClaim>,
    },
    /// Asks for the records of these nodes.
    Pull {
        /// The nodes.
        nodes: Vec<NodeId>,
    },
}

/// Splits records into as many messages as the bound on their size takes.
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
    /// The message as bytes.
    pub fn encode(&self) -> Result<Vec<u8>, MessageError> {
        let bytes = rkyv::to_bytes::<ArchiveError>(self).map_err(|_| MessageError::Unwritable)?;
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        Ok(bytes.into_vec())
    }

    /// Reads a message back. The bytes need no alignment.
    pub fn decode(bytes: &[u8]) -> Result<Self, MessageError> {
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong(bytes.len()));
        }
        let mut aligned = rkyv::util::AlignedVec::<16>::with_capacity(bytes.len());
        aligned.extend_from_slice(bytes);
        rkyv::from_bytes::<Self, ArchiveError>(&aligned).map_err(|_| MessageError::Malformed)
    }
}
