//! Round trips of configuration objects through messages, and field errors of invalid messages.

use quickcheck::{Arbitrary, Gen, quickcheck};
use ridgeworks_api::FieldError;
use ridgeworks_api::connect;
use ridgeworks_api::conversion::{DomainObject, ObjectVersions, shares_from_messages};
use ridgeworks_api::v1::object::Specification;
use ridgeworks_api::v1::{self, FieldProblem, ObjectKind};
use ridgeworks_domain::objects::{
    Backend, Partner, PoolSplit, PriorityClass, Program, Service, Share,
};
use ridgeworks_domain::{Cost, PartnerName, ServiceKind};

const JSON: &str = "application/json";

#[derive(Debug, Clone)]
struct AnyObject(DomainObject);

fn name<T: std::str::FromStr>(generator: &mut Gen) -> T {
    let letters: Vec<char> = "abcXYZ019._:-".chars().collect();
    let length = usize::arbitrary(generator) % 20 + 1;
    let text: String = (0..length)
        .map(|_| *generator.choose(&letters).expect("is not empty"))
        .collect();
    text.parse().ok().expect("holds allowed characters only")
}

fn shares(generator: &mut Gen) -> Vec<Share> {
    let first = u16::arbitrary(generator) % 1001;
    let parts = [("north", first), ("south", 1000 - first)];
    parts
        .map(|(partner, permille)| Share {
            partner: PartnerName::new(partner).expect("is allowed"),
            permille,
        })
        .to_vec()
}

fn service_kind(generator: &mut Gen) -> ServiceKind {
    let kinds = [ServiceKind::Model, ServiceKind::Tool, ServiceKind::Notice];
    *generator.choose(&kinds).expect("is not empty")
}

impl Arbitrary for AnyObject {
    fn arbitrary(generator: &mut Gen) -> Self {
        let object = match u8::arbitrary(generator) % 6 {
            0 => DomainObject::Partner(Partner {
                name: name(generator),
                token_sha256: format!("{:064x}", u128::arbitrary(generator)),
                latency_weight: u8::arbitrary(generator) % 101,
            }),
            1 => DomainObject::PriorityClass(PriorityClass {
                name: name(generator),
                partner: name(generator),
                urgent: bool::arbitrary(generator),
                rank: u8::arbitrary(generator),
            }),
            2 => DomainObject::Service(Service {
                name: name(generator),
                partner: name(generator),
                kind: service_kind(generator),
                price: Cost(u64::arbitrary(generator)),
                attempt_timeout_ms: u64::arbitrary(generator).max(1),
                max_attempts: u32::arbitrary(generator).max(1),
            }),
            3 => DomainObject::Program(Program {
                name: name(generator),
                partner: name(generator),
                class: name(generator),
                services: (0..3).map(|_| name(generator)).collect(),
                budget: Cost(u64::arbitrary(generator)),
                max_calls: u64::arbitrary(generator).max(1),
            }),
            4 => DomainObject::PoolSplit(PoolSplit {
                shares: shares(generator),
                proposed: bool::arbitrary(generator).then(|| shares(generator)),
                consents: vec![name(generator)],
            }),
            _ => DomainObject::Backend(Backend {
                name: name(generator),
                service: name(generator),
                address: std::net::SocketAddr::arbitrary(generator),
                zone: name(generator),
                slots: u32::arbitrary(generator).max(1),
            }),
        };
        Self(object)
    }
}

fn owner_of(object: &DomainObject) -> PartnerName {
    let nobody = || PartnerName::new("nobody").expect("is allowed");
    object.partner().cloned().unwrap_or_else(nobody)
}

/// Clears the IPv6 flow label of an address, which its text form does not contain.
fn without_flow_label(object: DomainObject) -> DomainObject {
    match object {
        DomainObject::Backend(mut backend) => {
            if let std::net::SocketAddr::V6(address) = &mut backend.address {
                address.set_flowinfo(0);
            }
            DomainObject::Backend(backend)
        }
        other => other,
    }
}

