//! Encodings of messages against golden files. Those of protocol version 0 were written by that version, those of frames by the
//! version that introduced them (`docs/design/versions.md`).
//!
//! An added field in any of these types would make the bytes undecodable for nodes of another version, or decodable as something else.

#[path = "support/samples.rs"]
mod samples;

use std::fs;
use std::path::PathBuf;

use ridgeworks_records::{GroupId, LedgerEntry, ProgramId, ProgramLedger, RequestDigest, TurnId};
use ridgeworks_resident::node::MemberRecord;
use ridgeworks_resident::peer::{
    Build, Confirmations, Datagram, Envelope, ExtensionReply, ExtensionRequest, GrantReply,
    GrantRequest, PROTOCOL, PeerReply, PeerRequest, ViewUpdate, WitnessReply, WitnessRequest,
    decode, encode, unframe,
};
use ridgeworks_routing::{Residency, WarmUpLimit};
use rkyv::rancor::Error;
use rkyv::util::AlignedVec;

/// Environment variable that makes the tests write missing golden files. Existing ones are never overwritten.
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

/// Sets the sender's protocol version in a message, as decoding does.
trait WithProtocol {
    fn with_protocol(self, protocol: u16) -> Self;
}

impl WithProtocol for Datagram {
    fn with_protocol(mut self, protocol: u16) -> Self {
        if let Self::Heartbeat(heartbeat) = &mut self {
            heartbeat.protocol = protocol;
        }
        self
    }
}

impl WithProtocol for Envelope<PeerRequest> {
    fn with_protocol(self, _protocol: u16) -> Self {
        self
    }
}

impl WithProtocol for Envelope<PeerReply> {
    fn with_protocol(mut self, protocol: u16) -> Self {
        if let PeerReply::View(update) = &mut self.body {
            update.protocol = protocol;
        }
        self
    }
}

/// Checks one message of version 0: its golden file is decoded, its body is encoded to the same bytes, and a node of that
/// version decodes the whole frame. A macro, because a generic function would need long rkyv bounds.
macro_rules! check_version_0 {
    ($type:ty, $name:expr, $message:expr) => {{
        let (name, message): (String, $type) = ($name, $message);
        let file = golden(0, &format!("{name}.bin"));
        let read: $type = decode(&file).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, message, "{name} as version 0 encoded it");
        let bytes = encode(&message).expect("a message that can be encoded");
        let frame = unframe(&bytes).expect("a valid frame").expect("a frame");
        assert_eq!(frame.body, file, "{name} as version 0 encodes it");
        let read = rkyv::from_bytes::<$type, Error>(&aligned(&bytes));
        assert_eq!(
            read.ok().as_ref(),
            Some(&message),
            "{name} decoded by version 0"
        );
        let read: $type = decode(&bytes).expect("a message");
        assert_eq!(
            read,
            message.with_protocol(PROTOCOL),
            "{name} decoded by this version"
        );
    }};
}

fn envelope<T>(body: T) -> Envelope<T> {
    let number = NUMBER;
    Envelope { number, body }
}

#[test]
fn requests_keep_their_version_0_encoding() {
    for request in samples::requests() {
        let name = format!("request-{}", samples::request_name(&request));
        check_version_0!(Envelope<PeerRequest>, name, envelope(request));
    }
}

#[test]
fn replies_keep_their_version_0_encoding() {
    for reply in samples::replies() {
        let name = format!("reply-{}", samples::reply_name(&reply));
        check_version_0!(Envelope<PeerReply>, name, envelope(reply));
    }
}

#[test]
fn datagrams_keep_their_version_0_encoding() {
    for datagram in samples::datagrams() {
        let name = format!("datagram-{}", samples::datagram_name(&datagram));
        check_version_0!(Datagram, name, datagram);
    }
}

#[test]
fn member_records_keep_their_version_0_encoding() {
    let member = MemberRecord {
        address: "10.1.2.3:7000".parse().expect("an address"),
        zone: "zone-a".to_owned(),
        is_replica: true,
    };
    let file = golden(0, "member.json");
    let read: MemberRecord = serde_json::from_slice(&file).expect("a member");
    assert_eq!(read, member);
    assert_eq!(
        serde_json::to_vec(&member).expect("a message that can be encoded"),
        file
    );
}

