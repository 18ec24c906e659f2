//! Whether a node that can't read the store knows that the deployment has no replica sets.

#[path = "support/idle_node.rs"]
mod idle_node;
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use idle_node::{VERSION, node};
use ridgeworks_records::{Epoch, Replica, ReplicaGroups, ReplicaId, ReplicaSet};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Heartbeat, LoadReport, MemberInfo, PROTOCOL, decode, encode,
};
use ridgeworks_resident::view::Source;
use support::run;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);
/// How long it counts what another node read.
const TOLD_LIFETIME_MS: u64 = 10_000;

fn told(no_replica_sets_ms: Option<u64>) -> Confirmations {
    Confirmations {
        version: VERSION,
        unconfirmed_ms: None,
        engines_newest: 0,
        engines_unconfirmed_ms: None,
        drains: None,
        no_replica_sets_ms,
    }
}

fn member(address: SocketAddr, is_replica: bool) -> MemberInfo {
    MemberInfo {
        name: "other".to_owned(),
        address,
        zone: "zone-a".to_owned(),
        is_replica,
    }
}

fn heartbeat(from: SocketAddr, is_replica: bool) -> Datagram {
    Datagram::Heartbeat(Box::new(Heartbeat {
        from: member(from, is_replica),
        incarnation: 1,
        confirmations: told(Some(0)),
        epoch: Epoch::default(),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }))
}

fn groups() -> ReplicaGroups {
    let replica = Replica {
        id: ReplicaId(1),
        node: "replica-1".to_owned(),
        address: "127.78.13.2:27395".to_owned(),
        zone: "zone-a".to_owned(),
    };
    ReplicaGroups::single(ReplicaSet {
        epoch: Epoch(1),
        voters: vec![replica],
        incoming: None,
    })
}

async fn send(socket: &UdpSocket, to: &Rc<Node>, datagram: &Datagram) {
    let bytes = encode(datagram).expect("a datagram");
    let sent = socket.send_to(&bytes, to.settings.peer_address()).await;
    sent.expect("loopback accepts datagrams");
}

/// The next datagram from which `pick` takes something.
async fn next<T>(socket: &UdpSocket, pick: impl Fn(Datagram) -> Option<T>) -> T {
    let mut buffer = vec![0; 8 * 1024];
    let receiving = async {
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await.expect("a datagram");
            let datagram = decode(&buffer[..length]).expect("a readable datagram");
            if let Some(picked) = pick(datagram) {
                return picked;
            }
        }
    };
    timeout(TIMEOUT, receiving)
        .await
        .expect("the node sends it")
}

async fn next_query(socket: &UdpSocket) -> u64 {
    let number = |datagram| match datagram {
        Datagram::AskConfirmations { number } => Some(number),
        _ => None,
    };
    next(socket, number).await
}

/// Guards against a gateway whose calls wait for replicas for good, since it never reaches the store.
#[test]
fn a_node_that_cannot_read_the_store_is_told_that_there_are_no_replica_sets() {
    run(async {
        let node = node("127.78.11.1").await;
        let peer = UdpSocket::bind("127.78.11.2:27395").await;
        let peer = peer.expect("a free port");
        let from = peer.local_addr().expect("a bound socket");
        send(&peer, &node, &heartbeat(from, false)).await;
        let number = next_query(&peer).await;
        // A heartbeat may have been delayed for any time.
        assert!(!node.gossip.has_no_replicas());
        let reply = Datagram::Confirmed {
            number,
            told: told(Some(100)),
        };
        send(&peer, &node, &reply).await;
        let learned = async {
            while !node.gossip.has_no_replicas() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, learned).await.expect("the node is told");
        let age = node.view.no_replica_sets_age().expect("just told");
        assert!(age >= Duration::from_millis(100), "{age:?}");
    });
}

#[test]
fn what_another_node_read_too_long_ago_counts_for_nothing() {
    run(async {
        let node = node("127.78.12.1").await;
        let confirm = |age_ms| node.view.confirm(&told(Some(age_ms)), Duration::ZERO);
        confirm(TOLD_LIFETIME_MS);
        assert!(!node.view.has_no_replica_sets());
        confirm(TOLD_LIFETIME_MS - 200);
        assert!(node.view.has_no_replica_sets());
        sleep(Duration::from_millis(300)).await;
        assert!(!node.view.has_no_replica_sets());
        assert_eq!(node.view.confirmations().no_replica_sets_ms, None);
    });
}

#[test]
fn nothing_that_is_told_holds_against_known_sets() {
    run(async {
        let node = node("127.78.13.1").await;
        node.view.confirm(&told(Some(0)), Duration::ZERO);
        node.view.adopt_replica_sets(groups(), Source::Peer);
        node.view.confirm(&told(Some(0)), Duration::ZERO);
        assert!(!node.view.has_no_replica_sets());
        assert_eq!(node.view.confirmations().no_replica_sets_ms, None);
    });
}

/// Replicas that have just started are about to have sets.
#[test]
fn a_node_beside_a_replica_tells_nobody_that_there_are_no_sets() {
    run(async {
        let node = node("127.78.14.1").await;
        node.view.on_no_replica_sets();
        assert!(node.gossip.has_no_replicas());
        let peer = UdpSocket::bind("127.78.14.2:27395").await;
        let peer = peer.expect("a free port");
        let from = peer.local_addr().expect("a bound socket");
        send(&peer, &node, &Datagram::AskConfirmations { number: 1 }).await;
        let no_replica_sets_ms = |datagram| match datagram {
            Datagram::Confirmed { told, .. } => Some(told.no_replica_sets_ms),
            _ => None,
        };
        assert!(next(&peer, no_replica_sets_ms).await.is_some());
        send(&peer, &node, &heartbeat(from, true)).await;
        let known = async {
            while node.gossip.has_no_replicas() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, known).await.expect("the replica is known");
        send(&peer, &node, &Datagram::AskConfirmations { number: 2 }).await;
        assert_eq!(next(&peer, no_replica_sets_ms).await, None);
    });
}
