//! Nodes that are late because they have too much to do.
//!
//! After a power loss of everything, replicas were late for every gateway, and stayed so for as long as the ordinary load went on:
//! reservations took 165 ms at the median four seconds after the return and 380 ms twelve seconds later. A link on which nothing came
//! for 350 ms passed for a silent one and was replaced, and what was open there was sent once more, to a replica that was late because
//! it had too much to do. `silent link to a node replaced` was logged 4, 20, 20, 17, 42 and 29 times in each two seconds by 35
//! gateways meanwhile; on the same day with enough processor time it never was, and reservations took 6 ms.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{Epoch, GroupId, ReplicaId, ReplicaRequest, TurnId, TurnRecord};
use ridgeworks_resident::peer::{PeerLinks, PeerReply, PeerRequest, PeerService, serve};
use support::{SETTLED, free_address, run};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(2);
const CALLERS: usize = 30;
const TIME_OF_A_REQUEST: Duration = Duration::from_millis(30);

/// Answers one request after the other, each after a while.
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<oneshot::Sender<PeerReply>>>,
    is_working: Cell<bool>,
    asked: Cell<usize>,
}

struct Busy(Rc<Queue>);

impl Queue {
    async fn work(self: Rc<Self>) {
        while let Some(reply) = {
            let mut waiting = self.waiting.borrow_mut();
            waiting.pop_front()
        } {
            tokio::time::sleep(TIME_OF_A_REQUEST).await;
            // Whoever asked may be gone.
            let _ = reply.send(PeerReply::Members(Vec::new()));
        }
        self.is_working.set(false);
    }
}

impl PeerService for Busy {
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        let queue = Rc::clone(&self.0);
        if request == PeerRequest::ListMembers {
            queue.asked.set(queue.asked.get() + 1);
        }
        queue.waiting.borrow_mut().push_back(reply);
        if !queue.is_working.replace(true) {
            tokio::task::spawn_local(queue.work());
        }
    }
}

async fn ask(links: &PeerLinks, node: SocketAddr) -> bool {
    let asked = links.call(node, PeerRequest::ListMembers, TIMEOUT);
    asked.await.is_ok()
}

/// Each gateway has a link of its own, so that each hears nothing until its own request has had its turn.
#[test]
fn a_busy_node_gets_each_request_once_and_its_links_are_kept() {
    run(async {
        let node = free_address();
        let queue = Rc::<Queue>::default();
        let service = Rc::new(Busy(Rc::clone(&queue)));
        serve(node, service).await.expect("a free port");
        let gateways: Vec<PeerLinks> = (0..CALLERS).map(|_| PeerLinks::default()).collect();
        for gateway in &gateways {
            assert!(ask(gateway, node).await);
        }
        tokio::time::sleep(SETTLED).await;
        queue.asked.set(0);
        let answered = join_all(gateways.iter().map(|gateway| ask(gateway, node))).await;
        assert_eq!(queue.asked.get(), CALLERS, "requests that the node got");
        assert!(answered.into_iter().all(|is_answered| is_answered));
        let replaced: u64 = gateways.iter().map(PeerLinks::replaced).sum();
        assert_eq!(replaced, 0, "links that were replaced");
    });
}

const LARGE: usize = 4 * 1024 * 1024;
const GIVEN_UP: usize = 20;

fn large_request() -> PeerRequest {
    let record = TurnRecord {
        turn: TurnId("t".to_owned()),
        previous: None,
        input: vec![0; LARGE],
        output: Vec::new(),
    };
    let request = ReplicaRequest::Append {
        group: GroupId(0),
        epoch: Epoch(1),
        record,
        ttl_ms: 1,
    };
    let to = ReplicaId(1);
    PeerRequest::Replica { to, request }
}

/// Bytes that come until none has come for a while.
async fn read_all(mut stream: TcpStream) -> usize {
    let mut buffer = vec![0; 64 * 1024];
    let mut bytes = 0;
    let pause = Duration::from_millis(500);
    while let Ok(Ok(read)) = timeout(pause, stream.read(&mut buffer)).await {
        if read == 0 {
            break;
        }
        bytes += read;
    }
    bytes
}

/// A node that does not read is later sent what is still wanted, and not what was given up meanwhile.
#[test]
fn requests_that_nobody_waits_for_are_not_sent() {
    run(async {
        let node = free_address();
        let listener = TcpListener::bind(node).await.expect("a free port");
        let links = PeerLinks::default();
        for _ in 0..GIVEN_UP {
            let patience = Duration::from_millis(20);
            assert!(links.call(node, large_request(), patience).await.is_err());
        }
        let (stream, _) = listener.accept().await.expect("a link");
        let bytes = read_all(stream).await;
        // What the kernel had taken, and the one request that was being written.
        assert!(bytes < GIVEN_UP / 2 * LARGE, "{bytes} bytes");
    });
}
