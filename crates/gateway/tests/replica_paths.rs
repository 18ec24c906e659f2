//! Ways to replicas under virtual time, over a network that is silent, refuses or answers as told.

use std::cell::{Cell, RefCell};
use std::future::{pending, ready};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_gateway::{Answering, QuorumHealth, ReplicaNetwork, ReplicaPaths};
use ridgeworks_records::{
    Epoch, GroupId, Replica, ReplicaId, ReplicaReply, ReplicaRequest, TurnId,
};
use ridgeworks_resident::peer::LinkError;
use ridgeworks_routing::{Residency, ZoneRegions};
use tokio::task::LocalSet;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(700);
const ANSWER: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Conduct {
    Answers(Duration),
    Silent,
    Fails(LinkError),
}

impl Conduct {
    fn answering(self) -> Answering {
        match self {
            Self::Answers(after) => Box::pin(async move {
                tokio::time::sleep(after).await;
                Ok(ReplicaReply::Done)
            }),
            Self::Silent => Box::pin(pending()),
            Self::Fails(error) => Box::pin(ready(Err(error))),
        }
    }
}

struct FakeNetwork {
    straight: Cell<Conduct>,
    /// Whether other answers come straight meanwhile.
    is_busy: Cell<bool>,
    slowest_reply: Cell<Duration>,
    relays: Vec<Conduct>,
    asked: RefCell<Vec<SocketAddr>>,
}

impl FakeNetwork {
    fn new(straight: Conduct, relays: &[Conduct]) -> Rc<Self> {
        Rc::new(Self {
            straight: Cell::new(straight),
            is_busy: Cell::new(false),
            slowest_reply: Cell::default(),
            relays: relays.to_vec(),
            asked: RefCell::default(),
        })
    }
}

impl ReplicaNetwork for FakeNetwork {
    fn ask(&self, _replica: &Replica, _request: ReplicaRequest, timeout: Duration) -> Answering {
        let answering = self.straight.get().answering();
        Box::pin(async move {
            let answered = tokio::time::timeout(timeout, answering).await;
            answered.unwrap_or(Err(LinkError::TimedOut))
        })
    }

    fn ask_by(&self, relay: SocketAddr, _replica: &Replica, _request: ReplicaRequest) -> Answering {
        self.asked.borrow_mut().push(relay);
        let answering = self.relays[usize::from(relay.port())].answering();
        Box::pin(async move {
            let answered = tokio::time::timeout(Duration::from_millis(200), answering).await;
            answered.unwrap_or(Err(LinkError::TimedOut))
        })
    }

    fn has_received_since(&self, _replica: &Replica, _since: Instant) -> bool {
        self.is_busy.get()
    }

    fn slowest_reply(&self, _replica: &Replica) -> Duration {
        self.slowest_reply.get()
    }

    /// All stand in the north but the last one, which stands in the south.
    fn relays(&self, residency: &Residency) -> Vec<SocketAddr> {
        let count = u16::try_from(self.relays.len()).unwrap();
        let address = |port| SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        let region = |port| if port + 1 < count { "north" } else { "south" };
        let allowed = (0..count).filter(|port| residency.allows(Some(region(*port))));
        allowed.map(address).collect()
    }
}

fn replica() -> Replica {
    Replica {
        id: ReplicaId(7),
        node: "store-1".to_owned(),
        address: "127.0.0.1:1".to_owned(),
        zone: "zone".to_owned(),
    }
}

fn read() -> ReplicaRequest {
    ReplicaRequest::ReadChain {
        group: GroupId(0),
        epoch: Epoch(1),
        turn: TurnId("t".to_owned()),
    }
}

async fn ask(paths: &Rc<ReplicaPaths>) -> (Result<ReplicaReply, LinkError>, Duration) {
    let began = Instant::now();
    let request = ReplicaRequest::Settle {
        group: GroupId(0),
        epoch: Epoch(1),
        settlements: Vec::new(),
    };
    let reply = paths.ask(&replica(), request, TIMEOUT).await;
    (reply, began.elapsed())
}

