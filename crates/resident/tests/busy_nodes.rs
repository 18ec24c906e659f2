//! Links to overloaded nodes.
//!
//! If the link to a slow node were taken for a silent one and replaced, its requests would be sent again, which adds to the overload
//! and keeps the node slow.

mod support;

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{Epoch, GroupId, ReplicaId, ReplicaRequest, TurnId, TurnRecord};
use ridgeworks_resident::peer::{PeerLinks, PeerReply, PeerRequest, PeerService, serve};
use support::{CHECKABLE_AFTER, free_address, run};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio::time::timeout;

const TIMEOUT: Duration = Duration::from_secs(2);
const CALLERS: usize = 30;
const REQUEST_TIME: Duration = Duration::from_millis(30);

/// Answers requests one after the other, each after [`REQUEST_TIME`].
#[derive(Default)]
struct Queue {
    waiting: RefCell<VecDeque<oneshot::Sender<PeerReply>>>,
    is_working: Cell<bool>,
    asked: Cell<usize>,
}

struct Overloaded(Rc<Queue>);

impl Queue {
    async fn work(self: Rc<Self>) {
        while let Some(reply) = {
            let mut waiting = self.waiting.borrow_mut();
            waiting.pop_front()
        } {
            tokio::time::sleep(REQUEST_TIME).await;
            // The requester may have given up.
            let _ = reply.send(PeerReply::Members(Vec::new()));
        }
        self.is_working.set(false);
    }
}

impl PeerService for Overloaded {
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

/// Each gateway has its own link, which is silent until the gateway's request is answered.
#[test]
fn an_overloaded_node_gets_each_request_once_and_its_links_are_kept() {
    run(async {
        let node = free_address();
        let queue = Rc::<Queue>::default();
        let service = Rc::new(Overloaded(Rc::clone(&queue)));
        serve(node, service).await.expect("a free port");
        let gateways: Vec<PeerLinks> = (0..CALLERS).map(|_| PeerLinks::default()).collect();
        for gateway in &gateways {
            assert!(ask(gateway, node).await);
        }
        tokio::time::sleep(CHECKABLE_AFTER).await;
        queue.asked.set(0);
        let answered = join_all(gateways.iter().map(|gateway| ask(gateway, node))).await;
        assert_eq!(queue.asked.get(), CALLERS, "requests received by the node");
        assert!(answered.into_iter().all(|is_answered| is_answered));
        let replaced: u64 = gateways.iter().map(PeerLinks::replaced).sum();
        assert_eq!(replaced, 0, "replaced links");
    });
}

const LARGE_INPUT_BYTES: usize = 4 * 1024 * 1024;
const ABANDONED_REQUESTS: usize = 20;

fn large_request() -> PeerRequest {
    let record = TurnRecord {
        turn: TurnId("t".to_owned()),
        previous: None,
        input: vec![0; LARGE_INPUT_BYTES],
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

/// Number of bytes received until none has come for half a second.
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

/// Requests that timed out while the node was not reading must not be sent to it later.
#[test]
fn abandoned_requests_are_not_sent() {
    run(async {
        let node = free_address();
        let listener = TcpListener::bind(node).await.expect("a free port");
        let links = PeerLinks::default();
        for _ in 0..ABANDONED_REQUESTS {
            let timeout = Duration::from_millis(20);
            assert!(links.call(node, large_request(), timeout).await.is_err());
        }
        let (stream, _) = listener.accept().await.expect("a link");
        let bytes = read_all(stream).await;
        // At most the bytes in the kernel's buffers and the one request that was being written.
        assert!(
            bytes < ABANDONED_REQUESTS / 2 * LARGE_INPUT_BYTES,
            "{bytes} bytes"
        );
    });
}
