//! The first list of engines of a node that another node tells of it.

#[path = "support/idle_node.rs"]
mod idle_node;
mod support;

use std::rc::Rc;
use std::time::Duration;

use idle_node::{VERSION, node};
use ridgeworks_records::Epoch;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::peer::{
    Datagram, Heartbeat, LoadReport, MemberInfo, PROTOCOL, PeerReply, PeerRequest, PeerService,
    encode, serve,
};
use ridgeworks_resident::view::{Source, View};
use support::run;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout};

const TIMEOUT: Duration = Duration::from_secs(5);
/// Revision of the store when the engines were listed.
const REVISION: u64 = 3;

/// Tells a view to whoever asks for it.
struct Teller(Rc<View>);

impl PeerService for Teller {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        if let PeerRequest::FetchView(known) = request {
            // The requester may have given up.
            let _ = reply.send(PeerReply::View(self.0.update_since(&known)));
        }
    }
}

/// A view that knows that there are no engines.
fn view_without_engines() -> Rc<View> {
    let view = Rc::new(View::new(Clock::start(), true));
    view.adopt_configuration(idle_node::configuration(VERSION), Source::Store);
    view.adopt_engines(Vec::new(), REVISION, Source::Store);
    view.confirm_as_of(Duration::ZERO);
    view.confirm_engines_as_of(Duration::ZERO);
    view
}

/// A heartbeat of another node with this view.
fn heartbeat(socket: &UdpSocket, view: &View) -> Datagram {
    Datagram::Heartbeat(Box::new(Heartbeat {
        from: MemberInfo {
            name: "gateway-2".to_owned(),
            address: socket.local_addr().expect("a bound socket"),
            zone: "zone-a".to_owned(),
            is_replica: false,
        },
        incarnation: 1,
        confirmations: view.confirmations(),
        epoch: Epoch::default(),
        replica: None,
        load: LoadReport::default(),
        known: Vec::new(),
        protocol: PROTOCOL,
    }))
}

/// A gateway that had the configuration from another one before that one had listed the engines was never ready: while there are
/// no engines nobody tells of a change of them, and it does not watch the store where others do.
#[test]
fn a_node_without_a_list_of_engines_fetches_an_empty_one() {
    run(async {
        let node = node("127.78.11.1").await;
        let peer = UdpSocket::bind("127.78.11.2:27395")
            .await
            .expect("a free port");
        let view = view_without_engines();
        let address = peer.local_addr().expect("a bound socket");
        serve(address, Rc::new(Teller(Rc::clone(&view))))
            .await
            .expect("a free port");
        let bytes = encode(&heartbeat(&peer, &view)).expect("a datagram");
        let known = async {
            while !node.view.engines_known() {
                let to = node.settings.peer_address();
                peer.send_to(&bytes, to).await.expect("loopback");
                sleep(Duration::from_millis(100)).await;
            }
        };
        timeout(TIMEOUT, known).await.expect("the list is known");
    });
}

/// A list from before the store's first change was told as the changes to a table that the other node did not have.
#[test]
fn a_list_from_before_the_first_change_of_the_store_is_told_whole() {
    let clock = Clock::start();
    let (one, other) = (View::new(clock, true), View::new(clock, true));
    one.adopt_engines(Vec::new(), 0, Source::Store);
    one.advance_engines(REVISION);
    other.adopt_update(one.update_since(&other.position()), Duration::ZERO);
    assert!(other.engines_known());
    assert_eq!(other.with_engines(|engines| engines.at()), REVISION);
}
