//! Communication between nodes: requests over framed TCP links, heartbeats over UDP.

mod confirmation_query;
mod encoding;
mod extension;
mod frame;
mod gossip;
mod grant;
mod link;
mod links;
mod members;
mod message;
mod purpose;
mod rejected;
mod server;
mod targets;
mod witness;

pub use encoding::{Message, MessageError, MessageKind, Section, decode, encode, frame_number};
pub use extension::{Build, ExtensionDatagram, ExtensionReply, ExtensionRequest};
pub use frame::{Frame, FrameError, PROTOCOL, RawSection, frame, unframe};
pub use gossip::{Gossip, GossipSources, PendingQueries, fetch_members, fetch_view};
pub use grant::{GrantReply, GrantRequest};
pub use link::LinkError;
pub use links::{PeerLinks, silence_timeout};
pub use members::{Member, Members};
pub use message::{
    Confirmations, Datagram, DrainSection, DrainSnapshot, Envelope, Heartbeat, KnownDrains,
    KnownEngines, LoadReport, MemberInfo, PeerReply, PeerRequest, PrepareRequest, RelayedRequest,
    ReplicaStatus, ViewPosition, ViewUpdate,
};
pub use rejected::{REJECTED, RejectedMessages};
pub use server::{PeerService, serve};
pub use targets::targets;
pub use witness::{WitnessReply, WitnessRequest};

use tokio_util::codec::LengthDelimitedCodec;

/// Maximum size of a frame; a larger one closes the connection.
const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

fn codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME_BYTES)
        .new_codec()
}
