//! What nodes say to each other: requests over framed TCP links, heartbeats over UDP.

mod confirming;
mod encoding;
mod frame;
mod gossip;
mod grant;
mod later;
mod link;
mod links;
mod members;
mod message;
mod purpose;
mod server;
mod targets;
mod unread;

pub use encoding::{Message, MessageError, MessageKind, Section, decode, encode, number_of};
pub use frame::{Frame, FrameError, PROTOCOL, RawSection, frame, unframe};
pub use gossip::{Gossip, GossipSources, Questions, fetch_members, fetch_view};
pub use grant::{GrantReply, GrantRequest};
pub use later::{Build, ExtensionDatagram, ExtensionReply, ExtensionRequest};
pub use link::LinkError;
pub use links::{PeerLinks, silence_timeout};
pub use members::{Member, Members};
pub use message::{
    Confirmations, Datagram, DrainNews, Envelope, Heartbeat, KnownDrains, KnownEngines, LoadReport,
    MemberInfo, PeerReply, PeerRequest, PrepareRequest, RelayedRequest, ReplicaStatus, ToldDrains,
    ViewPosition, ViewUpdate,
};
pub use server::{PeerService, serve};
pub use targets::targets;
pub use unread::{UNREAD, Unread};

use tokio_util::codec::LengthDelimitedCodec;

/// Largest frame; a longer one breaks the connection.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
