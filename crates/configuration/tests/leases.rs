//! Leases, voters, relays, quorums and the list of machines, each on its own.

#[path = "simulator/scenario.rs"]
mod scenario;

use std::time::Duration;

use quickcheck::{QuickCheck, TestResult};
use ridgeworks_configuration::machines::{Machine, MachineList, MachineState};
use ridgeworks_configuration::message::{KnownVersions, StateDelta, VoterAnswer};
use ridgeworks_configuration::quorum::Voters;
use ridgeworks_configuration::relay::RelayAssignment;
use ridgeworks_configuration::settings::{
    DISK_LOSS_QUARANTINE, LEASE_DURATION, MAX_RELAY_CLIENTS, MEMBERS_PER_RELAY, Member,
};
use ridgeworks_configuration::{
    ConfigurationMessage, ConfigurationRole, ConfigurationSettings, Effect, Event, PlatformAnswer,
    PlatformOperation, PlatformVersion, RequestId, Revision, StoredVoter,
};
use ridgeworks_domain::{MonotonicTime, NodeId, RefusalReason, ZoneName};
use scenario::initial_configuration;

const VOTERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
const START: MonotonicTime = MonotonicTime { micros: 1_000_000 };

fn role(node: u64, stored: Option<StoredVoter>) -> ConfigurationRole {
    let node = NodeId(node);
    let settings = ConfigurationSettings {
        node,
        voters: VOTERS.to_vec(),
        seed: 1,
    };
    ConfigurationRole::new(settings, stored, START)
}

fn sent(effects: &[Effect]) -> Vec<(NodeId, ConfigurationMessage)> {
    let messages = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, message } => Some((*to, message.clone())),
        _ => None,
    });
    messages.collect()
}

fn renewal(effects: &[Effect]) -> RequestId {
    let found = sent(effects)
        .into_iter()
        .find_map(|(_, message)| match message {
            ConfigurationMessage::Renew { request, .. } => Some(request),
            _ => None,
        });
    found.expect("a renewal")
}

/// A voter's answer that includes the initial configuration.
fn renewed(voter: NodeId, request: RequestId) -> Event {
    let set = initial_configuration();
    let message = ConfigurationMessage::Renewed {
        request,
        answers: vec![VoterAnswer {
            voter,
            newest: set.revision(),
        }],
        news: StateDelta {
            update: Some(Box::new(set.snapshot())),
            ..StateDelta::default()
        },
    };
    Event::Message {
        from: voter,
        message,
    }
}

#[test]
fn lease_starts_when_the_renewal_is_sent() {
    let mut role = role(9, None);
    let request = renewal(&role.handle(START, Event::Tick));
    let answered = START + Duration::from_millis(2_500);
    role.handle(answered, renewed(VOTERS[0], request));
    assert!(role.in_force(answered).is_err());
    role.handle(answered, renewed(VOTERS[2], request));
    let last = START + (LEASE_DURATION - Duration::from_micros(1));
    assert_eq!(
        role.in_force(last).expect("a lease").revision(),
        Revision(5)
    );
    let refusal = role
        .in_force(START + LEASE_DURATION)
        .expect_err("a refusal");
    assert_eq!(refusal.reason, RefusalReason::ConfigurationStale);
    assert!(refusal.retry_after_ms.is_some());
}

#[test]
fn late_answers_to_a_paused_node_grant_no_lease() {
    let mut role = role(9, None);
    let request = renewal(&role.handle(START, Event::Tick));
    let woken = START + LEASE_DURATION;
    role.handle(woken, renewed(VOTERS[0], request));
    role.handle(woken, renewed(VOTERS[1], request));
    assert!(role.in_force(woken).is_err());
}

#[test]
fn revision_that_only_one_voter_holds_is_not_put_in_force() {
    let mut role = role(9, None);
    let request = renewal(&role.handle(START, Event::Tick));
    role.handle(START, renewed(VOTERS[0], request));
    let behind = ConfigurationMessage::Renewed {
        request,
        answers: vec![VoterAnswer {
            voter: VOTERS[1],
            newest: Revision::ZERO,
        }],
        news: StateDelta::default(),
    };
    role.handle(
        START,
        Event::Message {
            from: VOTERS[1],
            message: behind,
        },
    );
    assert!(role.in_force(START).is_err());
    assert_eq!(role.last_known().revision(), Revision::ZERO);
    role.handle(START, renewed(VOTERS[2], request));
    assert!(role.in_force(START).is_ok());
}

fn replicate(request: u64) -> Event {
    let request = RequestId(request);
    let update = Box::new(initial_configuration().snapshot());
    let message = ConfigurationMessage::Replicate { request, update };
    Event::Message {
        from: NodeId(9),
        message,
    }
}

fn stored_reply(effects: &[Effect]) -> Option<Revision> {
    sent(effects)
        .into_iter()
        .find_map(|(_, message)| match message {
            ConfigurationMessage::Stored {
                request: Some(_),
                known,
            } => Some(known.newest),
            _ => None,
        })
}

