//! Changes: validation, ownership, conflicts, and the pool split by proposal and consent.

#[path = "simulator/scenario.rs"]
mod scenario;

use quickcheck::{QuickCheck, TestResult};
use ridgeworks_configuration::change::apply_change;
use ridgeworks_configuration::update::{MAX_RECORDED_OPERATIONS, Update};
use ridgeworks_configuration::validation::{Allowed, Field, refers_to};
use ridgeworks_configuration::{
    Change, ChangeError, ChangeRequest, ConfigurationObject, ConfigurationSet, ObjectKey,
    ObjectKind, ObjectVersion, OperationId, Principal, Revision,
};
use ridgeworks_domain::objects::{Backend, PriorityClass, Program, Share};
use ridgeworks_domain::{BackendName, ClassName, Cost, ProgramName, ServiceName, ZoneName};
use scenario::{
    initial_configuration, partner, partner_name, principal, put, registers, service, shares,
};

const SPLIT_VERSION: u64 = 5;

fn request(operation: u128, principal: Principal, change: Change) -> ChangeRequest {
    let operation = OperationId(operation);
    ChangeRequest {
        operation,
        principal,
        change,
    }
}

fn apply(
    set: &ConfigurationSet,
    by: usize,
    change: Change,
) -> Result<ConfigurationSet, ChangeError> {
    let operation = 1000 + u128::from(set.revision().0);
    apply_change(set, &request(operation, principal(by), change))
}

fn class(name: &str, owner: usize) -> ConfigurationObject {
    ConfigurationObject::PriorityClass(PriorityClass {
        name: ClassName::new(name).expect("a valid name"),
        partner: partner_name(owner),
        urgent: false,
        rank: 1,
    })
}

fn program(owner: usize, class: &str, services: &[&str]) -> Program {
    let service = |name: &&str| ServiceName::new(*name).expect("a valid name");
    Program {
        name: ProgramName::new("program").expect("a valid name"),
        partner: partner_name(owner),
        class: ClassName::new(class).expect("a valid name"),
        services: services.iter().map(service).collect(),
        budget: Cost(100),
        max_calls: 10,
    }
}

fn backend(service: &str, address: &str, slots: u32) -> ConfigurationObject {
    ConfigurationObject::Backend(Backend {
        name: BackendName::new("backend").expect("a valid name"),
        service: ServiceName::new(service).expect("a valid name"),
        address: address.parse().expect("a socket address"),
        zone: ZoneName::new("zone").expect("a valid name"),
        slots,
    })
}

fn invalid_field(result: Result<ConfigurationSet, ChangeError>) -> (Field, Allowed) {
    match result {
        Err(ChangeError::Invalid(invalid)) => (invalid.field, invalid.allowed),
        other => panic!("expected an invalid field, not {other:?}"),
    }
}

fn propose(first_permille: u16, expected: u64) -> Change {
    let shares = shares(first_permille);
    let expected = ObjectVersion(expected);
    Change::Propose { shares, expected }
}

fn consent(expected: u64) -> Change {
    let expected = ObjectVersion(expected);
    Change::Consent { expected }
}

#[test]
fn stale_version_is_a_conflict_with_the_current_one() {
    let set = initial_configuration();
    let next = apply(&set, 0, put(service(0, 7), 3)).expect("the current version");
    let current = ObjectVersion(next.revision().0);
    let late = apply(&next, 0, put(service(0, 8), 3));
    assert_eq!(late, Err(ChangeError::Conflict { current }));
    let create = apply(&next, 0, put(service(0, 8), 0));
    assert_eq!(create, Err(ChangeError::Conflict { current }));
}

