//! Byte counts by purpose and distance.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use prometheus_client::registry::Registry;
use ridgeworks_resident::peer::{PeerLinks, PeerReply, PeerRequest, PeerService, serve};
use ridgeworks_resident::traffic::{Distance, Purpose, Traffic, TrafficCollector};
use ridgeworks_routing::ZoneRegions;
use tokio::sync::oneshot;
use tokio::task::LocalSet;

fn regions() -> ZoneRegions {
    ZoneRegions::from([
        ("zone-a", "north"),
        ("zone-b", "north"),
        ("zone-c", "south"),
    ])
}

fn traffic() -> Traffic {
    Traffic::new("zone-a", regions()).expect("zones are named")
}

fn ip(last: u8) -> IpAddr {
    IpAddr::from([127, 66, 1, last])
}

#[test]
fn bytes_are_counted_by_the_zone_of_the_machine() {
    let traffic = traffic();
    for (last, zone) in [(1, "zone-a"), (2, "zone-b"), (3, "zone-c")] {
        traffic.set_machine_zone(ip(last), zone);
        traffic.add(Purpose::Append, ip(last), 10 * usize::from(last));
    }
    traffic.add(Purpose::Append, ip(9), 5);
    traffic.add_for_zone(Purpose::EngineRequest, "zone-c", 7);
    let count = |purpose, distance| traffic.counts.get(purpose, distance);
    assert_eq!(count(Purpose::Append, Distance::SameZone), 10);
    assert_eq!(count(Purpose::Append, Distance::OtherZone), 20);
    assert_eq!(count(Purpose::Append, Distance::OtherRegion), 30);
    assert_eq!(count(Purpose::Append, Distance::Unknown), 5);
    assert_eq!(count(Purpose::EngineRequest, Distance::OtherRegion), 7);
    assert_eq!(count(Purpose::EngineRequest, Distance::SameZone), 0);
}

#[test]
fn nothing_is_counted_without_zones_in_the_settings() {
    assert!(Traffic::new("zone-a", ZoneRegions::default()).is_none());
}

#[test]
fn counts_are_exported_with_their_labels() {
    let traffic = traffic();
    traffic.add_for_zone(Purpose::ChainRead, "zone-c", 41);
    let mut registry = Registry::default();
    registry.register_collector(Box::new(TrafficCollector(traffic.counts)));
    let mut text = String::new();
    prometheus_client::encoding::text::encode(&mut text, &registry).expect("a text");
    let line = "traffic_bytes_total{purpose=\"chain\",reach=\"beyond\"} 41";
    assert!(text.lines().any(|actual| actual == line), "{text}");
    assert_eq!(text.matches("traffic_bytes_total{").count(), 1, "{text}");
}

struct EmptyMembers;

impl PeerService for EmptyMembers {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        // The requester may have given up.
        let _ = reply.send(PeerReply::Members(Vec::new()));
    }
}

/// The requester counts both directions, so that no byte is counted twice.
#[tokio::test]
async fn a_link_counts_requests_and_replies() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let node = SocketAddr::new(ip(40), 27_481);
            serve(node, Rc::new(EmptyMembers))
                .await
                .expect("a free address");
            let traffic = Rc::new(traffic());
            traffic.set_machine_zone(node.ip(), "zone-b");
            let links = PeerLinks::counting(Some(Rc::clone(&traffic)));
            let timeout = Duration::from_secs(5);
            let mut before = 0;
            for _ in 0..3 {
                let reply = links.call(node, PeerRequest::ListMembers, timeout).await;
                assert_eq!(reply, Ok(PeerReply::Members(Vec::new())));
                let now = traffic.counts.get(Purpose::View, Distance::OtherZone);
                assert!(now > before + 16, "{now} {before}");
                before = now;
            }
            assert_eq!(traffic.counts.get(Purpose::View, Distance::Unknown), 0);
        })
        .await;
}
