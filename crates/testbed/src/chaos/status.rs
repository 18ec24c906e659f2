//! Reads the revision in force on each node through its public status call.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::client::{ClientSettings, OperatorClient};
use ridgeworks_api::v1;
use ridgeworks_history::Event;

use super::recorder::Recorder;

const POLL_INTERVAL: Duration = Duration::from_millis(50);
const TIMEOUT: Duration = Duration::from_secs(2);

/// A client of one node that asks once and does not wait long.
pub fn status_client(node: SocketAddr, token: &str) -> OperatorClient {
    OperatorClient::new(ClientSettings {
        response_timeout: TIMEOUT,
        connect_timeout: TIMEOUT,
        rounds: 1,
        ..ClientSettings::new(vec![format!("http://{node}")], token.to_owned())
    })
}

/// Records what a node shows until it is told to stop.
pub fn watch(name: &str, node: SocketAddr, token: &str, recorder: &Recorder, stop: &AtomicBool) {
    let client = status_client(node, token);
    while !stop.load(Ordering::SeqCst) {
        let invoked_at_us = recorder.now_us();
        if let Ok(status) = client.node_status(&v1::NodeStatusRequest {})
            && status.ready
            && let Some(revision) = status.revision
        {
            recorder.write(Event::ConfigInForce {
                node: name.to_owned(),
                revision,
                invoked_at_us,
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
}

/// Waits until a node says that it takes requests; tells whether it did in time.
pub fn wait_until_ready(node: SocketAddr, token: &str, timeout: Duration) -> bool {
    let client = status_client(node, token);
    let deadline = Instant::now() + timeout;
    while Instant::now() < deadline {
        let status = client.node_status(&v1::NodeStatusRequest {});
        if status.is_ok_and(|status| status.ready) {
            return true;
        }
        thread::sleep(POLL_INTERVAL);
    }
    false
}
