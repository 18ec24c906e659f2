//! The initial configuration, and the objects that operators change concurrently.

#![allow(dead_code, reason = "each test binary uses its part of the scenario")]

use ridgeworks_configuration::change::apply_change;
use ridgeworks_configuration::{
    Change, ChangeRequest, ConfigurationObject, ConfigurationSet, ObjectKey, ObjectKind,
    ObjectVersion, OperationId, Principal,
};
use ridgeworks_domain::objects::{Partner, PoolSplit, Service, Share};
use ridgeworks_domain::{Cost, PartnerName, ServiceKind, ServiceName};

/// Versions of the registers, then the revision.
pub type RegisterState = [u64; 4];

pub const PARTNERS: [&str; 2] = ["first", "second"];
/// Versions of the registers after [`initial_configuration`], then its revision.
pub const INITIAL_STATE: RegisterState = [3, 4, 5, 5];

/// The objects that operators change: a service of each partner, and the pool split.
pub fn registers() -> [ObjectKey; 3] {
    let service = |partner| ObjectKey::new(ObjectKind::Service, service_name(partner));
    [service(0), service(1), ObjectKey::pool_split()]
}

fn service_name(partner: usize) -> String {
    format!("service-{}", PARTNERS[partner])
}

pub fn partner_name(partner: usize) -> PartnerName {
    PartnerName::new(PARTNERS[partner]).expect("a valid name")
}

pub fn principal(partner: usize) -> Principal {
    Principal::Partner(partner_name(partner))
}

pub fn partner(index: usize) -> ConfigurationObject {
    ConfigurationObject::Partner(Partner {
        name: partner_name(index),
        token_sha256: index.to_string().repeat(64),
        latency_weight: 50,
    })
}

pub fn service(partner: usize, price: u64) -> ConfigurationObject {
    ConfigurationObject::Service(Service {
        name: ServiceName::new(service_name(partner)).expect("a valid name"),
        partner: partner_name(partner),
        kind: ServiceKind::Tool,
        price: Cost(price),
        attempt_timeout_ms: 1000,
        max_attempts: 3,
    })
}

pub fn shares(first_permille: u16) -> Vec<Share> {
    let share = |partner, permille| Share {
        partner: partner_name(partner),
        permille,
    };
    vec![share(0, first_permille), share(1, 1000 - first_permille)]
}

pub fn put(object: ConfigurationObject, expected: u64) -> Change {
    let expected = ObjectVersion(expected);
    Change::Put { object, expected }
}

pub fn initial_configuration() -> ConfigurationSet {
    let split = ConfigurationObject::PoolSplit(PoolSplit {
        shares: shares(500),
        proposed: None,
        consents: Vec::new(),
    });
    let changes = [
        (Principal::Bootstrap, partner(0)),
        (Principal::Bootstrap, partner(1)),
        (principal(0), service(0, 1)),
        (principal(1), service(1, 1)),
        (Principal::Bootstrap, split),
    ];
    let mut set = ConfigurationSet::default();
    for (index, (principal, object)) in changes.into_iter().enumerate() {
        let request = ChangeRequest {
            operation: OperationId(index as u128 + 1),
            principal,
            change: put(object, 0),
        };
        set = apply_change(&set, &request).expect("a valid change");
    }
    set
}