#[test]
fn partners_cannot_touch_each_others_objects() {
    let set = initial_configuration();
    let [own, other, split] = registers();
    let forbidden = |key: &ObjectKey| Err(ChangeError::Forbidden { key: key.clone() });
    assert_eq!(apply(&set, 1, put(service(0, 7), 3)), forbidden(&own));
    let expected = ObjectVersion(4);
    let delete = Change::Delete {
        key: other.clone(),
        expected,
    };
    assert_eq!(apply(&set, 0, delete), forbidden(&other));
    let stolen = match service(0, 7) {
        ConfigurationObject::Service(mut service) => {
            service.partner = partner_name(1);
            ConfigurationObject::Service(service)
        }
        _ => unreachable!("a service"),
    };
    assert_eq!(apply(&set, 0, put(stolen.clone(), 3)), forbidden(&own));
    assert_eq!(apply(&set, 1, put(stolen, 3)), forbidden(&own));
    let direct = set.object(&split).expect("the split").clone();
    assert_eq!(
        apply(&set, 0, put(direct, SPLIT_VERSION)),
        forbidden(&split)
    );
    let expected = ObjectVersion(SPLIT_VERSION);
    let delete = Change::Delete {
        key: split.clone(),
        expected,
    };
    assert_eq!(apply(&set, 0, delete), forbidden(&split));
    let foreign = partner(1);
    assert_eq!(
        apply(&set, 0, put(foreign.clone(), 2)),
        forbidden(&foreign.key())
    );
    assert!(apply(&set, 1, put(foreign, 2)).is_ok());
}

#[test]
fn bootstrap_creates_only_partners_and_the_first_split() {
    let set = initial_configuration();
    let third = partner(0);
    let again = request(99, Principal::Bootstrap, put(third, 1));
    assert!(matches!(
        apply_change(&set, &again),
        Err(ChangeError::Forbidden { .. })
    ));
    let class = request(99, Principal::Bootstrap, put(class("class", 0), 0));
    assert!(matches!(
        apply_change(&set, &class),
        Err(ChangeError::Forbidden { .. })
    ));
}

#[test]
fn pool_split_changes_by_consent_of_all() {
    let set = initial_configuration();
    let proposed = apply(&set, 0, propose(300, SPLIT_VERSION)).expect("a proposal");
    let split = proposed.pool_split().expect("a split");
    assert_eq!(
        (split.shares.clone(), split.proposed.clone()),
        (shares(500), Some(shares(300)))
    );
    let agreed = apply(&proposed, 1, consent(6)).expect("a consent");
    let split = agreed.pool_split().expect("a split");
    assert_eq!(
        (split.shares.clone(), split.proposed.clone()),
        (shares(300), None)
    );
    assert_eq!(apply(&agreed, 1, consent(7)), Err(ChangeError::NoProposal));
}

#[test]
fn consent_of_the_proposer_alone_is_not_enough() {
    let set = initial_configuration();
    let proposed = apply(&set, 0, propose(300, SPLIT_VERSION)).expect("a proposal");
    let again = apply(&proposed, 0, consent(6)).expect("a consent");
    assert_eq!(again.pool_split().expect("a split").shares, shares(500));
    let whole = vec![Share {
        partner: partner_name(0),
        permille: 1000,
    }];
    let expected = ObjectVersion(SPLIT_VERSION);
    let alone = apply(
        &set,
        0,
        Change::Propose {
            shares: whole,
            expected,
        },
    )
    .expect("a proposal");
    assert_eq!(alone.pool_split().expect("a split").shares, shares(500));
}

#[test]
fn consent_to_an_outdated_proposal_conflicts() {
    let set = initial_configuration();
    let proposed = apply(&set, 0, propose(300, SPLIT_VERSION)).expect("a proposal");
    let other = apply(&proposed, 0, propose(900, 6)).expect("another proposal");
    let current = ObjectVersion(7);
    assert_eq!(
        apply(&other, 1, consent(6)),
        Err(ChangeError::Conflict { current })
    );
}

#[test]
fn shares_must_sum_to_the_whole() {
    fn property(first: u16, second: u16) -> TestResult {
        let (first, second) = (first % 1200, second % 1200);
        let share = |index, permille| Share {
            partner: partner_name(index),
            permille,
        };
        let shares = vec![share(0, first), share(1, second)];
        let expected = ObjectVersion(SPLIT_VERSION);
        let change = Change::Propose { shares, expected };
        let result = apply(&initial_configuration(), 0, change);
        if first + second == 1000 {
            return TestResult::from_bool(result.is_ok());
        }
        TestResult::from_bool(invalid_field(result) == (Field::Shares, Allowed::Sum(1000)))
    }
    QuickCheck::new().quickcheck(property as fn(u16, u16) -> TestResult);
    let twice = vec![
        Share {
            partner: partner_name(0),
            permille: 500,
        },
        Share {
            partner: partner_name(0),
            permille: 500,
        },
    ];
    let expected = ObjectVersion(SPLIT_VERSION);
    let change = Change::Propose {
        shares: twice,
        expected,
    };
    let result = apply(&initial_configuration(), 0, change);
    assert_eq!(invalid_field(result), (Field::Shares, Allowed::Unique));
}

