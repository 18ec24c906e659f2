//! The coordinator of changes on a node that is not a voter, with scripted answers of the platform and
//! the voters.

#[path = "simulator/scenario.rs"]
mod scenario;

use std::time::Duration;

use ridgeworks_configuration::change::apply_change;
use ridgeworks_configuration::message::KnownVersions;
use ridgeworks_configuration::settings::{
    PLATFORM_TIMEOUT, QUEUED_CHANGE_TIMEOUT, SENT_CHANGE_TIMEOUT,
};
use ridgeworks_configuration::update::MAX_RECORDED_OPERATIONS;
use ridgeworks_configuration::{
    Change, ChangeError, ChangeRequest, ConfigurationMessage, ConfigurationObject,
    ConfigurationRole, ConfigurationSet, ConfigurationSettings, Effect, Event, ObjectKey,
    ObjectKind, ObjectVersion, OperationId, OperatorAnswer, PlatformAnswer, PlatformOperation,
    PlatformVersion, RequestId, Revision, Ticket, Unavailable,
};
use ridgeworks_domain::objects::{PriorityClass, Program};
use ridgeworks_domain::{ClassName, Cost, MonotonicTime, NodeId, ProgramName, ServiceName};
use scenario::{initial_configuration, partner_name, principal, put, registers, service};

const VOTERS: [NodeId; 3] = [NodeId(1), NodeId(2), NodeId(3)];
const NO_DELAY: Duration = Duration::ZERO;

struct Driver {
    role: ConfigurationRole,
    now: MonotonicTime,
    /// Effects that the test has not consumed yet.
    effects: Vec<Effect>,
}

impl Driver {
    fn new() -> Self {
        let settings = ConfigurationSettings {
            node: NodeId(9),
            voters: VOTERS.to_vec(),
            seed: 1,
        };
        let now = MonotonicTime::from_micros(1);
        let role = ConfigurationRole::new(settings, None, now);
        Self {
            role,
            now,
            effects: Vec::new(),
        }
    }

    fn handle(&mut self, event: Event) {
        let effects = self.role.handle(self.now, event);
        self.effects.extend(effects);
    }

    fn tick_after(&mut self, delay: Duration) {
        self.now = self.now + delay;
        self.handle(Event::Tick);
    }

    fn change(&mut self, number: u64, change: Change) {
        let operation = OperationId(u128::from(number) + 100);
        let request = ChangeRequest {
            operation,
            principal: principal(0),
            change,
        };
        let ticket = Ticket(number);
        self.handle(Event::Change { ticket, request });
    }

    fn operations(&mut self) -> Vec<(RequestId, PlatformOperation)> {
        let mut found = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Platform { request, operation } => {
                found.push((*request, operation.clone()));
                false
            }
            _ => true,
        });
        found
    }

    fn only_operation(&mut self) -> (RequestId, PlatformOperation) {
        let mut operations = self.operations();
        assert_eq!(operations.len(), 1, "{operations:?}");
        operations.remove(0)
    }

    fn platform(&mut self, request: RequestId, answer: PlatformAnswer) {
        self.handle(Event::PlatformAnswer { request, answer });
    }

    /// Answers the read in flight with this document.
    fn answer_read(&mut self, version: u64, set: &ConfigurationSet) {
        let (request, operation) = self.only_operation();
        assert_eq!(operation, PlatformOperation::Read);
        self.platform(request, document(version, set));
    }

    /// Returns the compare-and-swap in flight: its request, expected version and document.
    fn pending_compare_and_swap(&mut self) -> (RequestId, u64, ConfigurationSet) {
        let (request, operation) = self.only_operation();
        let PlatformOperation::CompareAndSwap {
            expected, document, ..
        } = operation
        else {
            panic!("expected a swap, not {operation:?}");
        };
        let update = ridgeworks_configuration::update::Update::from_document(&document);
        let set = ConfigurationSet::from_snapshot(&update.expect("a document"));
        (request, expected.0, set)
    }

    fn complete_compare_and_swap(&mut self) -> ConfigurationSet {
        let (request, expected, set) = self.pending_compare_and_swap();
        let version = PlatformVersion(expected + 1);
        self.platform(request, PlatformAnswer::Swapped { version });
        set
    }

    /// Acknowledges a revision for the first `count` voters that it was sent to.
    fn acknowledge(&mut self, count: usize) {
        let effects = std::mem::take(&mut self.effects);
        let mut sent = Vec::new();
        for effect in effects {
            match effect {
                Effect::Send {
                    to,
                    message: ConfigurationMessage::Replicate { request, update },
                } => sent.push((to, request, update.revision)),
                other => self.effects.push(other),
            }
        }
        for (from, request, newest) in sent.into_iter().take(count) {
            let known = KnownVersions {
                newest,
                machines: 0,
            };
            let request = Some(request);
            let message = ConfigurationMessage::Stored { request, known };
            self.handle(Event::Message { from, message });
        }
    }

    fn answers(&mut self) -> Vec<(u64, OperatorAnswer)> {
        let mut found = Vec::new();
        self.effects.retain(|effect| match effect {
            Effect::Answer { ticket, answer } => {
                found.push((ticket.0, answer.clone()));
                false
            }
            _ => true,
        });
        found
    }
}

