//! What a node takes in of the deployment from nodes of an earlier version.
//!
//! Those tell a configuration without the regions of its routes, and engines without how long they warm up. Put in force, it would let
//! requests leave their regions, and engines that warm up get what warm ones bear.

mod support;

#[path = "support/samples.rs"]
#[allow(dead_code, reason = "a view is enough")]
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

const NOTHING: ViewPosition = ViewPosition {
    version: 0,
    engines: KnownEngines::Nothing,
    epoch: Epoch(0),
    wants_drains: false,
};

fn read(bytes: &[u8]) -> ViewUpdate {
    let reply: Envelope<PeerReply> = decode(bytes).expect("a reply");
    match reply.body {
        PeerReply::View(update) => update,
        other => panic!("{other:?}"),
    }
}

/// A view as a node of the first version told it.
fn first_version() -> ViewUpdate {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/v0/reply-view.bin");
    read(&fs::read(file).expect("the file"))
}

/// What a node tells somebody who knows nothing, as it is read there.
fn told_by(view: &View) -> ViewUpdate {
    let body = PeerReply::View(view.update_since(&NOTHING));
    read(&encode(&Envelope { number: 7, body }).expect("small"))
}

fn view(needs_extras: bool) -> View {
    View::new(Clock::start(), true).needing_extras(needs_extras)
}

/// A node that has everything from the store.
fn informed() -> View {
    let view = view(true);
    view.adopt_configuration(samples::configuration(), Source::Store);
    let engines = samples::engines();
    view.adopt_engines(engines.entries, engines.at, Source::Store);
    view.confirm_as_of(Duration::ZERO);
    view
}

#[test]
fn where_nothing_of_it_is_promised_all_is_taken_in() {
    let view = view(false);
    view.adopt_update(first_version(), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.engines_known());
    assert!(view.confirmation_age().is_some());
    assert!(view.accepts_views_from(0));
}

#[test]
fn where_it_is_promised_what_lacks_it_is_not_taken_in() {
    let view = view(true);
    view.adopt_update(first_version(), Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert_eq!(view.confirmation_age(), None, "nothing is confirmed by it");
    assert_eq!(view.epoch(), samples::groups().epoch(), "sets lack nothing");
    assert!(!view.accepts_views_from(0));
}

#[test]
fn what_lacks_it_stays_so_when_a_node_of_this_version_passes_it_on() {
    let carrier = view(false);
    carrier.adopt_update(first_version(), Duration::ZERO);
    let told = told_by(&carrier);
    assert_eq!(told.protocol, PROTOCOL);
    let view = view(true);
    view.adopt_update(told, Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert!(
        !view.accepts_views_from(PROTOCOL),
        "not asked again at once"
    );
}

#[test]
fn what_a_node_of_this_version_has_from_the_store_is_taken_in() {
    let view = view(true);
    view.adopt_update(told_by(&informed()), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.engines_known());
    assert!(view.confirmation_age().is_some());
}

#[test]
fn a_newer_configuration_from_the_store_may_be_passed_on_again() {
    let carrier = view(false);
    carrier.adopt_update(first_version(), Duration::ZERO);
    let mut newer = samples::configuration();
    newer.version = 43;
    carrier.adopt_configuration(newer, Source::Store);
    let view = view(true);
    view.adopt_update(told_by(&carrier), Duration::ZERO);
    assert_eq!(view.version(), 43);
    assert!(!view.engines_known(), "its engines came from elsewhere");
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

fn need_extras(more: &str) -> bool {
    let settings = NodeSettings::parse(&format!("{SETTINGS}{more}"));
    settings.expect("settings").need_extras()
}

#[test]
fn settings_tell_whether_it_is_promised() {
    assert!(!need_extras(""));
    assert!(!need_extras("zone_drain_ms = 2000.0"));
    assert!(need_extras("warm_up_factor = 1.1"));
    assert!(!need_extras("[zones]\na = \"north\"\nb = \"north\""));
    assert!(need_extras("[zones]\na = \"north\"\nb = \"south\""));
}

const PATIENCE: Duration = Duration::from_secs(5);
const PAUSE: Duration = Duration::from_millis(10);

/// Counts the requests for a view.
struct Asked(Rc<Cell<usize>>);

impl PeerService for Asked {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if matches!(request, PeerRequest::FetchView(_)) {
            self.0.set(self.0.get() + 1);
        }
        // Whoever asked may be gone.
        let _ = reply.send(PeerReply::Unsupported);
    }
}

struct IdleRole;

impl GossipSources for IdleRole {
    fn load(&self) -> LoadReport {
        LoadReport::default()
    }

    fn replica(&self) -> Option<ReplicaStatus> {
        None
    }

    fn on_load(&self, _from: &str, _load: LoadReport) {}

    fn on_prefill(&self, _read: PrefillRecord) {}

    fn find_read(&self, _part: u64) -> Option<PrefillRecord> {
        None
    }
}

/// A node that knows nothing yet, and where it hears others.
async fn started(more: &str) -> (Rc<Node>, SocketAddr) {
    let mut settings = NodeSettings::parse(&format!("{SETTINGS}{more}")).expect("settings");
    settings.peer_port = free_address().port();
    let address = settings.peer_address();
    let node = Node::bind(settings, Clock::start()).await;
    let node = node.expect("a free port");
    let service = Asked(Rc::default());
    let outcome = node.start(Rc::new(service), Rc::new(IdleRole)).await;
    outcome.expect("a free port");
    (node, address)
}

/// Another node: its socket, and how often it was asked for its view.
async fn other() -> (UdpSocket, Rc<Cell<usize>>) {
    let address = free_address();
    let socket = UdpSocket::bind(address).await.expect("a free port");
    let asked = Rc::<Cell<usize>>::default();
    let service = Asked(Rc::clone(&asked));
    serve(address, Rc::new(service)).await.expect("a free port");
    (socket, asked)
}

/// A heartbeat that tells of a newer configuration.
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
        },
        epoch: Epoch(0),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }));
    encode(&datagram).expect("small").to_vec()
}

