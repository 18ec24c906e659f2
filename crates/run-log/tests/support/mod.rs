//! Three replicas and an owner that exchange messages immediately, without faults.
#![allow(dead_code, reason = "each test file uses its own part")]

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ridgeworks_domain::{
    BackendName, Ballot, CallKey, CallRequest, ClassName, Cost, MonotonicTime, NodeId, PartnerName,
    ProgramName, RunId, Sequence, ServiceName,
};
use ridgeworks_run_log::{
    AttemptOutcome, CallerAnswer, CallerId, LogEntry, LogIndex, LogStorage, Opening, OwnerEffect,
    OwnerEvent, OwnerSettings, Replica, ReplicaId, Request, RestoredStore, RunOwner, StoreId,
    Write,
};

pub const RUN: RunId = RunId(7);
pub const NOW: MonotonicTime = MonotonicTime { micros: 1_000_000 };
pub const OWNER: NodeId = NodeId(9);
pub const OTHER_OWNER: NodeId = NodeId(10);

/// Stored entries; reads see all writes immediately.
#[derive(Default)]
pub struct Entries(pub BTreeMap<(RunId, LogIndex), LogEntry>);

impl LogStorage for Entries {
    fn entries(&self, run: RunId, first: LogIndex, _max_bytes: usize) -> Vec<LogEntry> {
        let range = self.0.range((run, first)..=(run, LogIndex(u64::MAX)));
        range.map(|(_, entry)| entry.clone()).collect()
    }
}

impl Entries {
    pub fn apply(&mut self, writes: Vec<Write>) {
        for write in writes {
            match write {
                Write::Entry { run, entry } => {
                    self.0.insert((run, entry.index), entry);
                }
                Write::TruncateFrom { run, index } => {
                    self.0.retain(|(of, at), _| *of != run || *at < index);
                }
                Write::DeleteRun { run } => self.0.retain(|(of, _), _| *of != run),
                Write::Head { .. } | Write::Generation { .. } => {}
            }
        }
    }
}

pub fn replica(node: u64) -> Replica {
    let restored = RestoredStore {
        store: StoreId(node * 100),
        generation: 0,
        heads: Vec::new(),
    };
    Replica::restore(NodeId(node), restored, NOW)
}

pub fn opening(replicas: Vec<ReplicaId>, budget: u64) -> Opening {
    Opening {
        partner: PartnerName::new("partner").unwrap(),
        program: ProgramName::new("program").unwrap(),
        class: ClassName::new("class").unwrap(),
        budget: Cost(budget),
        max_calls: 3,
        parent: None,
        replicas,
    }
}

pub fn call_request(sequence: u64, reserve: u64) -> CallRequest {
    CallRequest {
        key: CallKey::new(format!("key-{sequence}")).unwrap(),
        sequence: Sequence(sequence),
        service: ServiceName::new("service").unwrap(),
        repeatable: false,
        reserve: Cost(reserve),
        deadline_ms: None,
        stream: false,
        body: b"body".to_vec(),
    }
}

pub fn call(caller: u64, request: CallRequest) -> OwnerEvent {
    OwnerEvent::Call {
        caller: CallerId(caller),
        request,
        max_attempts: 3,
    }
}

pub fn granted(sequence: u64, attempt: u32) -> OwnerEvent {
    OwnerEvent::Granted {
        call: Sequence(sequence),
        attempt,
        backend: BackendName::new("backend").unwrap(),
        address: SocketAddr::from(([127, 0, 0, 1], 1)).into(),
    }
}

pub fn finished(sequence: u64, attempt: u32, spent: u64) -> OwnerEvent {
    OwnerEvent::AttemptFinished {
        call: Sequence(sequence),
        attempt,
        outcome: AttemptOutcome::Finished {
            answer: b"answer".to_vec(),
            spent: Cost(spent),
        },
    }
}

pub fn answers(effects: &[OwnerEffect]) -> Vec<(u64, CallerAnswer)> {
    let answer = |effect: &OwnerEffect| match effect {
        OwnerEffect::AnswerCaller { caller, answer } => Some((caller.0, answer.clone())),
        _ => None,
    };
    effects.iter().filter_map(answer).collect()
}

pub fn is_start_attempt(effect: &OwnerEffect) -> bool {
    matches!(effect, OwnerEffect::StartAttempt { .. })
}

/// Three replicas and one owner; messages are delivered immediately.
pub struct Cluster {
    pub replicas: Vec<(Replica, Entries)>,
    pub owner: RunOwner,
    pub appends: usize,
}

impl Cluster {
    pub fn open(budget: u64) -> (Self, Vec<OwnerEffect>) {
        let replicas: Vec<(Replica, Entries)> = (1..=3)
            .map(|node| (replica(node), Entries::default()))
            .collect();
        let identities = replicas.iter().map(|(replica, _)| replica.identity());
        let opening = opening(identities.collect(), budget);
        let settings = OwnerSettings::default();
        let (owner, effects) = RunOwner::open(RUN, OWNER, opening, settings, NOW);
        let mut cluster = Self {
            replicas,
            owner,
            appends: 0,
        };
        let effects = cluster.deliver(effects);
        (cluster, effects)
    }

    /// Replaces the owner by another node, which takes the run over and handles `queued` events.
    pub fn take_over(&mut self, queued: Vec<OwnerEvent>) -> Vec<OwnerEffect> {
        let contacts = [NodeId(1), NodeId(2), NodeId(3)];
        let settings = OwnerSettings::default();
        let (owner, mut effects) =
            RunOwner::take_over(RUN, OTHER_OWNER, 5, Ballot::ZERO, &contacts, settings, NOW);
        self.owner = owner;
        for event in queued {
            effects.extend(self.owner.handle(event, NOW));
        }
        self.deliver(effects)
    }

    pub fn send_event(&mut self, event: OwnerEvent) -> Vec<OwnerEffect> {
        self.send_event_at(event, NOW)
    }

    pub fn send_event_at(&mut self, event: OwnerEvent, now: MonotonicTime) -> Vec<OwnerEffect> {
        let effects = self.owner.handle(event, now);
        self.deliver(effects)
    }

    /// Delivers requests to the replicas and their replies to the owner; returns all other effects.
    fn deliver(&mut self, effects: Vec<OwnerEffect>) -> Vec<OwnerEffect> {
        let mut rest = Vec::new();
        let mut queue = std::collections::VecDeque::from(effects);
        while let Some(effect) = queue.pop_front() {
            let OwnerEffect::SendToReplica { to, request } = effect else {
                rest.push(effect);
                continue;
            };
            let with_entries =
                matches!(&request, Request::Append { entries, .. } if !entries.is_empty());
            self.appends += usize::from(with_entries);
            let (replica, entries) = &mut self.replicas[to.0 as usize - 1];
            let ready = replica.handle(OWNER, request, NOW, entries);
            entries.apply(ready.writes);
            replica.flushed(ready.write_number);
            for (_, reply) in ready.replies_after_flush {
                queue.extend(
                    self.owner
                        .handle(OwnerEvent::Reply { from: to, reply }, NOW),
                );
            }
        }
        rest
    }
}
