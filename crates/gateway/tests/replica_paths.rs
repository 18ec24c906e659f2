//! Paths to replicas under virtual time, over a network whose behaviour is scripted.

use std::cell::{Cell, RefCell};
use std::future::{pending, ready};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ridgeworks_gateway::{MajorityHealth, ReplicaNetwork, ReplicaPaths, ReplyFuture};
use ridgeworks_records::{
    Epoch, GroupId, Replica, ReplicaId, ReplicaReply, ReplicaRequest, TurnId,
};
use ridgeworks_resident::peer::LinkError;
use ridgeworks_routing::{Residency, ZoneRegions};
use tokio::task::LocalSet;
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_millis(700);
const REPLY_TIME: Duration = Duration::from_millis(5);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Behaviour {
    Replies(Duration),
    Silent,
    Fails(LinkError),
}

impl Behaviour {
    fn reply(self) -> ReplyFuture {
        match self {
            Self::Replies(after) => Box::pin(async move {
                tokio::time::sleep(after).await;
                Ok(ReplicaReply::Done)
            }),
            Self::Silent => Box::pin(pending()),
            Self::Fails(error) => Box::pin(ready(Err(error))),
        }
    }
}

struct FakeNetwork {
    direct: Cell<Behaviour>,
    /// Whether other data arrives directly from the replica while a request waits.
    is_busy: Cell<bool>,
    slowest_reply: Cell<Duration>,
    relays: Vec<Behaviour>,
    asked: RefCell<Vec<SocketAddr>>,
}

impl FakeNetwork {
    fn new(direct: Behaviour, relays: &[Behaviour]) -> Rc<Self> {
        Rc::new(Self {
            direct: Cell::new(direct),
            is_busy: Cell::new(false),
            slowest_reply: Cell::default(),
            relays: relays.to_vec(),
            asked: RefCell::default(),
        })
    }
}

impl ReplicaNetwork for FakeNetwork {
    fn ask(&self, _replica: &Replica, _request: ReplicaRequest, timeout: Duration) -> ReplyFuture {
        let reply = self.direct.get().reply();
        Box::pin(async move {
            let answered = tokio::time::timeout(timeout, reply).await;
            answered.unwrap_or(Err(LinkError::TimedOut))
        })
    }

    fn ask_via(
        &self,
        relay: SocketAddr,
        _replica: &Replica,
        _request: ReplicaRequest,
    ) -> ReplyFuture {
        self.asked.borrow_mut().push(relay);
        let reply = self.relays[usize::from(relay.port())].reply();
        Box::pin(async move {
            let answered = tokio::time::timeout(Duration::from_millis(200), reply).await;
            answered.unwrap_or(Err(LinkError::TimedOut))
        })
    }

    fn has_received_since(&self, _replica: &Replica, _since: Instant) -> bool {
        self.is_busy.get()
    }

    fn slowest_reply(&self, _replica: &Replica) -> Duration {
        self.slowest_reply.get()
    }

