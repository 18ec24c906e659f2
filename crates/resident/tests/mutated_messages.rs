//! Decoders of messages on bytes that nobody sent.
//!
//! What comes from another node is read before anything is known of it. A decoder that panicked would end the process, and
//! one that believed a length could ask for any amount of memory.

#[path = "support/mutation.rs"]
mod mutation;
#[path = "support/samples.rs"]
#[allow(dead_code, reason = "names are for files")]
mod samples;

use std::sync::LazyLock;

use ridgeworks_resident::node::MemberRecord;
use ridgeworks_resident::peer::{
    Build, Datagram, Envelope, ExtensionReply, ExtensionRequest, MessageKind, PeerReply,
    PeerRequest, decode, encode, frame, frame_number, unframe,
};
use ridgeworks_routing::{Residency, WarmUpLimit};
use xxhash_rust::xxh3::xxh3_64;

/// A case reads its bytes as sections of all kinds, so fewer cases do.
const SECTION_SHARE: u64 = 10;
const CHECKSUM: std::ops::Range<usize> = 24..32;

fn enveloped<T>(body: T) -> Envelope<T> {
    Envelope { number: 7, body }
}

/// A view with every section.
fn extended() -> PeerReply {
    let mut reply = samples::replies().swap_remove(11);
    let PeerReply::View(update) = &mut reply else {
        panic!("not a view: {reply:?}");
    };
    update.has_extras = true;
    update.has_warm_ups = true;
    let configuration = update.configuration.as_mut().expect("a configuration");
    configuration.routes[0].residency = Residency::within(["north".to_owned()]);
    configuration.services[0].warm_up = Some(WarmUpLimit {
        per_ks: 2_500,
        duration_ms: 40_000,
    });
    let engines = update.engines.as_mut().expect("engines");
    engines.entries[0].engine.warm_up_ms = 12_000;
    reply
}

fn framed() -> Vec<Vec<u8>> {
    let later = PeerRequest::Extension(ExtensionRequest::FetchBuild);
    let requests = samples::requests().into_iter().chain([later]);
    let requests = requests.map(|request| encode(&enveloped(request)));
    let build = Build {
        commit: "c0ffee".to_owned(),
        protocol: 1,
        disk: 0,
    };
    let later = PeerReply::Extension(ExtensionReply::Build(build));
    let replies = samples::replies().into_iter().chain([later, extended()]);
    let replies = replies.map(|reply| encode(&enveloped(reply)));
    let datagrams = samples::datagrams();
    let datagrams = datagrams.iter().map(encode);
    let all = requests.chain(replies).chain(datagrams);
    all.map(|bytes| bytes.expect("small").to_vec()).collect()
}

fn bodies() -> Vec<Vec<u8>> {
    let framed = framed().into_iter();
    let bodies = framed.map(|bytes| {
        let frame = unframe(&bytes).expect("whole").expect("framed");
        frame.body.to_vec()
    });
    bodies.collect()
}

/// Reads bytes as every kind of message; which of them are readable does not matter.
fn read(bytes: &[u8]) {
    let _ = decode::<Envelope<PeerRequest>>(bytes);
    let _ = decode::<Envelope<PeerReply>>(bytes);
    let _ = decode::<Datagram>(bytes);
    let _ = frame_number(bytes);
}

/// With a checksum that is right, so that what stands behind it is read.
fn read_checked(bytes: &[u8]) {
    let mut bytes = bytes.to_vec();
    if bytes.len() >= CHECKSUM.end {
        let before = xxh3_64(&bytes[..CHECKSUM.start]);
        let checksum = xxh3_64(&bytes[CHECKSUM.end..]) ^ before.rotate_left(1);
        bytes[CHECKSUM].copy_from_slice(&checksum.to_le_bytes());
    }
    read(&bytes);
}

/// Bodies that sections stand beside, with the kind of their messages.
static SECTION_BODIES: LazyLock<Vec<(MessageKind, Vec<u8>)>> = LazyLock::new(|| {
    let bodies = [
        (
            MessageKind::Request,
            encode(&enveloped(PeerRequest::ListMembers)),
        ),
        (MessageKind::Reply, encode(&enveloped(extended()))),
        (
            MessageKind::Datagram,
            encode(&samples::datagrams().swap_remove(0)),
        ),
    ];
    let bodies = bodies.into_iter().map(|(kind, bytes)| {
        let bytes = bytes.expect("small");
        let frame = unframe(&bytes).expect("whole").expect("framed");
        (kind, frame.body.to_vec())
    });
    bodies.collect()
});

/// As the content of a section of each kind. (Numbers beyond those that are in use are not known, and read as such.)
fn read_as_section(bytes: &[u8]) {
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

fn read_member(bytes: &[u8]) {
    let _ = serde_json::from_slice::<MemberRecord>(bytes);
}

#[test]
fn frames() {
    mutation::check(framed(), read);
}

#[test]
fn frames_with_a_checksum_that_is_right() {
    mutation::check(framed(), read_checked);
}

#[test]
fn messages_of_the_first_version() {
    mutation::check(bodies(), read);
}

#[test]
fn sections() {
    let framed = framed();
    let frames = framed.iter().map(|bytes| unframe(bytes));
    let frames = frames.map(|frame| frame.expect("whole").expect("framed"));
    let sections = frames.flat_map(|frame| frame.sections().expect("whole"));
    let mut samples: Vec<Vec<u8>> = sections.map(|raw| raw.content.to_vec()).collect();
    samples.push(Vec::new());
    mutation::check_some(samples, read_as_section, SECTION_SHARE);
}

#[test]
fn registered_members() {
    let member = br#"{"address":"10.1.2.3:7000","zone":"zone-a","is_replica":true}"#;
    mutation::check(vec![member.to_vec()], read_member);
}
