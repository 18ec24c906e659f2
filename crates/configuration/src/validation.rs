//! Validation of objects: ranges of fields, and references that must exist.

use std::ops::RangeInclusive;

use ridgeworks_domain::objects::{Backend, Partner, PoolSplit, PriorityClass, Program};
use ridgeworks_domain::objects::{Service, Share};

use crate::change::ChangeError;
use crate::object::{ConfigurationObject, ObjectKey, ObjectKind};
use crate::set::ConfigurationSet;

/// Number of hexadecimal digits of a SHA-256 hash.
pub const TOKEN_HASH_DIGITS: usize = 64;
/// Sum of all shares of the pool, in thousandths.
pub const SHARE_SUM_PERMILLE: u64 = 1000;
/// Range of [`Partner::latency_weight`].
pub const LATENCY_WEIGHTS: RangeInclusive<u64> = 0..=100;
/// Range of [`Service::price`], in the budget's unit.
pub const PRICES: RangeInclusive<u64> = 0..=1_000_000_000;
/// Range of [`Service::attempt_timeout_ms`]: up to an hour.
pub const ATTEMPT_TIMEOUTS_MS: RangeInclusive<u64> = 1..=3_600_000;
/// Range of [`Service::max_attempts`].
pub const ATTEMPTS: RangeInclusive<u64> = 1..=100;
/// Range of [`Program::budget`], in the budget's unit.
pub const BUDGETS: RangeInclusive<u64> = 1..=1_000_000_000_000;
/// Range of [`Program::max_calls`].
pub const CALLS: RangeInclusive<u64> = 1..=10_000_000;
/// Range of the number of services of a program.
pub const PROGRAM_SERVICES: RangeInclusive<u64> = 1..=256;
/// Range of [`Backend::slots`].
pub const SLOTS: RangeInclusive<u64> = 1..=65_536;
/// Range of the port of a back end.
pub const PORTS: RangeInclusive<u64> = 1..=65_535;

/// A field of a configuration object.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Field {
    /// [`Partner::token_sha256`].
    TokenSha256,
    /// [`Partner::latency_weight`].
    LatencyWeight,
    /// The owner of an object.
    Partner,
    /// [`Service::price`].
    Price,
    /// [`Service::attempt_timeout_ms`].
    AttemptTimeoutMs,
    /// [`Service::max_attempts`].
    MaxAttempts,
    /// [`Program::class`].
    Class,
    /// [`Program::services`] or [`Backend::service`].
    Service,
    /// [`Program::budget`].
    Budget,
    /// [`Program::max_calls`].
    MaxCalls,
    /// [`PoolSplit::shares`] or [`PoolSplit::proposed`].
    Shares,
    /// [`Backend::address`].
    Address,
    /// [`Backend::slots`].
    Slots,
}

/// The values that a field allows.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Allowed {
    /// A number in this range.
    Range(RangeInclusive<u64>),
    /// This many lower-case hexadecimal digits.
    LowerHexadecimal {
        /// Number of digits.
        digits: usize,
    },
    /// The name of an existing object of this kind.
    Existing(ObjectKind),
    /// The name of an object of this kind that has the same owner.
    SameOwner(ObjectKind),
    /// A value that must not occur twice.
    Unique,
    /// Numbers with this sum.
    Sum(u64),
    /// The IP address of a single host.
    HostAddress,
}

/// A field with a value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InvalidObject {
    /// Key of the object.
    pub key: ObjectKey,
    /// The field.
    pub field: Field,
    /// Its value as text.
    pub value: String,
    /// The values that the field allows.
    pub allowed: Allowed,
}

type Checked = Result<(), InvalidObject>;

/// Context for the checks of one object.
struct Check<'a> {
    set: &'a ConfigurationSet,
    key: ObjectKey,
}

/// Checks the fields of an object, and that all objects it refers to exist in `set`.
pub fn validate(set: &ConfigurationSet, object: &ConfigurationObject) -> Checked {
    let key = object.key();
    let check = Check { set, key };
    match object {
        ConfigurationObject::Partner(partner) => check.partner(partner),
        ConfigurationObject::PriorityClass(class) => check.class(class),
        ConfigurationObject::Service(service) => check.service(service),
        ConfigurationObject::Program(program) => check.program(program),
        ConfigurationObject::PoolSplit(split) => check.split(split),
        ConfigurationObject::Backend(backend) => check.backend(backend),
    }
}

/// Checks that no object refers to the one at `key`.
pub(crate) fn check_unreferenced(
    set: &ConfigurationSet,
    key: &ObjectKey,
) -> Result<(), ChangeError> {
    let mut objects = set.objects();
    match objects.find(|versioned| refers_to(&versioned.object, key)) {
        None => Ok(()),
        Some(versioned) => Err(ChangeError::Referenced {
            key: key.clone(),
            by: versioned.object.key(),
        }),
    }
}

/// Whether `object` refers to the object at `key`.
pub fn refers_to(object: &ConfigurationObject, key: &ObjectKey) -> bool {
    let name = key.name.as_str();
    match (key.kind, object) {
        (ObjectKind::Partner, ConfigurationObject::PriorityClass(class)) => {
            class.partner.as_str() == name
        }
        (ObjectKind::Partner, ConfigurationObject::Service(service)) => {
            service.partner.as_str() == name
        }
        (ObjectKind::Partner, ConfigurationObject::Program(program)) => {
            program.partner.as_str() == name
        }
        (ObjectKind::Partner, ConfigurationObject::PoolSplit(split)) => {
            let mut shares = split.shares.iter().chain(split.proposed.iter().flatten());
            shares.any(|share| share.partner.as_str() == name)
        }
        (ObjectKind::PriorityClass, ConfigurationObject::Program(program)) => {
            program.class.as_str() == name
        }
        (ObjectKind::Service, ConfigurationObject::Program(program)) => {
            let mut services = program.services.iter();
            services.any(|service| service.as_str() == name)
        }
        (ObjectKind::Service, ConfigurationObject::Backend(backend)) => {
            backend.service.as_str() == name
        }
        _ => false,
    }
}