#[test]
fn token_hash_is_64_lower_case_digits_and_unique() {
    for hash in ["", "abc", &"A".repeat(64), &"g".repeat(64), &"0".repeat(65)] {
        let ConfigurationObject::Partner(mut changed) = partner(0) else {
            unreachable!("a partner")
        };
        changed.token_sha256 = hash.to_owned();
        let change = put(ConfigurationObject::Partner(changed), 1);
        let result = apply(&initial_configuration(), 0, change);
        let allowed = Allowed::LowerHexadecimal { digits: 64 };
        assert_eq!(
            invalid_field(result),
            (Field::TokenSha256, allowed),
            "{hash:?}"
        );
    }
    let ConfigurationObject::Partner(mut changed) = partner(0) else {
        unreachable!("a partner")
    };
    changed.token_sha256 = "1".repeat(64);
    let change = put(ConfigurationObject::Partner(changed), 1);
    let result = apply(&initial_configuration(), 0, change);
    assert_eq!(invalid_field(result), (Field::TokenSha256, Allowed::Unique));
}

#[test]
fn partner_is_found_by_its_token_hash() {
    let set = initial_configuration();
    let found = set.partner_by_token_hash(&"1".repeat(64));
    assert_eq!(found.map(|partner| &partner.name), Some(&partner_name(1)));
    assert_eq!(set.partner_by_token_hash(""), None);
}

#[test]
fn out_of_range_fields_are_invalid() {
    let set = initial_configuration();
    let price = apply(&set, 0, put(service(0, u64::MAX), 3));
    assert_eq!(invalid_field(price).0, Field::Price);
    for (timeout, attempts, field) in [
        (0, 1, Field::AttemptTimeoutMs),
        (3_600_001, 1, Field::AttemptTimeoutMs),
        (1, 0, Field::MaxAttempts),
    ] {
        let ConfigurationObject::Service(mut changed) = service(0, 1) else {
            unreachable!("a service")
        };
        changed.attempt_timeout_ms = timeout;
        changed.max_attempts = attempts;
        let change = put(ConfigurationObject::Service(changed), 3);
        assert_eq!(invalid_field(apply(&set, 0, change)).0, field);
    }
    let service = "service-first";
    for (address, slots, field) in [
        ("0.0.0.0:80", 1, Field::Address),
        ("10.0.0.1:0", 1, Field::Address),
        ("10.0.0.1:80", 0, Field::Slots),
    ] {
        let change = put(backend(service, address, slots), 0);
        assert_eq!(invalid_field(apply(&set, 0, change)).0, field);
    }
    assert!(apply(&set, 0, put(backend(service, "10.0.0.1:80", 4), 0)).is_ok());
}

#[test]
fn references_must_exist_and_prevent_deletion() {
    let set = initial_configuration();
    let missing = program(0, "class", &["service-first"]);
    let change = put(ConfigurationObject::Program(missing), 0);
    let allowed = Allowed::Existing(ObjectKind::PriorityClass);
    assert_eq!(
        invalid_field(apply(&set, 0, change)),
        (Field::Class, allowed)
    );
    let set = apply(&set, 0, put(class("class", 0), 0)).expect("a class");
    let set = apply(&set, 1, put(class("foreign", 1), 0)).expect("a class");
    let foreign = program(0, "foreign", &["service-first"]);
    let change = put(ConfigurationObject::Program(foreign), 0);
    let allowed = Allowed::SameOwner(ObjectKind::PriorityClass);
    assert_eq!(
        invalid_field(apply(&set, 0, change)),
        (Field::Class, allowed)
    );
    for services in [&["none"][..], &[], &["service-first", "service-first"]] {
        let change = put(
            ConfigurationObject::Program(program(0, "class", services)),
            0,
        );
        assert_eq!(invalid_field(apply(&set, 0, change)).0, Field::Service);
    }
    let valid = program(0, "class", &["service-first", "service-second"]);
    let change = put(ConfigurationObject::Program(valid), 0);
    let set = apply(&set, 0, change).expect("a program");
    for key in [
        registers()[0].clone(),
        ObjectKey::new(ObjectKind::PriorityClass, "class"),
    ] {
        let expected = set.version(&key);
        let delete = Change::Delete {
            key: key.clone(),
            expected,
        };
        let by = ObjectKey::new(ObjectKind::Program, "program");
        assert_eq!(
            apply(&set, 0, delete),
            Err(ChangeError::Referenced { key, by })
        );
    }
}

