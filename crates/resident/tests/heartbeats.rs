//! Content of heartbeats.

#[path = "support/idle_node.rs"]
mod idle_node;
mod support;

use std::time::Duration;

use idle_node::node;
use ridgeworks_records::Epoch;
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Heartbeat, LoadReport, MemberInfo, PROTOCOL, decode, encode,
};
use support::run;
use tokio::net::UdpSocket;
use tokio::time::{Instant, timeout_at};

/// Longer than the time after its start in which a node names others in every heartbeat.
const AFTER_NAMING_START: Duration = Duration::from_millis(5_500);
/// Twice the time between heartbeats that name others.
const OBSERVATION_TIME: Duration = Duration::from_secs(4);

fn heartbeat(socket: &UdpSocket, name: &str) -> Datagram {
    Datagram::Heartbeat(Box::new(Heartbeat {
        from: MemberInfo {
            name: name.to_owned(),
            address: socket.local_addr().expect("a bound socket"),
            zone: "zone-a".to_owned(),
            is_replica: false,
        },
        incarnation: 1,
        confirmations: Confirmations {
            version: 0,
            unconfirmed_ms: None,
            engines_newest: 0,
            engines_unconfirmed_ms: None,
            drains: None,
            no_replica_sets_ms: None,
        },
        epoch: Epoch::default(),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }))
}

/// Number of heartbeats received until then, and of those that name others.
async fn count_heartbeats(socket: &UdpSocket, until: Instant) -> (usize, usize) {
    let mut buffer = vec![0; 8 * 1024];
    let (mut all, mut naming) = (0, 0);
    while let Ok(received) = timeout_at(until, socket.recv_from(&mut buffer)).await {
        let (length, _) = received.expect("a datagram");
        if let Ok(Datagram::Heartbeat(heartbeat)) = decode(&buffer[..length]) {
            all += 1;
            naming += usize::from(!heartbeat.known.is_empty());
        }
    }
    (all, naming)
}

#[test]
fn heartbeats_name_other_nodes_often_at_start_and_rarely_later() {
    run(async {
        let node = node("127.78.9.1").await;
        let begun = Instant::now();
        let peer = UdpSocket::bind("127.78.9.2:27395").await.expect("free");
        let datagram = encode(&heartbeat(&peer, "gateway-2")).expect("a datagram");
        let to = node.settings.peer_address();
        peer.send_to(&datagram, to).await.expect("loopback");
        let (all, naming) = count_heartbeats(&peer, begun + Duration::from_secs(4)).await;
        // The first heartbeat may be sent before the node knows any other.
        assert!(naming + 1 >= all && all > 8, "{naming} of {all}");
        count_heartbeats(&peer, begun + AFTER_NAMING_START).await;
        let (all, naming) =
            count_heartbeats(&peer, begun + AFTER_NAMING_START + OBSERVATION_TIME).await;
        assert!(all > 8, "{all}");
        assert!((1..=3).contains(&naming), "{naming} of {all}");
    });
}