/// Checks a framed message with its sections against its golden file.
macro_rules! check_frame {
    ($type:ty, $name:expr, $message:expr) => {{
        let (name, message): (&str, $type) = ($name, $message);
        let name = format!("{name}.bin");
        let bytes = encode(&message).expect("a message that can be encoded");
        if std::env::var_os(WRITE_MISSING).is_some() && !path(PROTOCOL, &name).exists() {
            fs::write(path(PROTOCOL, &name), &bytes).expect("the folder is writable");
        }
        let file = golden(PROTOCOL, &name);
        assert_eq!(bytes, file, "{name} as encoded");
        let read: $type = decode(&file).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, message.with_protocol(PROTOCOL), "{name} as decoded");
    }};
}

/// Checks a message that version 1 framed: it is decoded, and this version encodes it to the same bytes, but for the version of the
/// protocol in the header and the checksum.
macro_rules! check_version_1 {
    ($type:ty, $name:expr, $message:expr) => {{
        let (name, message): (&str, $type) = ($name, $message);
        let file = golden(1, &format!("{name}.bin"));
        let read: $type = decode(&file).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(read, message.clone().with_protocol(1), "{name} as decoded");
        let bytes = encode(&message).expect("a message that can be encoded");
        assert_eq!(bytes[..8], file[..8], "{name}: magic number");
        assert_eq!(
            bytes[10..24],
            file[10..24],
            "{name}: kind, length and number"
        );
        assert_eq!(bytes[32..], file[32..], "{name}: sections and body");
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
        has_starts: true,
        has_software: false,
    };
    change(&mut update);
    envelope(PeerReply::View(update))
}

#[test]
fn sections_keep_their_encoding() {
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
    check_version_1!(Envelope<PeerReply>, "reply-view-extras", extended);
    let starting = view(|update| {
        let engines = update.engines.as_mut().expect("engines");
        engines.entries[0].engine.warm_up_ms = 12_000;
    });
    check_version_1!(Envelope<PeerReply>, "reply-view-starts", starting);
    let with_software = view(|update| {
        update.has_software = true;
        let engines = update.engines.as_mut().expect("engines");
        engines.entries[0].engine.software = "v1.1".to_owned();
    });
    check_frame!(Envelope<PeerReply>, "reply-view-software", with_software);
    let without_replica_sets = Datagram::Confirmed {
        number: 5,
        told: Confirmations {
            version: 42,
            unconfirmed_ms: Some(120),
            engines_newest: 9,
            engines_unconfirmed_ms: None,
            drains: None,
            no_replica_sets_ms: Some(250),
        },
    };
    check_frame!(
        Datagram,
        "datagram-confirmed-no-replica-sets",
        without_replica_sets
    );
}

#[test]
fn extension_messages_keep_their_encoding() {
    let asked = envelope(PeerRequest::Extension(ExtensionRequest::FetchBuild));
    check_version_1!(Envelope<PeerRequest>, "request-fetch-build", asked);
    let build = Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    };
    let told = envelope(PeerReply::Extension(ExtensionReply::Build(build)));
    check_version_1!(Envelope<PeerReply>, "reply-build", told);
    let grant = GrantRequest {
        group: GroupId(2),
        engine: "i-1".to_owned(),
        per_ks: 19_000,
        version: 9,
    };
    let asked = envelope(PeerRequest::Extension(ExtensionRequest::Grant(grant)));
    check_version_1!(Envelope<PeerRequest>, "request-grant", asked);
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
        let told = envelope(PeerReply::Extension(ExtensionReply::Grant(reply)));
        check_version_1!(Envelope<PeerReply>, name, told);
    }
}

#[test]
fn messages_to_witnesses_keep_their_encoding() {
    let entry = LedgerEntry {
        reserved_tokens: 0,
        spent: None,
    };
    let key = TurnId::of(Some("t"), "r-1").permit(1, RequestDigest(7));
    let asked = WitnessRequest {
        ledger: ProgramId::of(Some("t"), "p"),
        key: key.clone(),
        entry,
    };
    let asked = envelope(PeerRequest::Extension(ExtensionRequest::Witness(asked)));
    check_frame!(Envelope<PeerRequest>, "request-witness", asked);
    let mut ledger = ProgramLedger::default();
    ledger.merge_entry(&key, entry);
    for (name, reply) in [
        ("reply-witness-kept", WitnessReply::Kept(ledger.clone())),
        (
            "reply-witness-kept-since-start",
            WitnessReply::KeptSinceStart(ledger),
        ),
        ("reply-witness-full", WitnessReply::Full),
    ] {
        let told = envelope(PeerReply::Extension(ExtensionReply::Witness(reply)));
        check_frame!(Envelope<PeerReply>, name, told);
    }
}