/// Derives a change, allowed or not, from random numbers.
fn arbitrary_change(set: &ConfigurationSet, choice: u8, number: u16) -> (usize, Change) {
    let by = usize::from(number) % 2;
    let object = match choice % 8 {
        0 => class("class", by),
        1 => ConfigurationObject::Program(program(by, "class", &["service-first"])),
        2 => backend("service-second", "10.0.0.1:80", u32::from(number % 9)),
        3 => service(by, u64::from(number)),
        4 => partner(by),
        5 => {
            return (
                by,
                propose(number % 1000, set.version(&ObjectKey::pool_split()).0),
            );
        }
        6 => return (by, consent(set.version(&ObjectKey::pool_split()).0)),
        _ => {
            let count = set.objects().count();
            let chosen = set.objects().nth(usize::from(number) % count);
            let chosen = chosen.expect("an object");
            let key = chosen.object.key();
            let expected = chosen.version;
            return (by, Change::Delete { key, expected });
        }
    };
    let expected = set.version(&object.key()).0;
    (by, put(object, expected))
}

/// Applies random changes and returns all resulting configurations.
fn chain(numbers: &[(u8, u16)]) -> Vec<ConfigurationSet> {
    let mut sets = vec![initial_configuration()];
    for (choice, number) in numbers {
        let set = sets.last().expect("a configuration");
        let (by, change) = arbitrary_change(set, *choice, *number);
        if let Ok(next) = apply(set, by, change) {
            sets.push(next);
        }
    }
    sets
}

#[test]
fn references_never_dangle_after_random_changes() {
    fn property(numbers: Vec<(u8, u16)>) -> bool {
        let sets = chain(&numbers);
        let set = sets.last().expect("a configuration");
        let present = |key: ObjectKey| set.object(&key).is_some();
        let class = ObjectKey::new(ObjectKind::PriorityClass, "class");
        let mut keys = registers().to_vec();
        keys.extend([class, partner(0).key(), partner(1).key()]);
        keys.into_iter().all(|key| {
            let referenced = set.objects().any(|other| refers_to(&other.object, &key));
            !referenced || present(key)
        })
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u16)>) -> bool);
}

#[test]
fn deltas_and_documents_result_in_the_same_configuration() {
    fn property(numbers: Vec<(u8, u16)>, from: usize, on: usize) -> bool {
        let sets = chain(&numbers);
        let newest = sets.last().expect("a configuration");
        let base = from % sets.len();
        let holder = &sets[base + on % (sets.len() - base)];
        let whole = Update::from_document(&newest.snapshot().to_document()).expect("a document");
        let same = &ConfigurationSet::from_snapshot(&whole) == newest;
        let update = newest.update_since(sets[base].revision());
        let led = match update {
            Some(update) if holder.revision() < newest.revision() => {
                holder.apply(&update).as_ref() == Ok(newest)
            }
            update => update.is_none() || holder.revision() == newest.revision(),
        };
        same && led
    }
    QuickCheck::new()
        .tests(300)
        .quickcheck(property as fn(Vec<(u8, u16)>, usize, usize) -> bool);
}

#[test]
fn operations_are_recorded_up_to_the_bound() {
    let mut set = initial_configuration();
    let [key, ..] = registers();
    let first = apply(&set, 0, put(service(0, 1), 3)).expect("a change");
    let operation = OperationId(1000 + u128::from(set.revision().0));
    set = first.clone();
    for _ in 1..MAX_RECORDED_OPERATIONS {
        set = apply(&set, 0, put(service(0, 1), set.version(&key).0)).expect("a change");
    }
    assert_eq!(
        set.operation(operation).map(|record| record.revision),
        Some(first.revision())
    );
    assert!(
        set.update_since(first.revision())
            .expect("newer")
            .base
            .is_some()
    );
    set = apply(&set, 0, put(service(0, 1), set.version(&key).0)).expect("a change");
    assert_eq!(set.operation(operation), None);
    assert!(!set.has_operations_since(Revision(5)));
    assert!(set.update_since(Revision(5)).expect("newer").base.is_none());
}
