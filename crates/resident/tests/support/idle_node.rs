//! A node whose role sends and answers nothing, for tests that send it datagrams.
#![allow(dead_code, reason = "each test file uses its own part of the support")]

use std::rc::Rc;

use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    GossipSources, LoadReport, PeerReply, PeerRequest, PeerService, ReplicaStatus,
};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::view::Source;
use ridgeworks_routing::{ClientLimits, PrefillRecord, RouteConfiguration};
use tokio::sync::oneshot;

/// Version of the node's configuration.
pub const VERSION: u64 = 7;

/// A role that reports nothing and answers no request.
pub struct IdleRole;

impl PeerService for IdleRole {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        drop(reply);
    }
}

impl GossipSources for IdleRole {
    fn load_report(&self) -> LoadReport {
        LoadReport::default()
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        None
    }

    fn on_load_report(&self, _from: &str, _load: LoadReport) {}

    fn on_prefill(&self, _read: PrefillRecord) {}

    fn find_prefill(&self, _part: u64) -> Option<PrefillRecord> {
        None
    }
}

/// A configuration without routes.
pub fn configuration(version: u64) -> RouteConfiguration {
    RouteConfiguration {
        version,
        routes: Vec::new(),
        services: Vec::new(),
        limits: ClientLimits {
            max_header_bytes: 1,
            max_body_bytes: 1,
            header_timeout_ms: 1,
            idle_timeout_ms: 1,
        },
        tenants: None,
    }
}

/// Starts a node with a configuration that has never been confirmed.
pub async fn node(ip: &str) -> Rc<Node> {
    let text = format!(
        "role = \"gateway\"\nname = \"gateway-1\"\nzone = \"zone-a\"\naddress = \"{ip}\"\n\
         peer_port = 27395\n[listen]\ncallers = \"{ip}:27396\"\nreadiness = \"{ip}:27397\"\n\
         [limits]\nmemory_mb = 48\ndescriptors = 4100\n[platform]\nstore = \"{ip}:27398\"\n\
         [bounds]\ngrace_s = 8\ncontact_ms = 3000\nconfiguration_ms = 2000\nlost_machines = 1\n"
    );
    let settings = NodeSettings::parse(&text).expect("settings");
    let node = Node::bind(settings, Clock::start())
        .await
        .expect("a free port");
    node.view
        .adopt_configuration(configuration(VERSION), Source::Peer);
    node.start(Rc::new(IdleRole), Rc::new(IdleRole))
        .await
        .expect("a free port");
    node
}