/// The same from a node of the first version.
fn first_heartbeat(name: &str, from: &UdpSocket) -> Vec<u8> {
    let bytes = heartbeat(name, from);
    let frame = unframe(&bytes).expect("whole").expect("framed");
    frame.body.to_vec()
}

async fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let waited = async {
        while !holds() {
            sleep(PAUSE).await;
        }
    };
    timeout(PATIENCE, waited).await.expect(what);
}

#[test]
fn a_node_asks_those_who_tell_all_of_it() {
    run(async {
        let (node, address) = started("warm_up_factor = 1.1").await;
        let (older, asked_older) = other().await;
        let (newer, asked_newer) = other().await;
        let bytes = first_heartbeat("older", &older);
        older.send_to(&bytes, address).await.expect("loopback");
        let older_is_heard = || node.gossip.heard_member("older").is_some();
        wait_until("the older node is heard", older_is_heard).await;
        let bytes = heartbeat("newer", &newer);
        newer.send_to(&bytes, address).await.expect("loopback");
        wait_until("the newer node is asked", || asked_newer.get() > 0).await;
        assert_eq!(asked_older.get(), 0);
    });
}

#[test]
fn a_node_asks_anybody_where_nothing_of_it_is_promised() {
    run(async {
        let (_node, address) = started("").await;
        let (older, asked) = other().await;
        let bytes = first_heartbeat("older", &older);
        older.send_to(&bytes, address).await.expect("loopback");
        wait_until("the older node is asked", || asked.get() > 0).await;
    });
}

/// The place among the watchers of a node that hears so many older gateways.
async fn place_among_older(more: &str) -> WatcherRole {
    const OLDER: usize = 60;
    let (node, address) = started(more).await;
    let (socket, _) = other().await;
    for number in 0..OLDER {
        let bytes = first_heartbeat(&format!("older-{number}"), &socket);
        socket.send_to(&bytes, address).await.expect("loopback");
        // So that the node's socket never overflows.
        let is_heard = || node.gossip.members().len() > number;
        wait_until("an older node is heard", is_heard).await;
    }
    node.gossip.watcher_role(node.clock.now())
}

#[test]
fn older_nodes_watch_the_store_for_others_only_where_their_news_are_enough() {
    run(async {
        let watcher_role = place_among_older("warm_up_factor = 1.1").await;
        assert_eq!(watcher_role, WatcherRole::All);
        assert_ne!(place_among_older("").await, WatcherRole::All);
    });
}
