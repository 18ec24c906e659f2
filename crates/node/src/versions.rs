//! Asks the nodes of a deployment what they run, as during an upgrade.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_resident::peer::{
    Build, ExtensionReply, ExtensionRequest, LinkError, MemberInfo, PeerLinks, PeerReply,
    PeerRequest,
};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const TIMEOUT: Duration = Duration::from_secs(2);

/// Why the nodes could not be asked.
#[derive(Debug)]
pub enum VersionsError {
    /// The runtime could not be started.
    Runtime(io::Error),
    /// The node that was named does not answer.
    Link(LinkError),
    /// It answers something else than its members.
    NoMembers,
}

impl fmt::Display for VersionsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Runtime(error) => write!(formatter, "cannot start the runtime: {error}"),
            Self::Link(error) => write!(formatter, "the node does not answer: {error}"),
            Self::NoMembers => write!(formatter, "the node does not tell its members"),
        }
    }
}

impl std::error::Error for VersionsError {}

/// Prints one line for each node that the named one knows.
pub fn print(node: SocketAddr) -> Result<(), VersionsError> {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(VersionsError::Runtime)?;
    LocalSet::new().block_on(&runtime, async {
        let links = PeerLinks::default();
        for member in members(&links, node).await? {
            let told = ask(&links, member.address).await;
            println!("{} {} {}", member.name, member.zone, told);
        }
        Ok(())
    })
}

async fn members(links: &PeerLinks, node: SocketAddr) -> Result<Vec<MemberInfo>, VersionsError> {
    let reply = links.call(node, PeerRequest::ListMembers, TIMEOUT).await;
    match reply.map_err(VersionsError::Link)? {
        PeerReply::Members(mut members) => {
            members.sort_by(|one, other| one.name.cmp(&other.name));
            Ok(members)
        }
        _ => Err(VersionsError::NoMembers),
    }
}

/// What a node says that it runs. One that does not know the question is of the first protocol version.
async fn ask(links: &PeerLinks, node: SocketAddr) -> String {
    let request = PeerRequest::Extension(ExtensionRequest::FetchBuild);
    match links.call(node, request, TIMEOUT).await {
        Ok(PeerReply::Extension(ExtensionReply::Build(build))) => build.to_string(),
        Ok(_) => first_version().to_string(),
        Err(error) => format!("no answer: {error}"),
    }
}

fn first_version() -> Build {
    Build {
        commit: "unknown".to_owned(),
        protocol: 0,
        disk: 0,
    }
}
