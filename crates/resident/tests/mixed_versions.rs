//! Updates of the view from nodes of earlier protocol versions.
//!
//! Those of version 0 lack the regions of routes and the warm-up times of engines. If they were applied where settings rely on these,
//! requests could leave their regions and warming engines could get the load of warm ones. Those of version 1 lack the engines'
//! software versions as well, without which streams would go on at any version.

mod support;

#[path = "support/samples.rs"]
#[allow(dead_code, reason = "only the view is used")]
mod samples;

use std::cell::Cell;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_records::Epoch;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Envelope, GossipSources, Heartbeat, KnownEngines, LoadReport,
    MemberInfo, PROTOCOL, PeerReply, PeerRequest, PeerService, ReplicaStatus, ViewPosition,
    ViewUpdate, decode, encode, serve, unframe,
};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::view::{Source, View};
use ridgeworks_resident::watch_policy::WatcherRole;
use ridgeworks_routing::PrefillRecord;
use support::{free_address, run};
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

const EMPTY: ViewPosition = ViewPosition {
    version: 0,
    engines: KnownEngines::Nothing,
    epoch: Epoch(0),
    wants_drains: false,
};

fn read(bytes: &[u8]) -> ViewUpdate {
    let reply: Envelope<PeerReply> = decode(bytes).expect("a reply");
    match reply.body {
        PeerReply::View(update) => update,
        other_node => panic!("{other_node:?}"),
    }
}

fn golden_update(path: &str) -> ViewUpdate {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    read(&fs::read(folder.join(path)).expect("the file"))
}

/// An update as a node of version 0 sent it.
fn version_0_update() -> ViewUpdate {
    golden_update("v0/reply-view.bin")
}

/// An update as a node of version 1 sent it.
fn version_1_update() -> ViewUpdate {
    golden_update("v1/reply-view-starts.bin")
}

/// The update that a node sends to one with an empty view, as decoded there.
fn update_from(view: &View) -> ViewUpdate {
    let body = PeerReply::View(view.update_since(&EMPTY));
    read(&encode(&Envelope { number: 7, body }).expect("a message that can be encoded"))
}

fn view(needs_protocol_1: bool) -> View {
    View::new(Clock::start(), true).needing_protocol_1(needs_protocol_1)
}

/// The view of a node that has everything from the store.
fn complete_view() -> View {
    let view = view(true);
    view.adopt_configuration(samples::configuration(), Source::Store);
    let engines = samples::engines();
    view.adopt_engines(engines.entries, engines.at, Source::Store);
    view.confirm_as_of(Duration::ZERO);
    view
}

#[test]
fn incomplete_configurations_are_applied_where_settings_do_not_need_more() {
    let view = view(false);
    view.adopt_update(version_0_update(), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.confirmation_age().is_some());
    assert!(view.accepts_views_from(0));
}

#[test]
fn engines_without_software_versions_are_refused_under_any_settings() {
    for update in [version_0_update(), version_1_update()] {
        let view = view(false);
        view.adopt_update(update, Duration::ZERO);
        assert!(!view.engines_known());
        assert_eq!(view.engines_confirmation_age(), None);
    }
    let view = view(false);
    assert!(!view.accepts_engines_from(0));
    assert!(!view.accepts_engines_from(1));
    assert!(view.accepts_engines_from(PROTOCOL));
}

#[test]
fn software_versions_of_engines_are_passed_on() {
    let sender = view(false);
    let mut engines = samples::engines();
    engines.entries[0].engine.software = "v1.1".to_owned();
    let instance = engines.entries[0].engine.instance.clone();
    sender.adopt_engines(engines.entries, engines.at, Source::Store);
    let receiver = view(false);
    receiver.adopt_update(update_from(&sender), Duration::ZERO);
    let software = receiver.with_engines(|engines| {
        let engine = engines.get(&instance);
        engine.map(|engine| engine.software.clone())
    });
    assert_eq!(software.as_deref(), Some("v1.1"));
}