quickcheck! {
    fn objects_round_trip_through_json(object: AnyObject, version: u64, revision: u64) -> bool {
        let object = without_flow_label(object.0);
        let versions = ObjectVersions { version, revision };
        let message = object.to_message(versions, &owner_of(&object));
        let body = connect::encode_response(JSON, &message).expect("encodes").body;
        let read: v1::Object = connect::decode_request(JSON, &body).expect("decodes");
        read == message && DomainObject::from_message(&read) == Ok(object)
    }

    fn converting_an_invalid_split_returns_an_error(name: String, partner: String, permille: u32) -> bool {
        let metadata = v1::Metadata { name, partner: partner.clone(), ..v1::Metadata::default() };
        let shares = vec![v1::Share { partner, permille }];
        let split = v1::PoolSplit { shares, ..v1::PoolSplit::default() };
        let object = v1::Object {
            metadata: Some(metadata),
            specification: Some(Specification::PoolSplit(split)),
        };
        DomainObject::from_message(&object).is_err()
    }
}

fn partner_object() -> DomainObject {
    DomainObject::Partner(Partner {
        name: PartnerName::new("north").unwrap(),
        token_sha256: "0a".repeat(32),
        latency_weight: 100,
    })
}

#[test]
fn a_token_hash_is_included_only_for_its_own_partner() {
    let object = partner_object();
    let own = object.to_message(ObjectVersions::default(), &owner_of(&object));
    let other = object.to_message(
        ObjectVersions::default(),
        &PartnerName::new("south").unwrap(),
    );
    let hash = |message: v1::Object| match message.specification {
        Some(Specification::Partner(partner)) => partner.token_sha256,
        _ => panic!("is a partner"),
    };
    assert!(hash(own).is_some());
    assert_eq!(hash(other), None);
}

/// Applies a change to the message of a partner and converts the message back.
fn read_changed(
    change: impl FnOnce(&mut v1::Metadata, &mut v1::Partner),
) -> Result<DomainObject, FieldError> {
    let object = partner_object();
    let mut message = object.to_message(ObjectVersions::default(), &owner_of(&object));
    let metadata = message.metadata.as_mut().unwrap();
    match message.specification.as_mut() {
        Some(Specification::Partner(partner)) => change(metadata, partner),
        _ => panic!("is a partner"),
    }
    DomainObject::from_message(&message)
}

#[test]
fn an_invalid_field_is_reported_with_its_path_and_problem() {
    let error = |field, problem| Err(FieldError::new(field, problem));
    assert_eq!(read_changed(|_, _| ()), Ok(partner_object()));
    assert_eq!(
        read_changed(|metadata, _| metadata.name.clear()),
        error("object.metadata.name", FieldProblem::Missing)
    );
    assert_eq!(
        read_changed(|metadata, _| metadata.name = "a b".to_owned()),
        error("object.metadata.name", FieldProblem::Malformed)
    );
    assert_eq!(
        read_changed(|metadata, _| metadata.name = "a".repeat(129)),
        error("object.metadata.name", FieldProblem::OutOfRange)
    );
    assert_eq!(
        read_changed(|metadata, _| metadata.partner = "south".to_owned()),
        error("object.metadata.partner", FieldProblem::Contradictory)
    );
    assert_eq!(
        read_changed(|metadata, _| metadata.set_kind(ObjectKind::Program)),
        error("object.metadata.kind", FieldProblem::Contradictory)
    );
    assert_eq!(
        read_changed(|_, partner| partner.token_sha256 = None),
        error("object.partner.token_sha256", FieldProblem::Missing)
    );
    assert_eq!(
        read_changed(|_, partner| partner.token_sha256 = Some("0A".repeat(32))),
        error("object.partner.token_sha256", FieldProblem::Malformed)
    );
    for weight in [101, 256 + 50] {
        assert_eq!(
            read_changed(|_, partner| partner.latency_weight = weight),
            error("object.partner.latency_weight", FieldProblem::OutOfRange)
        );
    }
}

#[test]
fn shares_must_sum_to_the_whole_pool_with_each_partner_once() {
    let read = |parts: &[(&str, u32)]| {
        let shares: Vec<v1::Share> = parts
            .iter()
            .map(|(partner, permille)| v1::Share {
                partner: (*partner).to_owned(),
                permille: *permille,
            })
            .collect();
        shares_from_messages("shares", &shares).map_err(|error| error.problem)
    };
    assert!(read(&[("north", 400), ("south", 600)]).is_ok());
    assert_eq!(read(&[]), Err(FieldProblem::OutOfRange));
    assert_eq!(
        read(&[("north", 400), ("south", 601)]),
        Err(FieldProblem::OutOfRange)
    );
    assert_eq!(
        read(&[("north", 500), ("north", 500)]),
        Err(FieldProblem::Contradictory)
    );
    assert_eq!(
        read(&[("north", u32::MAX), ("south", 1001)]),
        Err(FieldProblem::OutOfRange)
    );
}
