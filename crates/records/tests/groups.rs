//! Groups of replicas, and the planning of their sets.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_records::{
    CopyProgress, Epoch, GroupId, LedgerEntry, ProgramId, ProgramLedger, Replica, ReplicaGroups,
    ReplicaId, ReplicaReply, ReplicaRequest, ReplicaSet, ReplicaState, SetStep, StorageNode,
    StoredRecord, TurnId, TurnRecord, initial_groups, plan_change,
};

const NOW_MS: u64 = 1_000_000;
const EXPIRES_AT_MS: u64 = NOW_MS + 60_000;

fn replica(id: u64, zones: u64) -> Replica {
    Replica {
        id: ReplicaId(id),
        node: format!("store-{id}"),
        address: format!("127.0.0.1:{id}"),
        zone: format!("zone-{}", id % zones),
    }
}

fn nodes(count: u64, zones: u64) -> Vec<StorageNode> {
    let node = |id| StorageNode {
        replica: replica(id, zones),
        alive: true,
        starting: false,
        retiring: false,
        groups: 0,
        joining: false,
    };
    (0..count).map(node).collect()
}

fn set(ids: &[u64]) -> ReplicaSet {
    ReplicaSet {
        epoch: Epoch(1),
        voters: ids.iter().map(|id| replica(*id, 3)).collect(),
        incoming: None,
    }
}

fn program(number: u64) -> ProgramId {
    ProgramId(format!("program-{number}"))
}

#[test]
fn number_of_groups_follows_from_the_number_of_nodes() {
    for (node_count, size, expected) in [(3, 3, 1), (6, 3, 1), (7, 3, 2), (36, 5, 7), (4, 5, 1)] {
        let groups = initial_groups(&nodes(node_count, 7), size).expect("live nodes");
        assert_eq!(groups.iter().count(), expected, "{node_count} nodes");
    }
    assert_eq!(initial_groups(&[], 5), None);
}

#[test]
fn initial_groups_share_no_node_and_spread_over_zones() {
    let groups = initial_groups(&nodes(36, 7), 5).expect("live nodes");
    let mut seen = BTreeSet::new();
    for (_, set) in groups.iter() {
        let zones: BTreeSet<&String> = set.voters.iter().map(|voter| &voter.zone).collect();
        assert!(zones.len() >= 4, "{zones:?}");
        assert!(set.voters.iter().all(|voter| seen.insert(voter.id)));
    }
    assert_eq!(seen.len(), 35);
}

/// The loss of a zone must leave a majority of each group, also where zones are uneven.
#[test]
fn no_zone_holds_a_majority_of_a_set_when_zones_are_uneven() {
    let mut uneven = nodes(7, 1);
    uneven[5].replica.zone = "zone-b".to_owned();
    uneven[6].replica.zone = "zone-c".to_owned();
    let groups = initial_groups(&uneven, 3).expect("live nodes");
    assert_eq!(groups.iter().count(), 2);
    for (_, set) in groups.iter() {
        let zones: BTreeSet<&String> = set.voters.iter().map(|voter| &voter.zone).collect();
        assert_eq!(zones.len(), 3);
    }
}

/// Guards against starting a second copy when coordinators briefly see different storage nodes.
#[test]
fn a_new_member_that_is_already_copying_is_kept() {
    let set = set(&[1, 2, 3]);
    let mut nodes = nodes(9, 3);
    nodes[3].alive = false;
    nodes[6].joining = true;
    let copies = CopyProgress::default();
    let step = plan_change(&set, &nodes, 3, &copies, true);
    let Some(SetStep::Prepare { new_members, .. }) = step else {
        panic!("{step:?}");
    };
    assert_eq!(new_members, [replica(6, 3)]);
}

