//! Keeps the identities of the replicas' stores at hand for runs that are opened here.

use std::time::Duration;

use ridgeworks_membership::{Member, MemberState};
use ridgeworks_run_log::message::{Message, Request};
use stakker::Fwd;

use crate::message::NodeMessage;
use crate::router::Outgoing;

/// How often every replica is asked again. A restarted one is asked as soon as it is known.
pub const REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// A node that has just come is asked again after these times: the first message may go down with the link to its predecessor.
pub const REPEATS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(4)];

/// Asks a member for its store's identity, if it has a store and is there.
pub fn ask(member: &Member, outgoing: &Fwd<Outgoing>) {
    if !member.has_disk || member.state != MemberState::Alive {
        return;
    }
    let message = NodeMessage::RunLog(Message::Request(Request::Identify));
    outgoing.fwd(Outgoing {
        to: member.node,
        message,
    });
}
