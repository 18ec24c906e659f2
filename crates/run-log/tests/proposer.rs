//! Rules of the proposer that the simulator rarely exercises.

mod support;

use ridgeworks_domain::{Ballot, NodeId};
use ridgeworks_run_log::proposer::{Proposer, ProposerState};
use ridgeworks_run_log::{
    Entry, LogEntry, LogIndex, ReplicaId, ReplicationSettings, Reply, Request, StoreId,
};
use support::{NOW, OTHER_OWNER, OWNER, RUN, opening};

const INSTANCE: u64 = 5;

fn replica(node: u64) -> ReplicaId {
    ReplicaId {
        node: NodeId(node),
        store: StoreId(node),
        generation: 0,
    }
}

/// Log of the first owner.
fn log() -> Vec<LogEntry> {
    let ballot = Ballot {
        round: 1,
        node: OWNER,
    };
    let replicas = vec![replica(1), replica(2), replica(3)];
    let child = Entry::ChildOpened {
        run: ridgeworks_domain::RunId(1),
        budget: ridgeworks_domain::Cost(1),
    };
    vec![
        LogEntry {
            index: LogIndex(1),
            ballot,
            entry: Entry::Opened(opening(replicas, 10)),
        },
        LogEntry {
            index: LogIndex(2),
            ballot,
            entry: child,
        },
    ]
}

fn promise(node: u64, ballot: Ballot, held: usize) -> Reply {
    Reply::Promise {
        run: RUN,
        ballot,
        instance: INSTANCE,
        replica: replica(node),
        last: log()[held - 1].position(),
        commit_index: LogIndex::NONE,
    }
}

fn appended(node: u64, ballot: Ballot, last_index: u64) -> Reply {
    Reply::Appended {
        run: RUN,
        ballot,
        replica: replica(node),
        last_index: LogIndex(last_index),
        round: 0,
    }
}

/// A proposer that has won its claim with the log of node 2, which is longer than that of node 1.
fn leading() -> (Proposer, Ballot) {
    let contacts = [1, 2, 3].map(NodeId);
    let settings = ReplicationSettings::default();
    let known = Ballot::ZERO;
    let mut proposer =
        Proposer::take_over(RUN, OTHER_OWNER, INSTANCE, known, &contacts, settings, NOW);
    let requests = proposer.take_requests();
    let Some((_, Request::Prepare { ballot, .. })) = requests.first() else {
        panic!("a claim starts with prepares");
    };
    proposer.handle(NodeId(1), &promise(1, *ballot, 1), NOW);
    proposer.handle(NodeId(2), &promise(2, *ballot, 2), NOW);
    let fetched = Reply::Fetched {
        run: RUN,
        ballot: *ballot,
        replica: replica(2),
        entries: log(),
    };
    proposer.handle(NodeId(2), &fetched, NOW);
    (proposer, *ballot)
}

#[test]
fn the_newest_log_of_a_majority_is_adopted() {
    let (proposer, ballot) = leading();
    assert_eq!(proposer.state(), ProposerState::Leading);
    assert_eq!(proposer.entry(LogIndex(2)), Some(&log()[1]));
    assert_eq!(proposer.claim_index(), LogIndex(3));
    assert_eq!(
        proposer.entry(LogIndex(3)).map(|entry| entry.ballot),
        Some(ballot)
    );
}

/// Another owner that never saw an entry of an older ballot may still overwrite it, even if a majority stores it.
#[test]
fn entries_of_older_ballots_are_committed_only_with_one_of_the_current_ballot() {
    let (mut proposer, ballot) = leading();
    proposer.handle(NodeId(1), &appended(1, ballot, 2), NOW);
    proposer.handle(NodeId(2), &appended(2, ballot, 2), NOW);
    assert_eq!(proposer.commit_index(), LogIndex::NONE);
    proposer.handle(NodeId(1), &appended(1, ballot, 3), NOW);
    proposer.handle(NodeId(2), &appended(2, ballot, 3), NOW);
    assert_eq!(proposer.commit_index(), LogIndex(3));
}

#[test]
fn a_promise_to_another_instance_does_not_count() {
    let contacts = [1, 2, 3].map(NodeId);
    let settings = ReplicationSettings::default();
    let known = Ballot::ZERO;
    let mut proposer = Proposer::take_over(RUN, OTHER_OWNER, 6, known, &contacts, settings, NOW);
    let ballot = known.next_for(OTHER_OWNER).next_for(OTHER_OWNER);
    proposer.take_requests();
    proposer.handle(NodeId(1), &promise(1, ballot, 1), NOW);
    proposer.handle(NodeId(2), &promise(2, ballot, 2), NOW);
    assert!(proposer.take_requests().is_empty(), "no log is fetched");
}

#[test]
fn a_lost_replica_is_replaced_in_two_steps_of_one_acceptor_each() {
    let (mut proposer, ballot) = leading();
    let fresh = ReplicaId {
        store: StoreId(33),
        ..replica(3)
    };
    proposer.replace_replica(replica(3), fresh, NOW);
    assert_eq!(
        proposer.members().len(),
        3,
        "no change before the claim is committed"
    );
    proposer.handle(NodeId(1), &appended(1, ballot, 3), NOW);
    proposer.handle(NodeId(2), &appended(2, ballot, 3), NOW);
    assert_eq!(proposer.members(), [replica(1), replica(2)]);
    proposer.handle(NodeId(1), &appended(1, ballot, 4), NOW);
    assert_eq!(proposer.members().len(), 2, "both replicas must confirm");
    proposer.handle(NodeId(2), &appended(2, ballot, 4), NOW);
    assert_eq!(proposer.members(), [replica(1), replica(2), fresh]);
}