#[tokio::test(start_paused = true)]
async fn a_silent_way_is_replaced_by_a_detour() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Conduct::Silent, &[Conduct::Answers(ANSWER)]);
            let paths = Rc::new(ReplicaPaths::new(network));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Ok(ReplicaReply::Done));
            assert!(took < Duration::from_millis(450), "{took:?}");
            assert!(!paths.is_open(replica().id));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Ok(ReplicaReply::Done));
            assert!(
                took <= ANSWER * 2,
                "the way is known to be closed: {took:?}"
            );
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_way_that_answers_again_is_used_again() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Conduct::Silent, &[Conduct::Answers(ANSWER)]);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            assert!(ask(&paths).await.0.is_ok());
            network.straight.set(Conduct::Answers(ANSWER));
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(ask(&paths).await.0.is_ok());
            tokio::time::sleep(ANSWER * 2).await;
            assert!(paths.is_open(replica().id));
            let before = network.asked.borrow().len();
            assert!(ask(&paths).await.0.is_ok());
            assert_eq!(network.asked.borrow().len(), before, "no detour any more");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_refuses_is_no_closed_way() {
    LocalSet::new()
        .run_until(async {
            let refuses = Conduct::Fails(LinkError::Unreachable);
            let network = FakeNetwork::new(refuses, &[Conduct::Answers(ANSWER)]);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Err(LinkError::Unreachable));
            assert_eq!(took, Duration::ZERO);
            assert!(network.asked.borrow().is_empty());
            assert!(paths.is_open(replica().id));
            assert!(paths.is_suspected(replica().id));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_gateway_that_is_cut_off_as_well_is_replaced() {
    LocalSet::new()
        .run_until(async {
            let beyond = Conduct::Fails(LinkError::RelayTargetUnreachable);
            let relays = [beyond, Conduct::Answers(ANSWER), beyond];
            let network = FakeNetwork::new(Conduct::Silent, &relays);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            for _ in 0..8 {
                let (reply, took) = ask(&paths).await;
                assert_eq!(reply, Ok(ReplicaReply::Done));
                assert!(took < Duration::from_millis(450), "{took:?}");
            }
            let asked = network.asked.borrow();
            assert!(asked.len() <= 10, "the one that works is kept: {asked:?}");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_opens_the_way_again() {
    LocalSet::new()
        .run_until(async {
            let slow = Conduct::Answers(Duration::from_millis(500));
            let network = FakeNetwork::new(slow, &[Conduct::Answers(ANSWER)]);
            let paths = Rc::new(ReplicaPaths::new(network));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Ok(ReplicaReply::Done));
            assert!(took < Duration::from_millis(450), "{took:?}");
            tokio::time::sleep(Duration::from_millis(250)).await;
            assert!(paths.is_open(replica().id));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_is_slow_for_all_is_not_asked_twice() {
    LocalSet::new()
        .run_until(async {
            let slow = Conduct::Answers(Duration::from_millis(650));
            let network = FakeNetwork::new(slow, &[Conduct::Answers(ANSWER)]);
            network.is_busy.set(true);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            for _ in 0..10 {
                assert!(ask(&paths).await.0.is_ok());
            }
            assert!(network.asked.borrow().is_empty());
            assert!(paths.is_open(replica().id));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_silent_gateway_is_not_followed_by_another() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Conduct::Silent, &[Conduct::Silent; 5]);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            assert!(ask(&paths).await.0.is_err());
            assert_eq!(network.asked.borrow().len(), 1);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn without_any_way_the_loss_is_known_to_be_general_or_not() {
    LocalSet::new()
        .run_until(async {
            let second = Duration::from_secs(1);
            let alone = FakeNetwork::new(Conduct::Silent, &[]);
            let paths = Rc::new(ReplicaPaths::new(alone));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Err(LinkError::TimedOut));
            assert_eq!(took, TIMEOUT);
            assert!(!paths.is_unreached_by_others(second));
            let beyond = Conduct::Fails(LinkError::RelayTargetUnreachable);
            let network = FakeNetwork::new(Conduct::Silent, &[beyond]);
            let paths = Rc::new(ReplicaPaths::new(network));
            assert!(ask(&paths).await.0.is_err());
            assert!(paths.is_unreached_by_others(second));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn a_majority_is_lost_after_a_wait_in_vain_until_one_answers() {
    let health = QuorumHealth::default();
    assert!(
        !health.on_failed(Duration::from_millis(50)),
        "too short to say anything"
    );
    assert!(!health.is_lost());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(health.on_failed(Duration::from_millis(700)));
    assert!(!health.on_failed(Duration::from_millis(700)), "no news");
    assert!(health.is_lost());
    tokio::time::advance(Duration::from_millis(300)).await;
    assert_eq!(health.lost_for(), Duration::from_secs(1));
    assert_eq!(health.on_reached(), Some(Duration::from_secs(1)));
    assert_eq!(health.on_reached(), None);
    assert!(!health.is_lost());
}

fn five_replicas() -> Vec<Replica> {
    let numbered = |number| Replica {
        id: ReplicaId(number),
        node: format!("store-{number}"),
        address: format!("127.0.0.1:{number}"),
        zone: format!("zone-{number}"),
    };
    (1..=5).map(numbered).collect()
}

fn first_asked(paths: &ReplicaPaths, zone: &str, subject: usize) -> Vec<ReplicaId> {
    let ordered = paths.in_order(
        five_replicas(),
        zone,
        &ZoneRegions::default(),
        &subject.to_string(),
    );
    let first = ordered.iter().take(3);
    first.map(|replica| replica.id).collect()
}

/// Gateways of a zone without a replica read all earlier turns from the same one: it got 81 such reads a second where
/// the others got 15 to 27.
#[test]
fn reads_from_a_zone_without_a_replica_are_shared() {
    let network = FakeNetwork::new(Conduct::Answers(ANSWER), &[]);
    let paths = ReplicaPaths::new(network);
    let nearest: Vec<ReplicaId> = (0..500)
        .map(|subject| first_asked(&paths, "elsewhere", subject)[0])
        .collect();
    for number in 1..=5 {
        let asked = nearest.iter().filter(|id| **id == ReplicaId(number));
        assert!((60..150).contains(&asked.count()), "{number}");
    }
}

/// Replicas that were late for all were asked for each request again by way of other gateways, which made them later.
#[tokio::test(start_paused = true)]
async fn a_replica_that_was_slow_lately_is_not_asked_again_by_a_detour() {
    let slow = Duration::from_millis(600);
    let network = FakeNetwork::new(Conduct::Answers(slow), &[Conduct::Answers(ANSWER)]);
    network.slowest_reply.set(Duration::from_millis(300));
    let paths = Rc::new(ReplicaPaths::new(
        Rc::clone(&network) as Rc<dyn ReplicaNetwork>
    ));
    let (reply, waited) = LocalSet::new().run_until(ask(&paths)).await;
    assert!(reply.is_ok());
    assert!(network.asked.borrow().is_empty(), "no detour");
    assert_eq!(waited, slow);
}

/// Reads of earlier turns were given up after 200 ms and sent to the next replica, 15 KB each, while all were later than
/// that: reservations took 240 to 650 ms then, from every replica but one.
#[tokio::test(start_paused = true)]
async fn a_replica_that_was_slow_lately_is_given_the_time_that_it_needs() {
    let slow = Duration::from_millis(350);
    let network = FakeNetwork::new(Conduct::Answers(slow), &[]);
    let paths = Rc::new(ReplicaPaths::new(
        Rc::clone(&network) as Rc<dyn ReplicaNetwork>
    ));
    let least = Duration::from_millis(200);
    let asked = paths
        .ask_patiently(&replica(), read(), least, &Residency::anywhere())
        .await;
    assert_eq!(asked, Err(LinkError::TimedOut), "nothing is known of it");
    network.slowest_reply.set(Duration::from_millis(300));
    assert!(
        paths
            .ask_patiently(&replica(), read(), least, &Residency::anywhere())
            .await
            .is_ok()
    );
}

/// A machine was dark, and each gateway waited for another one to find that out anew, for longer than it had time.
#[tokio::test(start_paused = true)]
async fn a_gateway_that_got_no_answer_itself_passes_nothing_on() {
    let network = FakeNetwork::new(Conduct::Silent, &[]);
    let paths = Rc::new(ReplicaPaths::new(network as Rc<dyn ReplicaNetwork>));
    assert!(paths.can_pass_on(replica().id));
    let (reply, _) = LocalSet::new().run_until(ask(&paths)).await;
    assert_eq!(reply, Err(LinkError::TimedOut));
    assert!(!paths.can_pass_on(replica().id));
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(paths.can_pass_on(replica().id), "it is tried again");
}

/// A relay that passed on what may go anywhere is no way for what may not.
#[tokio::test(start_paused = true)]
async fn a_detour_leads_only_where_the_request_may_be_sent() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let quick = Conduct::Answers(ANSWER);
            let network = FakeNetwork::new(Conduct::Silent, &[quick, quick]);
            let paths = Rc::new(ReplicaPaths::new(network.clone()));
            let south = Residency::within(["south".to_owned()]);
            let nowhere = Residency::within(["east".to_owned()]);
            for _ in 0..20 {
                assert!(ask(&paths).await.0.is_ok());
                network.asked.borrow_mut().clear();
                let asked = paths.ask_within(&replica(), read(), TIMEOUT, &south).await;
                assert!(asked.is_ok());
                let ports: Vec<u16> = network
                    .asked
                    .borrow()
                    .iter()
                    .map(SocketAddr::port)
                    .collect();
                assert_eq!(ports, [1]);
                network.asked.borrow_mut().clear();
                let asked = paths
                    .ask_within(&replica(), read(), TIMEOUT, &nowhere)
                    .await;
                assert!(asked.is_err());
                assert!(network.asked.borrow().is_empty());
            }
        })
        .await;
}

#[test]
fn replicas_of_the_own_region_are_asked_before_those_beyond() {
    let regions = ZoneRegions::from([("a", "north"), ("b", "north"), ("c", "south")]);
    let network = FakeNetwork::new(Conduct::Silent, &[]);
    let paths = ReplicaPaths::new(network);
    let replicas = ["c", "b", "a", "c"].map(|zone| Replica {
        zone: zone.to_owned(),
        ..replica()
    });
    for subject in 0..20 {
        let subject = subject.to_string();
        let ordered = paths.in_order(replicas.to_vec(), "a", &regions, &subject);
        let zones: Vec<&str> = ordered
            .iter()
            .map(|replica| replica.zone.as_str())
            .collect();
        assert_eq!(zones, ["a", "b", "c", "c"]);
    }
}