#[test]
fn incomplete_updates_are_refused_where_settings_need_more() {
    let view = view(true);
    view.adopt_update(version_0_update(), Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert_eq!(
        view.confirmation_age(),
        None,
        "a refused update confirms nothing"
    );
    assert_eq!(
        view.epoch(),
        samples::groups().epoch(),
        "replica sets are always complete"
    );
    assert!(!view.accepts_views_from(0));
}

#[test]
fn an_incomplete_update_passed_on_by_a_current_node_is_refused() {
    let relay = view(false);
    relay.adopt_update(version_0_update(), Duration::ZERO);
    let told = update_from(&relay);
    assert_eq!(told.protocol, PROTOCOL);
    let view = view(true);
    view.adopt_update(told, Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert!(
        !view.accepts_views_from(PROTOCOL),
        "no new fetch right after a refusal"
    );
}

#[test]
fn a_complete_update_from_a_current_node_is_applied() {
    let view = view(true);
    view.adopt_update(update_from(&complete_view()), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.engines_known());
    assert!(view.confirmation_age().is_some());
}

#[test]
fn a_newer_configuration_from_the_store_is_complete_again() {
    let relay = view(false);
    relay.adopt_update(version_0_update(), Duration::ZERO);
    let mut newer = samples::configuration();
    newer.version = 43;
    relay.adopt_configuration(newer, Source::Store);
    let view = view(true);
    view.adopt_update(update_from(&relay), Duration::ZERO);
    assert_eq!(view.version(), 43);
    assert!(
        !view.engines_known(),
        "its engines came from the incomplete update"
    );
}

const SETTINGS: &str = r#"
role = "gateway"
name = "node-1"
zone = "a"
address = "127.0.0.1"
peer_port = 7000
[listen]
callers = "127.0.0.1:7001"
readiness = "127.0.0.1:7002"
[limits]
memory_mb = 256
descriptors = 1024
[platform]
store = "127.0.0.1:7100"
[bounds]
grace_s = 10.0
contact_ms = 500.0
configuration_ms = 4000.0
lost_machines = 1
"#;

fn needs_protocol_1(extra_lines: &str) -> bool {
    let settings = NodeSettings::parse(&format!("{SETTINGS}{extra_lines}"));
    settings.expect("settings").needs_protocol_1()
}

#[test]
fn regions_and_warm_up_bounds_need_protocol_1() {
    assert!(!needs_protocol_1(""));
    assert!(!needs_protocol_1("zone_drain_ms = 2000.0"));
    assert!(needs_protocol_1("warm_up_factor = 1.1"));
    assert!(!needs_protocol_1("[zones]\na = \"north\"\nb = \"north\""));
    assert!(needs_protocol_1("[zones]\na = \"north\"\nb = \"south\""));
}

const TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Counts requests for a view.
struct RequestCounter(Rc<Cell<usize>>);

impl PeerService for RequestCounter {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if matches!(request, PeerRequest::FetchView(_)) {
            self.0.set(self.0.get() + 1);
        }
        // The requester may have given up.
        let _ = reply.send(PeerReply::Unsupported);
    }
}

struct IdleRole;

impl GossipSources for IdleRole {
    fn load_report(&self) -> LoadReport {
        LoadReport::default()
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        None
    }

    fn on_load_report(&self, _from: &str, _load: LoadReport) {}

    fn on_prefill(&self, _prefill: PrefillRecord) {}

    fn find_prefill(&self, _part: u64) -> Option<PrefillRecord> {
        None
    }
}

/// Starts a node with an empty view; returns it and its address.
async fn start_node(extra_lines: &str) -> (Rc<Node>, SocketAddr) {
    let mut settings = NodeSettings::parse(&format!("{SETTINGS}{extra_lines}")).expect("settings");
    settings.peer_port = free_address().port();
    let address = settings.peer_address();
    let node = Node::bind(settings, Clock::start()).await;
    let node = node.expect("a free port");
    let service = RequestCounter(Rc::default());
    let outcome = node.start(Rc::new(service), Rc::new(IdleRole)).await;
    outcome.expect("a free port");
    (node, address)
}

/// Another node: its socket and the number of requests for its view.
async fn other_node() -> (UdpSocket, Rc<Cell<usize>>) {
    let address = free_address();
    let socket = UdpSocket::bind(address).await.expect("a free port");
    let requests = Rc::<Cell<usize>>::default();
    let service = RequestCounter(Rc::clone(&requests));
    serve(address, Rc::new(service)).await.expect("a free port");
    (socket, requests)
}

/// A heartbeat with a newer configuration.
fn heartbeat(name: &str, from: &UdpSocket) -> Vec<u8> {
    let datagram = Datagram::Heartbeat(Box::new(Heartbeat {
        from: MemberInfo {
            name: name.to_owned(),
            address: from.local_addr().expect("a bound socket"),
            zone: "a".to_owned(),
            is_replica: false,
        },
        incarnation: 1,
        confirmations: Confirmations {
            version: 9,
            unconfirmed_ms: None,
            engines_newest: 0,
            engines_unconfirmed_ms: None,
            drains: None,
            no_replica_sets_ms: None,
        },
        epoch: Epoch(0),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }));
    encode(&datagram)
        .expect("a message that can be encoded")
        .to_vec()
}

/// The same from a node of version 0.
fn version_0_heartbeat(name: &str, from: &UdpSocket) -> Vec<u8> {
    let bytes = heartbeat(name, from);
    let frame = unframe(&bytes).expect("a valid frame").expect("a frame");
    frame.body.to_vec()
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waited = async {
        while !holds() {
            sleep(POLL_INTERVAL).await;
        }
    };
    timeout(TIMEOUT, waited).await.expect(what);
}

#[test]
fn a_node_that_needs_protocol_1_does_not_fetch_from_version_0_nodes() {
    run(async {
        let (node, address) = start_node("warm_up_factor = 1.1").await;
        let (version_0, version_0_requests) = other_node().await;
        let (current, current_requests) = other_node().await;
        let bytes = version_0_heartbeat("older", &version_0);
        version_0.send_to(&bytes, address).await.expect("loopback");
        let version_0_is_known = || node.gossip.heard_member("older").is_some();
        wait_until(
            "the heartbeat of the version 0 node is received",
            version_0_is_known,
        )
        .await;
        let bytes = heartbeat("newer", &current);
        current.send_to(&bytes, address).await.expect("loopback");
        wait_until("the current node gets a request for its view", || {
            current_requests.get() > 0
        })
        .await;
        assert_eq!(version_0_requests.get(), 0);
    });
}

#[test]
fn a_node_that_does_not_need_protocol_1_fetches_from_version_0_nodes() {
    run(async {
        let (_node, address) = start_node("").await;
        let (version_0, requests) = other_node().await;
        let bytes = version_0_heartbeat("older", &version_0);
        version_0.send_to(&bytes, address).await.expect("loopback");
        wait_until("the version 0 node gets a request for its view", || {
            requests.get() > 0
        })
        .await;
    });
}

/// The watcher role of a node that knows 60 other gateways.
async fn role_among(
    heartbeat: impl Fn(&str, &UdpSocket) -> Vec<u8>,
    extra_lines: &str,
) -> WatcherRole {
    const NODES: usize = 60;
    let (node, address) = start_node(extra_lines).await;
    let (socket, _) = other_node().await;
    for number in 0..NODES {
        let bytes = heartbeat(&format!("other-{number}"), &socket);
        socket.send_to(&bytes, address).await.expect("loopback");
        // Sent one by one, so that the node's socket buffer never overflows.
        let is_heard = || node.gossip.members().len() > number;
        wait_until("the heartbeat of a node is received", is_heard).await;
    }
    node.gossip.watcher_role(node.clock.now())
}

#[test]
fn only_nodes_whose_updates_suffice_count_as_watchers() {
    run(async {
        for settings in ["", "warm_up_factor = 1.1"] {
            let among_older = role_among(version_0_heartbeat, settings).await;
            assert_eq!(among_older, WatcherRole::All, "{settings}");
            let among_current = role_among(heartbeat, settings).await;
            assert_ne!(among_current, WatcherRole::All, "{settings}");
        }
    });
}