/// A new member whose copy took longer than a joint set waits was exchanged for an idle node by members that hadn't asked it
/// to copy, so that the copy began again.
#[test]
fn an_incoming_replica_that_still_copies_is_not_exchanged_for_an_idle_node() {
    let mut set = set(&[1, 2, 3]);
    set.incoming = Some(vec![replica(1, 3), replica(2, 3), replica(6, 3)]);
    let mut nodes = nodes(9, 3);
    nodes[3].alive = false;
    nodes[6].groups = 1;
    let copies = CopyProgress::default();
    assert_eq!(plan_change(&set, &nodes, 3, &copies, false), None);
    nodes[6].alive = false;
    let step = plan_change(&set, &nodes, 3, &copies, false);
    let Some(SetStep::Write(change)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(change.new_members().len(), 1, "a lost one is replaced");
}

/// Copying first would only prolong the time in which nothing can be written.
#[test]
fn a_set_without_write_quorum_changes_without_copying_first() {
    let set = set(&[1, 2]);
    let mut nodes = nodes(3, 3);
    nodes[2].replica = replica(7, 3);
    nodes[2].replica.node = "store-2".to_owned();
    let copies = CopyProgress::default();
    let step = plan_change(&set, &nodes[1..], 3, &copies, true);
    let Some(SetStep::Write(change)) = step else {
        panic!("{step:?}");
    };
    assert_eq!(change.new_members(), [&nodes[2].replica]);
}

#[test]
fn programs_are_spread_evenly_over_groups() {
    let groups = initial_groups(&nodes(36, 7), 5).expect("live nodes");
    let mut counts: BTreeMap<GroupId, u64> = BTreeMap::new();
    for number in 0..7_000 {
        let program = program(number);
        let group = groups.group_of(Some(&program));
        assert_eq!(groups.group_of(Some(&program)), group);
        *counts.entry(group).or_default() += 1;
    }
    assert!(
        counts.values().all(|count| (850..1_150).contains(count)),
        "{counts:?}"
    );
    assert_eq!(groups.group_of(None), GroupId(0));
}

/// A single set keeps the format of versions without groups, so that their nodes can read it.
#[test]
fn a_single_set_is_serialized_without_groups() {
    let one = ReplicaGroups::single(set(&[1, 2, 3]));
    let written = serde_json::to_value(&one).expect("a value");
    assert_eq!(written["epoch"], 1);
    assert_eq!(
        serde_json::from_value::<ReplicaGroups>(written).expect("groups"),
        one
    );
    let two = ReplicaGroups::new(vec![set(&[1, 2, 3]), set(&[2, 3, 4])]);
    let written = serde_json::to_value(&two).expect("a value");
    assert_eq!(written["sets"].as_array().map(Vec::len), Some(2));
    assert_eq!(
        serde_json::from_value::<ReplicaGroups>(written).expect("groups"),
        two
    );
}

fn append(group: GroupId, epoch: u64, turn: &str) -> ReplicaRequest {
    ReplicaRequest::Append {
        group,
        epoch: Epoch(epoch),
        record: record(turn),
        ttl_ms: 60_000,
    }
}

fn record(turn: &str) -> TurnRecord {
    TurnRecord {
        turn: TurnId(turn.to_owned()),
        previous: None,
        input: b"input".to_vec(),
        output: b"output".to_vec(),
    }
}

#[test]
fn each_group_has_its_own_epoch_and_change_log() {
    let groups = ReplicaGroups::new(vec![set(&[1, 2, 3]), set(&[1, 4, 5]), set(&[6, 7, 8])]);
    let mut state = ReplicaState::new(ReplicaId(1), 1_000_000);
    state.adopt(groups.clone());
    let mut second = set(&[1, 4, 5]);
    second.epoch = Epoch(2);
    state.adopt(groups.with_set(GroupId(1), second));
    let ask = |state: &mut ReplicaState, request| state.handle(request, NOW_MS).reply;
    assert_eq!(
        ask(&mut state, append(GroupId(0), 1, "t-1")),
        ReplicaReply::Done
    );
    assert_eq!(
        ask(&mut state, append(GroupId(1), 2, "t-2")),
        ReplicaReply::Done
    );
    let stale = ask(&mut state, append(GroupId(1), 1, "t-3"));
    assert!(matches!(stale, ReplicaReply::Stale { .. }), "{stale:?}");
    let behind = ask(&mut state, append(GroupId(0), 2, "t-3"));
    assert_eq!(behind, ReplicaReply::Behind);
    let foreign = ask(&mut state, append(GroupId(2), 1, "t-3"));
    assert_eq!(foreign, ReplicaReply::NotMember);
    for (group, epoch, turn) in [(GroupId(0), 1, "t-1"), (GroupId(1), 2, "t-2")] {
        let list = ReplicaRequest::List {
            group,
            epoch: Epoch(epoch),
            after: None,
        };
        let ReplicaReply::Listed(listing) = ask(&mut state, list) else {
            panic!("a member lists");
        };
        let turns: Vec<&str> = listing
            .turns
            .iter()
            .map(|(turn, _)| turn.0.as_str())
            .collect();
        assert_eq!(turns, [turn]);
    }
}

/// A copy without the turn must not count as complete, or the new member would vote without it.
#[test]
fn copying_a_turn_fails_without_room() {
    let mut state = ReplicaState::new(ReplicaId(1), 4);
    let copied = state.copy_turn(GroupId(0), record("t-1"), 60_000, NOW_MS);
    assert_eq!(copied, None);
}

#[test]
fn records_of_versions_without_groups_are_restored() {
    let mut ledger = ProgramLedger::default();
    let entry = LedgerEntry {
        reserved_tokens: 50,
        spent: Some(7),
    };
    ledger.merge_entry(&TurnId("t-1".to_owned()), entry);
    let mut state = ReplicaState::new(ReplicaId(1), 1_000_000);
    state.restore(StoredRecord::Set(set(&[1, 2, 3])));
    state.restore(StoredRecord::Ledger(program(1), ledger, EXPIRES_AT_MS));
    state.restore(StoredRecord::Turn(record("t-1"), EXPIRES_AT_MS));
    let list = ReplicaRequest::List {
        group: GroupId(0),
        epoch: Epoch(1),
        after: None,
    };
    let ReplicaReply::Listed(listing) = state.handle(list, NOW_MS).reply else {
        panic!("a member lists");
    };
    assert_eq!((listing.turns.len(), listing.ledgers.len()), (1, 1));
}

fn ids(replicas: &[Replica]) -> BTreeSet<u64> {
    replicas.iter().map(|replica| replica.id.0).collect()
}

fn plan(set: &ReplicaSet, nodes: &[StorageNode]) -> Option<SetStep> {
    plan_change(set, nodes, 3, &CopyProgress::default(), true)
}

/// A node whose disk was lost, and which runs a replica on an empty one.
fn lose_disk(node: &mut StorageNode, new_id: u64) {
    let name = node.replica.node.clone();
    node.replica = replica(new_id, 3);
    node.replica.node = name;
}

/// The voters that an immediate step would lead to.
fn written_voters(step: Option<SetStep>) -> BTreeSet<u64> {
    let Some(SetStep::Write(change)) = step else {
        panic!("{step:?}");
    };
    ids(&change.incoming.expect("a joint set"))
}

/// A machine that was gone for good stayed a voter, and the loss of one more disk left no read quorum.
#[test]
fn a_lost_voter_that_no_node_can_replace_is_left_out() {
    let mut nodes = nodes(3, 3);
    nodes[2].alive = false;
    let step = plan(&set(&[0, 1, 2]), &nodes);
    let Some(SetStep::LeaveOut(change)) = step else {
        panic!("{step:?}");
    };
    let incoming = change.incoming.expect("a joint set");
    assert_eq!(ids(&incoming), BTreeSet::from([0, 1]));
    lose_disk(&mut nodes[0], 7);
    let step = plan(&set(&[0, 1]), &nodes);
    assert_eq!(written_voters(step), BTreeSet::from([1, 7]));
}

#[test]
fn a_set_is_not_reduced_below_a_majority_of_its_size() {
    let mut nodes = nodes(2, 3);
    nodes[1].alive = false;
    assert_eq!(plan(&set(&[0, 1]), &nodes), None);
}

#[test]
fn a_starting_voter_is_not_left_out() {
    let mut nodes = nodes(3, 3);
    nodes[2].alive = false;
    nodes[2].starting = true;
    assert_eq!(plan(&set(&[0, 1, 2]), &nodes), None);
}

/// A machine that had to stay, since too few others were left, kept the set from taking a replica with an empty disk.
#[test]
fn a_retiring_voter_stays_where_another_one_has_lost_its_disk() {
    let mut nodes = nodes(2, 3);
    nodes[1].retiring = true;
    assert_eq!(plan(&set(&[0, 1]), &nodes), None);
    lose_disk(&mut nodes[0], 7);
    let step = plan(&set(&[0, 1]), &nodes);
    assert_eq!(written_voters(step), BTreeSet::from([1, 7]));
}