impl Check<'_> {
    fn partner(&self, partner: &Partner) -> Checked {
        let digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        let hash = &partner.token_sha256;
        let digits = TOKEN_HASH_DIGITS;
        if hash.len() != digits || !hash.bytes().all(digit) {
            let allowed = Allowed::LowerHexadecimal { digits };
            return self.fail(Field::TokenSha256, hash, allowed);
        }
        let same_token =
            |other: &Partner| other.name != partner.name && other.token_sha256 == *hash;
        if self.set.partners().any(same_token) {
            return self.fail(Field::TokenSha256, hash, Allowed::Unique);
        }
        let weight = u64::from(partner.latency_weight);
        self.range(Field::LatencyWeight, weight, LATENCY_WEIGHTS)
    }

    fn class(&self, class: &PriorityClass) -> Checked {
        self.exists(Field::Partner, ObjectKind::Partner, class.partner.as_str())
    }

    fn service(&self, service: &Service) -> Checked {
        let partner = service.partner.as_str();
        self.exists(Field::Partner, ObjectKind::Partner, partner)?;
        self.range(Field::Price, service.price.0, PRICES)?;
        let timeout = service.attempt_timeout_ms;
        self.range(Field::AttemptTimeoutMs, timeout, ATTEMPT_TIMEOUTS_MS)?;
        let attempts = u64::from(service.max_attempts);
        self.range(Field::MaxAttempts, attempts, ATTEMPTS)
    }

    fn program(&self, program: &Program) -> Checked {
        let partner = program.partner.as_str();
        self.exists(Field::Partner, ObjectKind::Partner, partner)?;
        self.program_class(program)?;
        self.program_services(program)?;
        self.range(Field::Budget, program.budget.0, BUDGETS)?;
        self.range(Field::MaxCalls, program.max_calls, CALLS)
    }

    fn program_class(&self, program: &Program) -> Checked {
        let name = program.class.as_str();
        self.exists(Field::Class, ObjectKind::PriorityClass, name)?;
        let class = self.set.class(&program.class);
        if class.is_some_and(|class| class.partner == program.partner) {
            return Ok(());
        }
        let allowed = Allowed::SameOwner(ObjectKind::PriorityClass);
        self.fail(Field::Class, name, allowed)
    }

    fn program_services(&self, program: &Program) -> Checked {
        let services = &program.services;
        self.range(Field::Service, services.len() as u64, PROGRAM_SERVICES)?;
        for (index, service) in services.iter().enumerate() {
            self.exists(Field::Service, ObjectKind::Service, service.as_str())?;
            if services[..index].contains(service) {
                return self.fail(Field::Service, service.as_str(), Allowed::Unique);
            }
        }
        Ok(())
    }

    /// A split may have no shares while its first proposal is open.
    fn split(&self, split: &PoolSplit) -> Checked {
        if !split.shares.is_empty() || split.proposed.is_none() {
            self.shares(&split.shares)?;
        }
        split
            .proposed
            .iter()
            .try_for_each(|shares| self.shares(shares))
    }

    fn shares(&self, shares: &[Share]) -> Checked {
        for (index, share) in shares.iter().enumerate() {
            let partner = share.partner.as_str();
            self.exists(Field::Shares, ObjectKind::Partner, partner)?;
            let mut earlier = shares[..index].iter();
            if earlier.any(|earlier| earlier.partner == share.partner) {
                return self.fail(Field::Shares, partner, Allowed::Unique);
            }
        }
        let sum: u64 = shares.iter().map(|share| u64::from(share.permille)).sum();
        if sum == SHARE_SUM_PERMILLE {
            return Ok(());
        }
        let allowed = Allowed::Sum(SHARE_SUM_PERMILLE);
        self.fail(Field::Shares, &sum.to_string(), allowed)
    }

    fn backend(&self, backend: &Backend) -> Checked {
        let service = backend.service.as_str();
        self.exists(Field::Service, ObjectKind::Service, service)?;
        let ip = backend.address.ip();
        if ip.is_unspecified() || ip.is_multicast() {
            return self.fail(Field::Address, &ip.to_string(), Allowed::HostAddress);
        }
        let port = u64::from(backend.address.port());
        self.range(Field::Address, port, PORTS)?;
        self.range(Field::Slots, u64::from(backend.slots), SLOTS)
    }

    fn exists(&self, field: Field, kind: ObjectKind, name: &str) -> Checked {
        let referenced = ObjectKey::new(kind, name);
        if self.set.object(&referenced).is_some() {
            return Ok(());
        }
        self.fail(field, name, Allowed::Existing(kind))
    }

    fn range(&self, field: Field, value: u64, range: RangeInclusive<u64>) -> Checked {
        if range.contains(&value) {
            return Ok(());
        }
        self.fail(field, &value.to_string(), Allowed::Range(range))
    }

    fn fail(&self, field: Field, value: &str, allowed: Allowed) -> Checked {
        Err(InvalidObject {
            key: self.key.clone(),
            field,
            value: value.to_owned(),
            allowed,
        })
    }
}