#[test]
fn voter_acknowledges_only_after_the_flush() {
    let mut voter = role(1, None);
    let effects = voter.handle(START, replicate(4));
    assert_eq!(stored_reply(&effects), None);
    let write = effects.iter().find_map(|effect| match effect {
        Effect::Write { write, .. } => Some(*write),
        _ => None,
    });
    let write = write.expect("a write");
    let effects = voter.handle(START, Event::Flushed { write });
    assert_eq!(stored_reply(&effects), Some(Revision(5)));
}

fn answers_of(voter: &mut ConfigurationRole, now: MonotonicTime) -> Vec<VoterAnswer> {
    let request = RequestId(77);
    let message = ConfigurationMessage::Renew {
        request,
        known: KnownVersions::default(),
    };
    let effects = voter.handle(
        now,
        Event::Message {
            from: NodeId(9),
            message,
        },
    );
    let found = sent(&effects)
        .into_iter()
        .find_map(|(_, message)| match message {
            ConfigurationMessage::Renewed { answers, .. } => Some(answers),
            _ => None,
        });
    found.expect("an answer")
}

#[test]
fn voter_is_eligible_with_its_stored_state_after_a_restart() {
    let whole = initial_configuration().snapshot();
    let stored = StoredVoter {
        whole,
        vouches: true,
    };
    let stored = StoredVoter::from_bytes(&stored.to_bytes()).expect("readable bytes");
    let mut voter = role(1, Some(stored));
    let newest = Revision(5);
    assert_eq!(
        answers_of(&mut voter, START),
        [VoterAnswer {
            voter: NodeId(1),
            newest
        }]
    );
    assert!(StoredVoter::from_bytes(b"not a state").is_err());
}

#[test]
fn voter_without_its_disk_is_eligible_after_answers_of_a_recovery_quorum() {
    let mut voter = role(1, None);
    let early = voter.handle(START, Event::Tick);
    let asks = |effects: &[Effect]| {
        let mut asked = Vec::new();
        for (to, message) in sent(effects) {
            if let ConfigurationMessage::FetchNewest { request, .. } = message {
                asked.push((to, request));
            }
        }
        asked
    };
    assert_eq!(asks(&early), []);
    let now = START + DISK_LOSS_QUARANTINE;
    let asked = asks(&voter.handle(now, Event::Tick));
    assert_eq!(asked.len(), 2);
    for (index, (from, request)) in asked.into_iter().enumerate() {
        assert_eq!(answers_of(&mut voter, now), [], "after {index} answers");
        let set = initial_configuration();
        let message = ConfigurationMessage::Newest {
            request,
            newest: set.revision(),
            vouches: true,
            news: StateDelta {
                update: Some(Box::new(set.snapshot())),
                ..StateDelta::default()
            },
        };
        let effects = voter.handle(now, Event::Message { from, message });
        for effect in effects {
            if let Effect::Write { write, .. } = effect {
                voter.handle(now, Event::Flushed { write });
            }
        }
    }
    for write in 1..=2 {
        voter.handle(now, Event::Flushed { write });
    }
    let newest = Revision(5);
    assert_eq!(
        answers_of(&mut voter, now),
        [VoterAnswer {
            voter: NodeId(1),
            newest
        }]
    );
}

#[test]
fn voter_without_its_disk_is_eligible_after_it_read_the_platform() {
    let mut voter = role(1, None);
    let effects = voter.handle(START, Event::Tick);
    let read = effects.iter().find_map(|effect| match effect {
        Effect::Platform {
            request,
            operation: PlatformOperation::Read,
        } => Some(*request),
        _ => None,
    });
    let answer = PlatformAnswer::Document {
        version: PlatformVersion(0),
        document: Vec::new(),
    };
    let request = read.expect("a read");
    let effects = voter.handle(START, Event::PlatformAnswer { request, answer });
    assert_eq!(answers_of(&mut voter, START), []);
    let Some(Effect::Write { write, .. }) = effects.first() else {
        panic!("expected a write, not {effects:?}");
    };
    voter.handle(START, Event::Flushed { write: *write });
    assert_eq!(answers_of(&mut voter, START).len(), 1);
}

#[test]
fn watch_that_fails_to_start_is_retried() {
    let watches = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Platform {
                request,
                operation: PlatformOperation::Watch,
            } => Some(*request),
            _ => None,
        })
    };
    let mut voter = role(1, None);
    let request = watches(&voter.handle(START, Event::Tick)).expect("a watch");
    let answer = PlatformAnswer::Unavailable;
    voter.handle(START, Event::PlatformAnswer { request, answer });
    assert_eq!(watches(&voter.handle(START, Event::Tick)), None);
    let later = START + Duration::from_secs(1);
    assert!(watches(&voter.handle(later, Event::Tick)).is_some());
}