    /// All relays are in the north except the last one, which is in the south.
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
async fn silent_path_is_replaced_by_a_relay() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Behaviour::Silent, &[Behaviour::Replies(REPLY_TIME)]);
            let paths = Rc::new(ReplicaPaths::new(network));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Ok(ReplicaReply::Done));
            assert!(took < Duration::from_millis(450), "{took:?}");
            assert!(!paths.is_open(replica().id));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Ok(ReplicaReply::Done));
            assert!(
                took <= REPLY_TIME * 2,
                "the path is known to be closed: {took:?}"
            );
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn path_that_answers_again_is_reopened() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Behaviour::Silent, &[Behaviour::Replies(REPLY_TIME)]);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            assert!(ask(&paths).await.0.is_ok());
            network.direct.set(Behaviour::Replies(REPLY_TIME));
            tokio::time::sleep(Duration::from_millis(300)).await;
            assert!(ask(&paths).await.0.is_ok());
            tokio::time::sleep(REPLY_TIME * 2).await;
            assert!(paths.is_open(replica().id));
            let before = network.asked.borrow().len();
            assert!(ask(&paths).await.0.is_ok());
            assert_eq!(
                network.asked.borrow().len(),
                before,
                "no relay is used any more"
            );
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn refused_connection_suspects_the_replica_and_keeps_the_path_open() {
    LocalSet::new()
        .run_until(async {
            let refuses = Behaviour::Fails(LinkError::Unreachable);
            let network = FakeNetwork::new(refuses, &[Behaviour::Replies(REPLY_TIME)]);
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
async fn relay_that_cannot_reach_the_replica_is_replaced() {
    LocalSet::new()
        .run_until(async {
            let cannot_reach = Behaviour::Fails(LinkError::RelayTargetUnreachable);
            let relays = [cannot_reach, Behaviour::Replies(REPLY_TIME), cannot_reach];
            let network = FakeNetwork::new(Behaviour::Silent, &relays);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            for _ in 0..8 {
                let (reply, took) = ask(&paths).await;
                assert_eq!(reply, Ok(ReplicaReply::Done));
                assert!(took < Duration::from_millis(450), "{took:?}");
            }
            let asked = network.asked.borrow();
            assert!(asked.len() <= 10, "the working relay is kept: {asked:?}");
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn late_direct_reply_reopens_the_path() {
    LocalSet::new()
        .run_until(async {
            let slow = Behaviour::Replies(Duration::from_millis(500));
            let network = FakeNetwork::new(slow, &[Behaviour::Replies(REPLY_TIME)]);
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
async fn busy_replica_is_not_asked_through_a_relay() {
    LocalSet::new()
        .run_until(async {
            let slow = Behaviour::Replies(Duration::from_millis(650));
            let network = FakeNetwork::new(slow, &[Behaviour::Replies(REPLY_TIME)]);
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
async fn relay_that_times_out_is_not_followed_by_another() {
    LocalSet::new()
        .run_until(async {
            let network = FakeNetwork::new(Behaviour::Silent, &[Behaviour::Silent; 5]);
            let paths = Rc::new(ReplicaPaths::new(
                Rc::clone(&network) as Rc<dyn ReplicaNetwork>
            ));
            assert!(ask(&paths).await.0.is_err());
            assert_eq!(network.asked.borrow().len(), 1);
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn loss_is_general_only_if_a_relay_reports_it() {
    LocalSet::new()
        .run_until(async {
            let second = Duration::from_secs(1);
            let alone = FakeNetwork::new(Behaviour::Silent, &[]);
            let paths = Rc::new(ReplicaPaths::new(alone));
            let (reply, took) = ask(&paths).await;
            assert_eq!(reply, Err(LinkError::TimedOut));
            assert_eq!(took, TIMEOUT);
            assert!(!paths.is_reported_unreachable(second));
            let cannot_reach = Behaviour::Fails(LinkError::RelayTargetUnreachable);
            let network = FakeNetwork::new(Behaviour::Silent, &[cannot_reach]);
            let paths = Rc::new(ReplicaPaths::new(network));
            assert!(ask(&paths).await.0.is_err());
            assert!(paths.is_reported_unreachable(second));
        })
        .await;
}

#[tokio::test(start_paused = true)]
async fn majority_is_lost_after_a_long_failure_until_it_answers() {
    let health = MajorityHealth::default();
    assert!(
        !health.on_failed(Duration::from_millis(50)),
        "too short to be evidence"
    );
    assert!(!health.is_lost());
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(health.on_failed(Duration::from_millis(700)));
    assert!(
        !health.on_failed(Duration::from_millis(700)),
        "already lost"
    );
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
    let ordered = paths.order_by_preference(
        five_replicas(),
        zone,
        &ZoneRegions::default(),
        &subject.to_string(),
    );
    let first = ordered.iter().take(3);
    first.map(|replica| replica.id).collect()
}

/// Guards against one replica serving most reads from a zone without replicas.
#[test]
fn reads_from_a_zone_without_replicas_are_spread() {
    let network = FakeNetwork::new(Behaviour::Replies(REPLY_TIME), &[]);
    let paths = ReplicaPaths::new(network);
    let nearest: Vec<ReplicaId> = (0..500)
        .map(|subject| first_asked(&paths, "elsewhere", subject)[0])
        .collect();
    for number in 1..=5 {
        let asked = nearest.iter().filter(|id| **id == ReplicaId(number));
        assert!((60..150).contains(&asked.count()), "{number}");
    }
}

/// Guards against relays multiplying the load of replicas that are slow for all.
#[tokio::test(start_paused = true)]
async fn recently_slow_replica_is_not_asked_through_a_relay() {
    let slow = Duration::from_millis(600);
    let network = FakeNetwork::new(Behaviour::Replies(slow), &[Behaviour::Replies(REPLY_TIME)]);
    network.slowest_reply.set(Duration::from_millis(300));
    let paths = Rc::new(ReplicaPaths::new(
        Rc::clone(&network) as Rc<dyn ReplicaNetwork>
    ));
    let (reply, waited) = LocalSet::new().run_until(ask(&paths)).await;
    assert!(reply.is_ok());
    assert!(network.asked.borrow().is_empty(), "no relay is used");
    assert_eq!(waited, slow);
}

/// Guards against reads that abandon each replica in turn while all are slow.
#[tokio::test(start_paused = true)]
async fn recently_slow_replica_gets_a_longer_timeout() {
    let slow = Duration::from_millis(350);
    let network = FakeNetwork::new(Behaviour::Replies(slow), &[]);
    let paths = Rc::new(ReplicaPaths::new(
        Rc::clone(&network) as Rc<dyn ReplicaNetwork>
    ));
    let min_timeout = Duration::from_millis(200);
    let asked = paths
        .ask_with_adaptive_timeout(&replica(), read(), min_timeout, &Residency::anywhere())
        .await;
    assert_eq!(asked, Err(LinkError::TimedOut), "no slow reply is known");
    network.slowest_reply.set(Duration::from_millis(300));
    assert!(
        paths
            .ask_with_adaptive_timeout(&replica(), read(), min_timeout, &Residency::anywhere())
            .await
            .is_ok()
    );
}

/// Guards against a relay that asks a replica that it knows to have failed: the requesting gateway
/// would wait until the relay's own request times out.
#[tokio::test(start_paused = true)]
async fn gateway_does_not_relay_to_a_suspected_replica() {
    let network = FakeNetwork::new(Behaviour::Silent, &[]);
    let paths = Rc::new(ReplicaPaths::new(network as Rc<dyn ReplicaNetwork>));
    assert!(paths.can_relay_to(replica().id));
    let (reply, _) = LocalSet::new().run_until(ask(&paths)).await;
    assert_eq!(reply, Err(LinkError::TimedOut));
    assert!(!paths.can_relay_to(replica().id));
    tokio::time::sleep(Duration::from_secs(4)).await;
    assert!(
        paths.can_relay_to(replica().id),
        "the suspicion has expired"
    );
}

/// Guards against reusing a relay for a request whose residency excludes it.
#[tokio::test(start_paused = true)]
async fn relays_are_chosen_within_the_residency() {
    let local = LocalSet::new();
    local
        .run_until(async {
            let quick = Behaviour::Replies(REPLY_TIME);
            let network = FakeNetwork::new(Behaviour::Silent, &[quick, quick]);
            let paths = Rc::new(ReplicaPaths::new(network.clone()));
            let south = Residency::within(["south".to_owned()]);
            let nowhere = Residency::within(["east".to_owned()]);
            for _ in 0..20 {
                assert!(ask(&paths).await.0.is_ok());
                network.asked.borrow_mut().clear();
                let asked = paths
                    .ask_in_residency(&replica(), read(), TIMEOUT, &south)
                    .await;
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
                    .ask_in_residency(&replica(), read(), TIMEOUT, &nowhere)
                    .await;
                assert!(asked.is_err());
                assert!(network.asked.borrow().is_empty());
            }
        })
        .await;
}

#[test]
fn replicas_are_ordered_by_distance() {
    let regions = ZoneRegions::from([("a", "north"), ("b", "north"), ("c", "south")]);
    let network = FakeNetwork::new(Behaviour::Silent, &[]);
    let paths = ReplicaPaths::new(network);
    let replicas = ["c", "b", "a", "c"].map(|zone| Replica {
        zone: zone.to_owned(),
        ..replica()
    });
    for hash_key in 0..20 {
        let hash_key = hash_key.to_string();
        let ordered = paths.order_by_preference(replicas.to_vec(), "a", &regions, &hash_key);
        let zones: Vec<&str> = ordered
            .iter()
            .map(|replica| replica.zone.as_str())
            .collect();
        assert_eq!(zones, ["a", "b", "c", "c"]);
    }
}
