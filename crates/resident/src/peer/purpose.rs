//! Maps messages between nodes to the purposes that traffic is counted by.

use ridgeworks_records::ReplicaRequest;

use super::extension::{ExtensionDatagram, ExtensionRequest};
use super::message::{Datagram, PeerRequest};
use crate::traffic::Purpose;

/// Purpose of a request and its reply. A relayed request counts like the request itself.
pub fn of_request(request: &PeerRequest) -> Purpose {
    match request {
        PeerRequest::Replica { request, .. } => of_replica_request(request),
        PeerRequest::Relay(relayed) => of_replica_request(&relayed.request),
        PeerRequest::FetchView(_) | PeerRequest::ListMembers => Purpose::View,
        PeerRequest::Extension(ExtensionRequest::Grant(_)) => Purpose::Limit,
        PeerRequest::Extension(ExtensionRequest::Witness(_)) => Purpose::Reservation,
        PeerRequest::Extension(ExtensionRequest::FetchBuild | ExtensionRequest::Unknown(_)) => {
            Purpose::View
        }
        PeerRequest::Prepare(_) => Purpose::Copy,
    }
}

fn of_replica_request(request: &ReplicaRequest) -> Purpose {
    match request {
        ReplicaRequest::Charge { .. } => Purpose::Reservation,
        ReplicaRequest::Settle { .. } => Purpose::Settlement,
        ReplicaRequest::Append { .. } => Purpose::Append,
        ReplicaRequest::ReadChain { .. } => Purpose::ChainRead,
        ReplicaRequest::Adopt { .. } => Purpose::View,
        ReplicaRequest::List { .. } | ReplicaRequest::Fetch { .. } => Purpose::Copy,
        ReplicaRequest::Admit(_) => Purpose::Limit,
    }
}

/// Purpose of a datagram.
pub fn of_datagram(datagram: &Datagram) -> Purpose {
    match datagram {
        Datagram::Heartbeat(_) => Purpose::Heartbeat,
        Datagram::Read(_) | Datagram::FindRead { .. } | Datagram::FoundRead { .. } => {
            Purpose::PrefillDirectory
        }
        Datagram::AskConfirmations { .. } | Datagram::Confirmed { .. } => Purpose::Confirmation,
        Datagram::Extension(ExtensionDatagram::Unknown(_)) => Purpose::Unclaimed,
    }
}
