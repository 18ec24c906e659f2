//! Lookups that wait for replicas while it becomes known that there are none.

mod support;

use std::time::Duration;

use ridgeworks_gateway::Gateway;
use ridgeworks_records::{
    Epoch, MARK_ENTRY, ProgramId, Replica, ReplicaGroups, ReplicaId, ReplicaSet, Settlement, TurnId,
};
use ridgeworks_resident::peer::MemberInfo;
use ridgeworks_resident::view::Source;
use support::{gateway_before_store, run};
use tokio::time::{Instant, sleep, timeout};

const RETENTION: Duration = Duration::from_secs(60);
/// Longer than any lookup waits.
const DEADLINE: Duration = Duration::from_secs(5);
/// Far less than [`DEADLINE`].
const SOON: Duration = Duration::from_secs(1);
/// Longer than settlements are tried.
const SETTLEMENTS_TIMEOUT: Duration = Duration::from_secs(20);

/// Looks up a ledger; returns why it could not be read.
async fn look_up(gateway: &Gateway, deadline: Duration) -> String {
    let program = ProgramId::of(None, "p");
    let turn = TurnId::of(None, "t");
    let deadline = Instant::now() + deadline;
    let lookup = gateway
        .records
        .reserve_if_replicated(&program, &turn, MARK_ENTRY, RETENTION, deadline);
    lookup.await.expect_err("no replica answers").to_string()
}

fn groups() -> ReplicaGroups {
    let replica = Replica {
        id: ReplicaId(1),
        node: "replica-1".to_owned(),
        address: "127.79.9.9:27390".to_owned(),
        zone: "zone-a".to_owned(),
    };
    ReplicaGroups::single(ReplicaSet {
        epoch: Epoch(1),
        voters: vec![replica],
        incoming: None,
    })
}

/// Guards against lookups that wait out their time although the store has said meanwhile that there are no replicas.
#[test]
fn a_lookup_ends_when_it_becomes_known_that_there_are_no_replicas() {
    run(async {
        let gateway = gateway_before_store("127.79.1.1").await;
        let began = Instant::now();
        let learning = async {
            sleep(Duration::from_millis(50)).await;
            gateway.node.view.on_no_replica_sets();
        };
        let (failure, ()) = tokio::join!(look_up(&gateway, DEADLINE), learning);
        assert_eq!(failure, "the deployment has no replicas");
        assert!(began.elapsed() < SOON, "{:?}", began.elapsed());
    });
}

#[test]
fn a_lookup_beside_a_replica_without_a_set_waits_for_its_set() {
    run(async {
        let gateway = gateway_before_store("127.79.2.1").await;
        gateway.node.gossip.add_known(vec![MemberInfo {
            name: "replica-1".to_owned(),
            address: "127.79.9.9:27390".parse().expect("an address"),
            zone: "zone-a".to_owned(),
            is_replica: true,
        }]);
        gateway.node.view.on_no_replica_sets();
        let failure = look_up(&gateway, Duration::from_millis(100)).await;
        assert_eq!(failure, "not enough replicas answered in time");
    });
}

#[test]
fn nothing_that_the_store_said_before_holds_against_known_sets() {
    run(async {
        let gateway = gateway_before_store("127.79.3.1").await;
        gateway.node.view.on_no_replica_sets();
        gateway.node.view.adopt_replica_sets(groups(), Source::Peer);
        gateway.node.view.on_no_replica_sets();
        assert!(!gateway.has_no_replicas());
        let failure = look_up(&gateway, Duration::from_millis(100)).await;
        assert_eq!(failure, "not enough replicas answered in time");
    });
}

/// Guards against a gateway that is never ready again since a settlement found no replicas to take it.
#[test]
fn a_settlement_without_replica_sets_is_no_loss_of_a_majority() {
    run(async {
        let gateway = gateway_before_store("127.79.4.1").await;
        gateway.node.view.on_no_replica_sets();
        gateway.records.settle(Settlement {
            program: ProgramId::of(None, "p"),
            turn: TurnId::of(None, "t"),
            entry: MARK_ENTRY,
            ttl_ms: 1_000,
        });
        tokio::time::pause();
        let deadline = Instant::now() + SETTLEMENTS_TIMEOUT;
        let settling = gateway.records.finish_settlements(deadline);
        timeout(2 * SETTLEMENTS_TIMEOUT, settling)
            .await
            .expect("it ends with its deadline");
        assert!(!gateway.records.has_lost_most_majorities());
    });
}
