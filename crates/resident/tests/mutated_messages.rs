//! Decoders of messages on random changes of valid messages.
//!
//! Bytes from other nodes are decoded before they can be trusted. A decoder must not panic, which would end the process, nor
//! allocate memory for a length that it has not checked.

#[path = "support/mutation.rs"]
mod mutation;
#[path = "support/samples.rs"]
#[allow(dead_code, reason = "only the golden files need names")]
mod samples;

use std::sync::LazyLock;

use ridgeworks_resident::node::MemberRecord;
use ridgeworks_resident::peer::{
    Build, Datagram, Envelope, ExtensionReply, ExtensionRequest, MessageKind, PeerReply,
    PeerRequest, decode, encode, frame, frame_number, unframe,
};
use ridgeworks_routing::{Residency, WarmUpLimit};
use xxhash_rust::xxh3::xxh3_64;

/// Each case decodes its bytes as sections of all kinds, so the number of cases is divided by this.
const SECTION_CASE_DIVISOR: u64 = 10;
const CHECKSUM: std::ops::Range<usize> = 24..32;

fn envelope<T>(body: T) -> Envelope<T> {
    Envelope { number: 7, body }
}

/// A reply with a view and every section.
fn view_with_sections() -> PeerReply {
    let mut reply = samples::replies().swap_remove(11);
    let PeerReply::View(update) = &mut reply else {
        panic!("not a view: {reply:?}");
    };
    update.has_extras = true;
    update.has_starts = true;
    update.has_software = true;
    let configuration = update.configuration.as_mut().expect("a configuration");
    configuration.routes[0].residency = Residency::within(["north".to_owned()]);
    configuration.services[0].warm_up = Some(WarmUpLimit {
        per_ks: 2_500,
        duration_ms: 40_000,
    });
    let engines = update.engines.as_mut().expect("engines");
    engines.entries[0].engine.warm_up_ms = 12_000;
    engines.entries[0].engine.software = "v1.1".to_owned();
    reply
}

fn encoded_messages() -> Vec<Vec<u8>> {
    let later = PeerRequest::Extension(ExtensionRequest::FetchBuild);
    let requests = samples::requests().into_iter().chain([later]);
    let requests = requests.map(|request| encode(&envelope(request)));
    let build = Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    };
    let later = PeerReply::Extension(ExtensionReply::Build(build));
    let replies = samples::replies()
        .into_iter()
        .chain([later, view_with_sections()]);
    let replies = replies.map(|reply| encode(&envelope(reply)));
    let datagrams = samples::datagrams();
    let datagrams = datagrams.iter().map(encode);
    let all = requests.chain(replies).chain(datagrams);
    all.map(|bytes| bytes.expect("a message that can be encoded").to_vec())
        .collect()
}

fn bodies() -> Vec<Vec<u8>> {
    let encoded_messages = encoded_messages().into_iter();
    let bodies = encoded_messages.map(|bytes| {
        let frame = unframe(&bytes).expect("a valid frame").expect("a frame");
        frame.body.to_vec()
    });
    bodies.collect()
}

/// Decodes bytes as every kind of message and ignores errors.
fn decode_all(bytes: &[u8]) {
    let _ = decode::<Envelope<PeerRequest>>(bytes);
    let _ = decode::<Envelope<PeerReply>>(bytes);
    let _ = decode::<Datagram>(bytes);
    let _ = frame_number(bytes);
}

/// Decodes bytes after setting a valid checksum, so that the sections and the body are reached.
fn decode_with_valid_checksum(bytes: &[u8]) {
    let mut bytes = bytes.to_vec();
    if bytes.len() >= CHECKSUM.end {
        let before = xxh3_64(&bytes[..CHECKSUM.start]);
        let checksum = xxh3_64(&bytes[CHECKSUM.end..]) ^ before.rotate_left(1);
        bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    }
    decode_all(&bytes);
}

/// Bodies to send sections beside, with their kinds of messages.
static SECTION_BODIES: LazyLock<Vec<(MessageKind, Vec<u8>)>> = LazyLock::new(|| {
    let bodies = [
        (
            MessageKind::Request,
            encode(&envelope(PeerRequest::ListMembers)),
        ),
        (MessageKind::Reply, encode(&envelope(view_with_sections()))),
        (
            MessageKind::Datagram,
            encode(&samples::datagrams().swap_remove(0)),
        ),
    ];
    let bodies = bodies.into_iter().map(|(kind, bytes)| {
        let bytes = bytes.expect("a message that can be encoded");
        let frame = unframe(&bytes).expect("a valid frame").expect("a frame");
        (kind, frame.body.to_vec())
    });
    bodies.collect()
});

/// Decodes bytes as the content of a section of each kind, unused kinds included.
fn decode_as_section(bytes: &[u8]) {
    for (message, body) in SECTION_BODIES.iter() {
        for kind in (1..8).chain([100, 101, 200, 201, 300, 301]) {
            let bytes = frame(*message as u16, 7, &[(kind, bytes.to_vec())], body);
            match message {
                MessageKind::Request => drop(decode::<Envelope<PeerRequest>>(&bytes)),
                MessageKind::Reply => drop(decode::<Envelope<PeerReply>>(&bytes)),
                MessageKind::Datagram => drop(decode::<Datagram>(&bytes)),
            }
        }
    }
}

fn decode_member(bytes: &[u8]) {
    let _ = serde_json::from_slice::<MemberRecord>(bytes);
}

#[test]
fn frames_with_random_changes() {
    mutation::check(encoded_messages(), decode_all);
}

#[test]
fn frames_with_random_changes_and_a_valid_checksum() {
    mutation::check(encoded_messages(), decode_with_valid_checksum);
}

#[test]
fn version_0_messages_with_random_changes() {
    mutation::check(bodies(), decode_all);
}

#[test]
fn sections_with_random_changes() {
    let encoded_messages = encoded_messages();
    let frames = encoded_messages.iter().map(|bytes| unframe(bytes));
    let frames = frames.map(|frame| frame.expect("a valid frame").expect("a frame"));
    let sections = frames.flat_map(|frame| frame.sections().expect("a valid frame"));
    let mut samples: Vec<Vec<u8>> = sections.map(|raw| raw.content.to_vec()).collect();
    samples.push(Vec::new());
    mutation::check_fraction(samples, decode_as_section, SECTION_CASE_DIVISOR);
}

#[test]
fn registered_members_with_random_changes() {
    let member = br#"{"address":"10.1.2.3:7000","zone":"zone-a","is_replica":true}"#;
    mutation::check(vec![member.to_vec()], decode_member);
}

/// A message that was cut on its way passed for a shorter one.
#[test]
fn a_message_that_stops_anywhere_is_not_read() {
    for bytes in encoded_messages() {
        for end in 0..bytes.len() {
            let cut = &bytes[..end];
            assert!(decode::<Envelope<PeerRequest>>(cut).is_err(), "{end}");
            assert!(decode::<Envelope<PeerReply>>(cut).is_err(), "{end}");
            assert!(decode::<Datagram>(cut).is_err(), "{end}");
        }
    }
}
