//! Links to other nodes whose connections fall silent for good while new ones work.
//!
//! A link was kept until its connection broke. One that fell silent without a break answered nobody any more, and every
//! request to that node timed out for as long as the process lived.

mod support;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_platform_stand_ins::{Link, LinkFault};
use ridgeworks_resident::peer::{LinkError, PeerLinks, PeerReply, PeerRequest, PeerService, serve};
use support::{IP, SETTLED, free_address, run};
use tokio::sync::oneshot;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(800);

struct NobodyKnown;

impl PeerService for NobodyKnown {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        // Whoever asked may be gone.
        let _ = reply.send(PeerReply::Members(Vec::new()));
    }
}

/// Answers late, and counts what it was asked.
struct Slow(Rc<Cell<usize>>);

impl PeerService for Slow {
    fn on_request(&self, _request: PeerRequest, reply: oneshot::Sender<PeerReply>) {
        self.0.set(self.0.get() + 1);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(Duration::from_millis(500)).await;
            // Whoever asked may be gone.
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

async fn linked(service: impl PeerService) -> Link {
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
fn a_link_that_fell_silent_is_replaced_and_its_requests_are_sent_again() {
    run(async {
        let link = linked(NobodyKnown).await;
        let links = PeerLinks::default();
        assert!(ask(&links, &link).await.is_ok());
        tokio::time::sleep(SETTLED).await;
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
fn a_slow_node_is_not_asked_twice_by_a_link_that_was_just_made() {
    run(async {
        let asked = Rc::<Cell<usize>>::default();
        let link = linked(Slow(Rc::clone(&asked))).await;
        let links = PeerLinks::default();
        assert!(ask(&links, &link).await.is_ok());
        assert_eq!(asked.get(), 1);
    });
}

#[test]
fn a_node_that_does_not_answer_is_not_connected_to_again_and_again() {
    run(async {
        let link = linked(Never).await;
        let links = PeerLinks::default();
        for _ in 0..10 {
            assert_eq!(ask(&links, &link).await, Err(LinkError::TimedOut));
        }
        // Eight seconds, and a replacement each two at most.
        assert!(links.replaced() <= 4, "{}", links.replaced());
    });
}