fn document(version: u64, set: &ConfigurationSet) -> PlatformAnswer {
    let version = PlatformVersion(version);
    let document = set.snapshot().to_document();
    PlatformAnswer::Document { version, document }
}

fn accepted(revision: u64) -> OperatorAnswer {
    let revision = Revision(revision);
    OperatorAnswer::Accepted { revision }
}

fn conflict(current: u64) -> OperatorAnswer {
    let current = ObjectVersion(current);
    OperatorAnswer::Rejected(ChangeError::Conflict { current })
}

/// Applies a change of the other partner's service to `set`.
fn overwritten(set: &ConfigurationSet, operation: u128) -> ConfigurationSet {
    let expected = set.version(&registers()[1]).0;
    let change = put(service(1, operation as u64), expected);
    let operation = OperationId(operation);
    let request = ChangeRequest {
        operation,
        principal: principal(1),
        change,
    };
    apply_change(set, &request).expect("a valid change")
}

#[test]
fn accepted_is_answered_only_after_a_majority_acknowledged() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    driver.complete_compare_and_swap();
    assert_eq!(driver.answers(), []);
    driver.acknowledge(1);
    assert_eq!(driver.answers(), []);
    driver.tick_after(Duration::from_millis(300));
    driver.acknowledge(1);
    assert_eq!(driver.answers(), [(1, accepted(6))]);
}

#[test]
fn rejection_is_answered_only_after_a_majority_acknowledged() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 2));
    driver.answer_read(1, &initial_configuration());
    assert_eq!(driver.answers(), []);
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(1, conflict(3))]);
}

/// A node that was paused may handle a change before the answer to an older read.
#[test]
fn change_is_not_rejected_by_a_read_sent_before_it_arrived() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 2));
    let (request, _) = driver.only_operation();
    driver.now = driver.now + Duration::from_millis(1);
    let newer = overwritten(&initial_configuration(), 50);
    let change = put(service(0, 9), 3);
    let operation = OperationId(51);
    let overwrite = ChangeRequest {
        operation,
        principal: principal(0),
        change,
    };
    let newer = apply_change(&newer, &overwrite).expect("a valid change");
    driver.change(2, put(service(0, 8), newer.revision().0));
    driver.platform(request, document(1, &initial_configuration()));
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(1, conflict(3))]);
    driver.answer_read(3, &newer);
    driver.complete_compare_and_swap();
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(2, accepted(8))]);
}

#[test]
fn lost_answer_is_resolved_after_a_later_write_by_another_coordinator() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    let (request, _, written) = driver.pending_compare_and_swap();
    driver.platform(request, PlatformAnswer::Lost);
    driver.tick_after(Duration::from_millis(300));
    driver.answer_read(3, &overwritten(&written, 60));
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(1, accepted(6))]);
}

#[test]
fn lost_write_that_never_arrived_is_applied_again() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    let (request, ..) = driver.pending_compare_and_swap();
    driver.platform(request, PlatformAnswer::Lost);
    driver.tick_after(Duration::from_millis(300));
    driver.answer_read(2, &overwritten(&initial_configuration(), 60));
    driver.complete_compare_and_swap();
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(1, accepted(7))]);
}

#[test]
fn the_same_document_is_sent_again_while_a_lost_write_may_still_arrive() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    let (_, _, first) = driver.pending_compare_and_swap();
    driver.tick_after(PLATFORM_TIMEOUT);
    driver.change(2, put(service(0, 8), 6));
    driver.answer_read(1, &initial_configuration());
    let (request, expected, second) = driver.pending_compare_and_swap();
    assert_eq!((expected, second), (1, first.clone()));
    driver.platform(request, PlatformAnswer::VersionMismatch);
    driver.answer_read(2, &first);
    driver.complete_compare_and_swap();
    driver.acknowledge(2);
    assert_eq!(driver.answers(), [(1, accepted(6)), (2, accepted(7))]);
}

