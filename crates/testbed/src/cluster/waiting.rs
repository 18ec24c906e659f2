//! Waits until a deployment is in a wanted state, as its own interfaces report it.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::v1;

use super::configure::{PartnerToken, operator_client};
use super::error::{ClusterError, Condition};

const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Repeats a check until it holds.
pub(super) fn wait_for(
    condition: Condition,
    timeout: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<(), ClusterError> {
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        if holds() {
            return Ok(());
        }
        thread::sleep(POLL_INTERVAL);
    }
    Err(ClusterError::TimedOut(condition))
}

/// Whether every node says that it takes requests.
pub(super) fn are_ready(nodes: &[SocketAddr], token: &PartnerToken) -> bool {
    nodes.iter().all(|node| {
        let client = operator_client(&[*node], token);
        let status = client.node_status(&v1::NodeStatusRequest {});
        status.is_ok_and(|status| status.ready)
    })
}

/// Whether every node sees all these nodes alive.
pub(super) fn see_alive(nodes: &[SocketAddr], token: &PartnerToken, names: &[&str]) -> bool {
    nodes.iter().all(|node| {
        let client = operator_client(&[*node], token);
        let status = client.status(&v1::StatusRequest {});
        status.is_ok_and(|status| names.iter().all(|name| is_alive(&status, name)))
    })
}

fn is_alive(status: &v1::StatusResponse, name: &str) -> bool {
    let alive = i32::from(v1::NodeState::Alive);
    let mut nodes = status.nodes.iter();
    nodes.any(|node| node.name == name && node.state == alive)
}
