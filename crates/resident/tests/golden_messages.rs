//! The forms of messages, kept as files: those of the first protocol version were written by it, those of frames by the version
//! that began them (`docs/design/versions.md`).
//!
//! A field more in any of these types made the bytes unreadable to nodes of another version, or worse, readable as something else.

#[path = "support/samples.rs"]
mod samples;

use std::fs;
use std::path::PathBuf;

use ridgeworks_records::GroupId;
use ridgeworks_resident::node::MemberRecord;
use ridgeworks_resident::peer::{
    Build, Datagram, Envelope, ExtensionReply, ExtensionRequest, GrantReply, GrantRequest,
    PeerReply, PeerRequest, ViewUpdate, decode, encode, unframe,
};
use ridgeworks_routing::{Residency, WarmUpLimit};
use rkyv::rancor::Error;
use rkyv::util::AlignedVec;

/// Names a variable with which files that are missing are written; those that are there never are.
const WRITE_MISSING: &str = "RIDGEWORKS_WRITE_GOLDEN";
const NUMBER: u64 = 7;

fn path(version: u16, name: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    folder.join(format!("v{version}")).join(name)
}

fn golden(version: u16, name: &str) -> Vec<u8> {
    fs::read(path(version, name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn aligned(bytes: &[u8]) -> AlignedVec<16> {
    let mut aligned = AlignedVec::with_capacity(bytes.len());
    aligned.extend_from_slice(bytes);
    aligned
}

/// A message with the number of the protocol as its reader would find it.
trait Spoken {
    fn spoken(self, protocol: u16) -> Self;
}

impl Spoken for Datagram {
    fn spoken(mut self, protocol: u16) -> Self {
        if let Self::Heartbeat(heartbeat) = &mut self {
            heartbeat.protocol = protocol;
        }
        self
    }
}

impl Spoken for Envelope<PeerRequest> {
    fn spoken(self, _protocol: u16) -> Self {
        self
    }
}

impl Spoken for Envelope<PeerReply> {
    fn spoken(mut self, protocol: u16) -> Self {
        if let PeerReply::View(update) = &mut self.body {
            update.protocol = protocol;
        }
        self
    }
}

/// Checks one message of the first version: its file is read, its body is written byte by byte as there, and a node of that
/// version reads it from the whole frame. (A macro, since the bounds of rkyv would be longer than what it checks.)
macro_rules! check_first_version {
    ($type:ty, $name:expr, $message:expr) => {{
        let (name, message): (String, $type) = ($name, $message);
        let file = golden(0, &format!("{name}.bin"));
        let read: $type = decode(&file).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, message, "{name} as the first version wrote it");
        let bytes = encode(&message).expect("small");
        let frame = unframe(&bytes).expect("whole").expect("framed");
        assert_eq!(frame.body, file, "{name} as the first version writes it");
        let read = rkyv::from_bytes::<$type, Error>(&aligned(&bytes));
        assert_eq!(
            read.ok().as_ref(),
            Some(&message),
            "{name} read by the first version"
        );
        let read: $type = decode(&bytes).expect("a message");
        assert_eq!(read, message.spoken(1), "{name} read by this version");
    }};
}

fn enveloped<T>(body: T) -> Envelope<T> {
    let number = NUMBER;
    Envelope { number, body }
}

#[test]
fn requests_keep_the_form_of_the_first_version() {
    for request in samples::requests() {
        let name = format!("request-{}", samples::request_name(&request));
        check_first_version!(Envelope<PeerRequest>, name, enveloped(request));
    }
}

#[test]
fn replies_keep_the_form_of_the_first_version() {
    for reply in samples::replies() {
        let name = format!("reply-{}", samples::reply_name(&reply));
        check_first_version!(Envelope<PeerReply>, name, enveloped(reply));
    }
}

#[test]
fn datagrams_keep_the_form_of_the_first_version() {
    for datagram in samples::datagrams() {
        let name = format!("datagram-{}", samples::datagram_name(&datagram));
        check_first_version!(Datagram, name, datagram);
    }
}

#[test]
fn a_member_is_registered_as_the_first_version_does() {
    let member = MemberRecord {
        address: "10.1.2.3:7000".parse().expect("an address"),
        zone: "zone-a".to_owned(),
        is_replica: true,
    };
    let file = golden(0, "member.json");
    let read: MemberRecord = serde_json::from_slice(&file).expect("a member");
    assert_eq!(read, member);
    assert_eq!(serde_json::to_vec(&member).expect("small"), file);
}

/// Checks a message with sections against its whole frame.
macro_rules! check_frame {
    ($type:ty, $name:expr, $message:expr) => {{
        let (name, message): (&str, $type) = ($name, $message);
        let name = format!("{name}.bin");
        let bytes = encode(&message).expect("small");
        if std::env::var_os(WRITE_MISSING).is_some() && !path(1, &name).exists() {
            fs::write(path(1, &name), &bytes).expect("a file that is new");
        }
        let file = golden(1, &name);
        assert_eq!(bytes, file, "{name} as it is written");
        let read: $type = decode(&file).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, message.spoken(1), "{name} as it is read");
    }};
}

fn view(change: impl FnOnce(&mut ViewUpdate)) -> Envelope<PeerReply> {
    let mut update = ViewUpdate {
        configuration: Some(samples::configuration()),
        engines: Some(samples::engines()),
        groups: None,
        unconfirmed_ms: Some(120),
        engines_unconfirmed_ms: None,
        drains: None,
        protocol: 1,
        has_extras: true,
        has_warm_ups: true,
    };
    change(&mut update);
    enveloped(PeerReply::View(update))
}

#[test]
fn sections_keep_their_form() {
    let extended = view(|update| {
        let configuration = update.configuration.as_mut().expect("a configuration");
        let home = Residency::within(["north".to_owned(), "south".to_owned()]);
        configuration.routes[0].residency = home;
        let tenants = configuration.tenants.as_mut().expect("tenants");
        tenants[1].residency = Residency::within([]);
        configuration.services[0].warm_up = Some(WarmUpLimit {
            per_ks: 2_500,
            duration_ms: 40_000,
        });
    });
    check_frame!(Envelope<PeerReply>, "reply-view-extras", extended);
    let starting = view(|update| {
        let engines = update.engines.as_mut().expect("engines");
        engines.entries[0].engine.warm_up_ms = 12_000;
    });
    check_frame!(Envelope<PeerReply>, "reply-view-starts", starting);
}

#[test]
fn later_kinds_keep_their_form() {
    let asked = enveloped(PeerRequest::Extension(ExtensionRequest::FetchBuild));
    check_frame!(Envelope<PeerRequest>, "request-fetch-build", asked);
    let build = Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    };
    let told = enveloped(PeerReply::Extension(ExtensionReply::Build(build)));
    check_frame!(Envelope<PeerReply>, "reply-build", told);
    let grant = GrantRequest {
        group: GroupId(2),
        engine: "i-1".to_owned(),
        per_ks: 19_000,
        version: 9,
    };
    let asked = enveloped(PeerRequest::Extension(ExtensionRequest::Grant(grant)));
    check_frame!(Envelope<PeerRequest>, "request-grant", asked);
    for (name, reply) in [
        ("reply-grant-granted", GrantReply::Granted),
        (
            "reply-grant-exhausted",
            GrantReply::Exhausted {
                next_ms: 52,
                retry_ms: 260,
            },
        ),
        ("reply-grant-not-member", GrantReply::NotMember),
    ] {
        let told = enveloped(PeerReply::Extension(ExtensionReply::Grant(reply)));
        check_frame!(Envelope<PeerReply>, name, told);
    }
}