#[test]
fn outcome_is_unknown_only_after_more_changes_than_are_recorded() {
    for (followers, answer) in [
        (MAX_RECORDED_OPERATIONS, accepted(6)),
        (MAX_RECORDED_OPERATIONS + 1, OperatorAnswer::Unknown),
    ] {
        let mut driver = Driver::new();
        driver.change(1, put(service(0, 7), 3));
        driver.answer_read(1, &initial_configuration());
        let (request, _, mut set) = driver.pending_compare_and_swap();
        driver.platform(request, PlatformAnswer::Lost);
        for number in 1..followers {
            set = overwritten(&set, 10_000 + number as u128);
        }
        driver.tick_after(Duration::from_millis(300));
        driver.answer_read(500, &set);
        driver.acknowledge(2);
        assert_eq!(driver.answers(), [(1, answer)]);
    }
}

#[test]
fn changes_are_refused_while_the_platform_is_down() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    let (request, _) = driver.only_operation();
    driver.platform(request, PlatformAnswer::Unavailable);
    driver.tick_after(QUEUED_CHANGE_TIMEOUT);
    let refused = OperatorAnswer::Refused(Unavailable::Platform);
    assert_eq!(driver.answers(), [(1, refused)]);
}

#[test]
fn change_is_unknown_when_the_platform_stays_down_after_a_lost_write() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    let (request, ..) = driver.pending_compare_and_swap();
    driver.platform(request, PlatformAnswer::Lost);
    driver.tick_after(QUEUED_CHANGE_TIMEOUT);
    assert_eq!(driver.answers(), []);
    driver.tick_after(SENT_CHANGE_TIMEOUT);
    assert_eq!(driver.answers(), [(1, OperatorAnswer::Unknown)]);
}

#[test]
fn without_a_majority_an_accepted_change_is_unknown_and_a_rejection_is_refused() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.change(2, put(service(0, 7), 2));
    driver.answer_read(1, &initial_configuration());
    driver.complete_compare_and_swap();
    driver.tick_after(SENT_CHANGE_TIMEOUT);
    let refused = OperatorAnswer::Refused(Unavailable::NoQuorum);
    assert_eq!(
        driver.answers(),
        [(1, OperatorAnswer::Unknown), (2, refused)]
    );
}

#[test]
fn change_is_refused_when_the_platform_document_is_older_than_an_accepted_revision() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    driver.complete_compare_and_swap();
    driver.acknowledge(2);
    driver.answers();
    driver.change(2, put(service(0, 8), 6));
    driver.answer_read(1, &initial_configuration());
    let refused = OperatorAnswer::Refused(Unavailable::PlatformBehind);
    assert_eq!(driver.answers(), [(2, refused)]);
}

#[test]
fn repeated_operation_is_answered_with_its_revision() {
    let mut driver = Driver::new();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(1, &initial_configuration());
    let written = driver.complete_compare_and_swap();
    driver.acknowledge(2);
    driver.answers();
    driver.change(1, put(service(0, 7), 3));
    driver.answer_read(2, &written);
    driver.acknowledge(2);
    driver.tick_after(NO_DELAY);
    assert_eq!(driver.answers(), [(1, accepted(6))]);
    assert_eq!(driver.operations(), []);
}

/// A change that is valid only because of another one in the same write must wait for the next
/// write: a second coordinator could reject it while the first write is in flight.
#[test]
fn change_that_depends_on_another_of_the_same_write_is_deferred() {
    let class = ConfigurationObject::PriorityClass(PriorityClass {
        name: ClassName::new("class").expect("a valid name"),
        partner: partner_name(0),
        urgent: true,
        rank: 0,
    });
    let program = ConfigurationObject::Program(Program {
        name: ProgramName::new("program").expect("a valid name"),
        partner: partner_name(0),
        class: ClassName::new("class").expect("a valid name"),
        services: vec![ServiceName::new("service-first").expect("a valid name")],
        budget: Cost(5),
        max_calls: 5,
    });
    let mut driver = Driver::new();
    driver.change(0, put(service(0, 7), 3));
    driver.change(1, put(class, 0));
    driver.change(2, put(program, 0));
    driver.answer_read(1, &initial_configuration());
    let first = driver.complete_compare_and_swap();
    let key = ObjectKey::new(ObjectKind::Program, "program");
    assert_eq!(first.object(&key), None);
    driver.answer_read(2, &first);
    assert!(driver.complete_compare_and_swap().object(&key).is_some());
    driver.acknowledge(6);
    assert_eq!(
        driver.answers(),
        [(0, accepted(6)), (1, accepted(7)), (2, accepted(8))]
    );
}