#[test]
fn relay_takes_a_bounded_number_of_clients() {
    let mut relay = role(9, None);
    for client in 0..=MAX_RELAY_CLIENTS as u64 {
        let request = RequestId(client);
        let message = ConfigurationMessage::Renew {
            request,
            known: KnownVersions::default(),
        };
        let from = NodeId(100 + client);
        let effects = relay.handle(START, Event::Message { from, message });
        let full = sent(&effects)
            .iter()
            .any(|(_, message)| matches!(message, ConfigurationMessage::RelayFull { .. }));
        assert_eq!(full, client == MAX_RELAY_CLIENTS as u64);
    }
}

#[test]
fn every_zone_has_enough_relays_and_voters_are_never_relays() {
    fn property(zones: Vec<u8>) -> bool {
        let zone = |number: &u8| ZoneName::new(format!("zone-{}", number % 4)).expect("a name");
        let members: Vec<Member> = zones
            .iter()
            .enumerate()
            .map(|(index, number)| Member {
                node: NodeId(index as u64),
                zone: zone(number),
            })
            .collect();
        let voters = Voters::new(VOTERS.to_vec());
        let plan = RelayAssignment::new(&members, &voters);
        members.iter().all(|member| {
            let relays = plan.relays_for(member.node);
            let of_zone =
                |other: &&Member| other.zone == member.zone && !voters.contains(other.node);
            let zone_size = members.iter().filter(of_zone).count();
            let enough = relays.is_empty() || relays.len() == zone_size.div_ceil(MEMBERS_PER_RELAY);
            enough && !relays.iter().any(|relay| voters.contains(*relay))
        })
    }
    QuickCheck::new().quickcheck(property as fn(Vec<u8>) -> bool);
}

/// `required` is never below a revision that a majority holds, and a majority holds `held`.
#[test]
fn quorum_results_match_the_revisions_held_by_a_majority() {
    fn property(five: bool, revisions: Vec<u8>, answered_mask: u8) -> TestResult {
        let count = if five { 5 } else { 3 };
        if revisions.len() < count {
            return TestResult::discard();
        }
        let revisions: Vec<Revision> = revisions[..count]
            .iter()
            .map(|revision| Revision(u64::from(*revision) % 4))
            .collect();
        let voters = Voters::new((0..count as u64).map(NodeId).collect());
        let answered = (0..count).filter(|index| answered_mask & (1 << index) != 0);
        let answers: Vec<Revision> = answered.map(|index| revisions[index]).collect();
        let Some(quorum_result) = voters.quorum_result(answers.iter().copied()) else {
            return TestResult::from_bool(answers.len() < voters.majority());
        };
        let on_majority = |revision: Revision| {
            revisions.iter().filter(|other| **other >= revision).count() >= voters.majority()
        };
        let accepted = (0..4)
            .map(Revision)
            .filter(|revision| on_majority(*revision));
        let newest = accepted.max().unwrap_or_default();
        TestResult::from_bool(quorum_result.required >= newest && on_majority(quorum_result.held))
    }
    QuickCheck::new()
        .tests(2_000)
        .quickcheck(property as fn(bool, Vec<u8>, u8) -> TestResult);
}

fn machine(name: &str, incarnation: u64, state: MachineState) -> Machine {
    let name = name.to_owned();
    Machine {
        name,
        incarnation,
        state,
        backend: None,
    }
}

#[test]
fn leaving_is_final_for_an_incarnation() {
    let mut list = MachineList::default();
    assert!(list.observe(5, vec![machine("a", 1, MachineState::Leaving)]));
    assert!(!list.observe(4, vec![machine("a", 1, MachineState::Live)]));
    assert!(list.observe(6, vec![machine("a", 1, MachineState::Live)]));
    assert_eq!(list.get("a").expect("listed").state, MachineState::Leaving);
    assert!(list.observe(7, vec![machine("a", 2, MachineState::Live)]));
    assert_eq!(list.get("a").expect("listed").state, MachineState::Live);
    assert!(list.observe(8, Vec::new()));
    assert_eq!(list.get("a").expect("listed").state, MachineState::Gone);
}

#[test]
fn machine_deltas_result_in_the_same_list() {
    fn property(steps: Vec<(u8, u8)>, from: usize) -> bool {
        let mut source = MachineList::default();
        let mut states = vec![source.clone()];
        for (index, (name, incarnation)) in steps.iter().enumerate() {
            let state = [MachineState::Live, MachineState::Leaving][usize::from(name / 8) % 2];
            let name = format!("machine-{}", name % 4);
            let listed = machine(&name, u64::from(incarnation % 3), state);
            source.observe(index as u64 + 1, vec![listed]);
            states.push(source.clone());
        }
        let mut holder = states[from % states.len()].clone();
        if let Some(update) = source.update_since(holder.version()) {
            holder.apply(&update);
        }
        holder.version() == source.version() && holder.machines().eq(source.machines())
    }
    QuickCheck::new()
        .tests(500)
        .quickcheck(property as fn(Vec<(u8, u8)>, usize) -> bool);
}
