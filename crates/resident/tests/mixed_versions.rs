//! What a node takes in of the deployment from nodes of an earlier version.
//!
//! Those tell a configuration without the regions of its routes, and engines without how long they warm up. Put in force, it would let
//! requests leave their regions, and cold engines get what warm ones bear.

#[path = "support/samples.rs"]
#[allow(dead_code, reason = "a view is enough")]
mod samples;

use std::fs;
use std::path::PathBuf;
use std::time::Duration;

use ridgeworks_records::Epoch;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::peer::{
    Envelope, KnownEngines, PROTOCOL, PeerReply, ViewPosition, ViewUpdate, decode, encode,
};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::view::{Source, View};

const NOTHING: ViewPosition = ViewPosition {
    version: 0,
    engines: KnownEngines::Nothing,
    epoch: Epoch(0),
    wants_drains: false,
};

fn read(bytes: &[u8]) -> ViewUpdate {
    let reply: Envelope<PeerReply> = decode(bytes).expect("a reply");
    match reply.body {
        PeerReply::View(update) => update,
        other => panic!("{other:?}"),
    }
}

/// A view as a node of the first version told it.
fn first_version() -> ViewUpdate {
    let file = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden/v0/reply-view.bin");
    read(&fs::read(file).expect("the file"))
}

/// What a node tells somebody who knows nothing, as it is read there.
fn told_by(view: &View) -> ViewUpdate {
    let body = PeerReply::View(view.update_since(&NOTHING));
    read(&encode(&Envelope { number: 7, body }).expect("small"))
}

fn view(needs_extras: bool) -> View {
    View::new(Clock::start(), true).needing_extras(needs_extras)
}

/// A node that has everything from the store.
fn informed() -> View {
    let view = view(true);
    view.adopt_configuration(samples::configuration(), Source::Store);
    let engines = samples::engines();
    view.adopt_engines(engines.entries, engines.at, Source::Store);
    view.confirm_as_of(Duration::ZERO);
    view
}

#[test]
fn where_nothing_of_it_is_promised_all_is_taken_in() {
    let view = view(false);
    view.adopt_update(first_version(), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.engines_known());
    assert!(view.unconfirmed_for().is_some());
    assert!(view.takes_from(0));
}

#[test]
fn where_it_is_promised_what_lacks_it_is_not_taken_in() {
    let view = view(true);
    view.adopt_update(first_version(), Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert_eq!(view.unconfirmed_for(), None, "nothing is confirmed by it");
    assert_eq!(view.epoch(), samples::groups().epoch(), "sets lack nothing");
    assert!(!view.takes_from(0));
}

#[test]
fn what_lacks_it_stays_so_when_a_node_of_this_version_passes_it_on() {
    let carrier = view(false);
    carrier.adopt_update(first_version(), Duration::ZERO);
    let told = told_by(&carrier);
    assert_eq!(told.protocol, PROTOCOL);
    let view = view(true);
    view.adopt_update(told, Duration::ZERO);
    assert_eq!(view.version(), 0);
    assert!(!view.engines_known());
    assert!(!view.takes_from(PROTOCOL), "not asked again at once");
}

#[test]
fn what_a_node_of_this_version_has_from_the_store_is_taken_in() {
    let view = view(true);
    view.adopt_update(told_by(&informed()), Duration::ZERO);
    assert_eq!(view.version(), 42);
    assert!(view.engines_known());
    assert!(view.unconfirmed_for().is_some());
}

#[test]
fn a_newer_configuration_from_the_store_may_be_passed_on_again() {
    let carrier = view(false);
    carrier.adopt_update(first_version(), Duration::ZERO);
    let mut newer = samples::configuration();
    newer.version = 43;
    carrier.adopt_configuration(newer, Source::Store);
    let view = view(true);
    view.adopt_update(told_by(&carrier), Duration::ZERO);
    assert_eq!(view.version(), 43);
    assert!(!view.engines_known(), "its engines came from elsewhere");
}

const SETTINGS: &str = r#"
role = "replica"
name = "node-1"
zone = "a"
address = "127.0.0.1"
peer_port = 7000
data_folder = "/tmp/records"
[listen]
[limits]
memory_mb = 256
descriptors = 1024
[platform]
store = "127.0.0.1:7100"
[bounds]
grace_s = 10.0
contact_ms = 500.0
configuration_ms = 4000.0
lost_machines = 1
"#;

fn need_extras(more: &str) -> bool {
    let settings = NodeSettings::parse(&format!("{SETTINGS}{more}"));
    settings.expect("settings").need_extras()
}

#[test]
fn settings_tell_whether_it_is_promised() {
    assert!(!need_extras(""));
    assert!(!need_extras("zone_drain_ms = 2000.0"));
    assert!(need_extras("warm_up_factor = 1.1"));
    assert!(!need_extras("[zones]\na = \"north\"\nb = \"north\""));
    assert!(need_extras("[zones]\na = \"north\"\nb = \"south\""));
}
