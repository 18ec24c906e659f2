//! Ages of confirmations from other nodes.
//!
//! A heartbeat delayed by a frozen process must not make an old view look confirmed, here and at the nodes that learn it from here.

#[path = "support/idle_node.rs"]
mod idle_node;
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use idle_node::{VERSION, configuration, node};
use ridgeworks_records::Epoch;
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Heartbeat, LoadReport, MemberInfo, PROTOCOL, decode, encode,
};
use ridgeworks_resident::view::Source;
use support::run;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);

fn confirmations(unconfirmed_ms: u64) -> Confirmations {
    Confirmations {
        version: VERSION,
        unconfirmed_ms: Some(unconfirmed_ms),
        engines_newest: 0,
        engines_unconfirmed_ms: None,
        drains: None,
        no_replica_sets_ms: None,
    }
}

/// A heartbeat of another node with this address.
fn heartbeat(from: SocketAddr, unconfirmed_ms: u64) -> Datagram {
    heartbeat_of(from, confirmations(unconfirmed_ms))
}

fn heartbeat_of(from: SocketAddr, confirmations: Confirmations) -> Datagram {
    Datagram::Heartbeat(Box::new(Heartbeat {
        from: MemberInfo {
            name: "gateway-2".to_owned(),
            address: from,
            zone: "zone-a".to_owned(),
            is_replica: false,
        },
        incarnation: 1,
        confirmations,
        epoch: Epoch::default(),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }))
}

async fn send(socket: &UdpSocket, to: SocketAddr, datagram: &Datagram) {
    let bytes = encode(datagram).expect("a datagram");
    socket
        .send_to(&bytes, to)
        .await
        .expect("loopback accepts datagrams");
}

/// Waits for the next query for confirmations and returns its number.
async fn next_query(socket: &UdpSocket) -> u64 {
    let mut buffer = vec![0; 8 * 1024];
    let asked = async {
        loop {
            let (length, _) = socket.recv_from(&mut buffer).await.expect("a datagram");
            if let Ok(Datagram::AskConfirmations { number }) = decode(&buffer[..length]) {
                return number;
            }
        }
    };
    timeout(TIMEOUT, asked)
        .await
        .expect("the node sends a query")
}

/// Each kind is confirmed by itself, so another node may have a more recent confirmation of the engines but not of the configuration.
#[test]
fn a_node_with_more_recent_engines_alone_is_queried() {
    run(async {
        let node = node("127.78.3.1").await;
        node.view.adopt_engines(Vec::new(), 3, Source::Peer);
        node.view.confirm_as_of(Duration::ZERO);
        let peer = UdpSocket::bind("127.78.3.2:27395")
            .await
            .expect("a free port");
        let from = peer.local_addr().expect("a bound socket");
        let confirmations = |engines_newest| Confirmations {
            engines_newest,
            engines_unconfirmed_ms: Some(10),
            ..confirmations(TIMEOUT.as_millis() as u64)
        };
        send(
            &peer,
            node.settings.peer_address(),
            &heartbeat_of(from, confirmations(3)),
        )
        .await;
        let number = next_query(&peer).await;
        let told = confirmations(3);
        let reply = Datagram::Confirmed { number, told };
        send(&peer, node.settings.peer_address(), &reply).await;
        let confirmed = async {
            while node.view.engines_confirmation_age().is_none() {
                sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, confirmed)
            .await
            .expect("the engines are confirmed");
    });
}

#[test]
fn an_age_in_a_heartbeat_confirms_nothing() {
    run(async {
        let node = node("127.78.1.1").await;
        let peer = UdpSocket::bind("127.78.1.2:27395")
            .await
            .expect("a free port");
        let from = peer.local_addr().expect("a bound socket");
        send(&peer, node.settings.peer_address(), &heartbeat(from, 0)).await;
        // The query shows that the node has received the heartbeat.
        next_query(&peer).await;
        assert_eq!(node.view.confirmation_age(), None);
    });
}

#[test]
fn an_answer_counts_from_its_query_and_only_once() {
    run(async {
        let node = node("127.78.2.1").await;
        let address = node.settings.peer_address();
        let peer = UdpSocket::bind("127.78.2.2:27395")
            .await
            .expect("a free port");
        let from = peer.local_addr().expect("a bound socket");
        send(&peer, address, &heartbeat(from, 0)).await;
        let number = next_query(&peer).await;
        let late = Duration::from_millis(200);
        sleep(late).await;
        let unknown = Datagram::Confirmed {
            number: number + 1,
            told: confirmations(0),
        };
        send(&peer, address, &unknown).await;
        let reply = Datagram::Confirmed {
            number,
            told: confirmations(500),
        };
        send(&peer, address, &reply).await;
        let confirmed = async {
            while node.view.confirmation_age().is_none() {
                sleep(Duration::from_millis(1)).await;
            }
        };
        timeout(TIMEOUT, confirmed)
            .await
            .expect("the node applies the reply");
        let age = node.view.confirmation_age().expect("just confirmed");
        assert!(age >= Duration::from_millis(500) + late, "{age:?}");
        // A second reply to the same query is ignored.
        let again = Datagram::Confirmed {
            number,
            told: confirmations(0),
        };
        send(&peer, address, &again).await;
        sleep(Duration::from_millis(50)).await;
        assert!(
            node.view
                .confirmation_age()
                .is_some_and(|age| age >= Duration::from_millis(500))
        );
    });
}

/// A node of an earlier version may not know that it lacks the newest configuration.
#[test]
fn another_node_confirms_nothing_while_a_newer_configuration_cannot_be_decoded() {
    run(async {
        let node = node("127.78.6.1").await;
        let confirm = || node.view.confirm(&confirmations(0), Duration::ZERO);
        node.view.on_unreadable_configuration();
        confirm();
        assert_eq!(node.view.confirmation_age(), None);
        node.view
            .adopt_configuration(configuration(VERSION + 1), Source::Peer);
        confirm();
        assert!(node.view.confirmation_age().is_some());
    });
}
