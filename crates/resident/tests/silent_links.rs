//! Links whose connections fall silent without an error while new ones work.
//!
//! Such a link must be replaced, or every request to that node would time out for as long as the process runs.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform_stand_ins::{Link, LinkFault};
use ridgeworks_resident::peer::{LinkError, PeerLinks, PeerReply, PeerRequest, PeerService, serve};
use support::{CHECKABLE_AFTER, IP, free_address, run};
use tokio::sync::oneshot;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(800);

struct EmptyMembers;

impl PeerService for EmptyMembers {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        // The requester may have given up.
        let _ = reply.send(PeerReply::Members(Vec::new()));
    }
}

/// Answers slowly and counts its requests.
struct Slow(Rc<Cell<usize>>);

impl PeerService for Slow {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        self.0.set(self.0.get() + 1);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(500)).await;
            // The requester may have given up.
            let _ = reply.send(PeerReply::Members(Vec::new()));
        });
    }
}

struct Never;

impl PeerService for Never {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_secs(60)).await;
            drop(reply);
        });
    }
}

async fn start_behind_link(service: impl PeerService) -> Link {
    let address = free_address();
    serve(address, Rc::new(service)).await.expect("a free port");
    Link::start(IP, address)
}

async fn ask(links: &PeerLinks, link: &Link) -> Result<PeerReply, LinkError> {
    links
        .call(link.addr(), PeerRequest::ListMembers, TIMEOUT)
        .await
}

#[test]
fn a_silent_link_is_replaced_and_its_requests_are_resent() {
    run(async {
        let link = start_behind_link(EmptyMembers).await;
        let links = PeerLinks::default();
        assert!(ask(&links, &link).await.is_ok());
        tokio::time::sleep(CHECKABLE_AFTER).await;
        assert!(ask(&links, &link).await.is_ok());
        link.set_fault(LinkFault::Stalled);
        tokio::time::sleep(Duration::from_millis(50)).await;
        link.set_fault(LinkFault::None);
        let began = Instant::now();
        let (one, two) = tokio::join!(ask(&links, &link), ask(&links, &link));
        assert!(one.is_ok(), "{one:?}");
        assert!(two.is_ok(), "{two:?}");
        assert!(began.elapsed() < TIMEOUT);
        let began = Instant::now();
        assert!(ask(&links, &link).await.is_ok());
        assert!(
            began.elapsed() < Duration::from_millis(100),
            "the new link is kept"
        );
    });
}

#[test]
fn a_slow_node_gets_a_request_once_on_a_new_link() {
    run(async {
        let requests = Rc::<Cell<usize>>::default();
        let link = start_behind_link(Slow(Rc::clone(&requests))).await;
        let links = PeerLinks::default();
        assert!(ask(&links, &link).await.is_ok());
        assert_eq!(requests.get(), 1);
    });
}

#[test]
fn links_to_an_unresponsive_node_are_rarely_replaced() {
    run(async {
        let link = start_behind_link(Never).await;
        let links = PeerLinks::default();
        for _ in 0..10 {
            assert_eq!(ask(&links, &link).await, Err(LinkError::TimedOut));
        }
        // The calls take eight seconds, and a link is replaced at most every two seconds.
        assert!(links.replaced() <= 4, "{}", links.replaced());
    });
}
