//! What heartbeats hold.

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

/// Longer than a node that starts names others all the time.
const STARTED: Duration = Duration::from_millis(5_500);
/// Two of the times between heartbeats that name others.
const WATCHED: Duration = Duration::from_secs(4);

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
        },
        epoch: Epoch::default(),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }))
}

/// Heartbeats that come until then, and those of them that name others.
async fn heard(socket: &UdpSocket, until: Instant) -> (usize, usize) {
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
fn a_node_names_others_often_while_it_starts_and_rarely_afterwards() {
    run(async {
        let node = node("127.78.9.1").await;
        let begun = Instant::now();
        let peer = UdpSocket::bind("127.78.9.2:27395").await.expect("free");
        let datagram = encode(&heartbeat(&peer, "gateway-2")).expect("a datagram");
        let to = node.settings.peer_address();
        peer.send_to(&datagram, to).await.expect("loopback");
        let (all, naming) = heard(&peer, begun + Duration::from_secs(4)).await;
        // Until then the node may not have heard of anybody.
        assert!(naming + 1 >= all && all > 8, "{naming} of {all}");
        heard(&peer, begun + STARTED).await;
        let (all, naming) = heard(&peer, begun + STARTED + WATCHED).await;
        assert!(all > 8, "{all}");
        assert!((1..=3).contains(&naming), "{naming} of {all}");
    });
}
