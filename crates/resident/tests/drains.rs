//! Exchange of zone drains between nodes: newer changes and ages of confirmations.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_records::Epoch;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::peer::{
    Confirmations, Datagram, Envelope, KnownDrains, KnownEngines, PeerReply, PeerRequest,
    ViewPosition, decode, encode,
};
use ridgeworks_resident::view::{Source, View};
use ridgeworks_routing::ZoneDrains;

const ZONE: &str = "zone-a";
const AGE: Duration = Duration::from_secs(7);

fn view() -> View {
    View::new(Clock::start(), true).with_drains()
}

fn listed(zones: &[&str], at: u64) -> ZoneDrains {
    let orders = zones.iter().map(|zone| ((*zone).to_owned(), 1));
    ZoneDrains::listed(orders.collect::<BTreeMap<_, _>>(), at)
}

fn is_drained(view: &View) -> bool {
    let drains = view.drains.in_force();
    drains.is_some_and(|drains| drains.is_drained(ZONE))
}

/// Fetches a node's view over encoded messages; the request was sent `asked` ago.
fn fetch(from: &View, to: &View, asked: Duration) {
    let request = Envelope {
        number: 1,
        body: PeerRequest::FetchView(to.position()),
    };
    let bytes = encode(&request).expect("a request");
    let read: Envelope<PeerRequest> = decode(&bytes).expect("a request");
    let PeerRequest::FetchView(position) = read.body else {
        panic!("unexpected request");
    };
    let reply = Envelope {
        number: 1,
        body: PeerReply::View(from.update_since(&position)),
    };
    let bytes = encode(&reply).expect("a reply");
    let read: Envelope<PeerReply> = decode(&bytes).expect("a reply");
    let PeerReply::View(update) = read.body else {
        panic!("unexpected reply");
    };
    to.adopt_update(update, asked);
}

#[test]
fn drains_and_their_ends_are_learned_from_other_nodes() {
    let (one, other) = (view(), view());
    one.adopt_drains(listed(&[ZONE], 10), Source::Store);
    fetch(&one, &other, Duration::ZERO);
    assert!(is_drained(&other));
    assert!(other.zone_restored_at(ZONE).is_none());
    one.change_drains(&[(ZONE.to_owned(), None)], 12, Source::Store);
    fetch(&one, &other, Duration::ZERO);
    assert!(!is_drained(&other));
    assert!(other.zone_restored_at(ZONE).is_some());
}

/// A reply may have been delayed by a frozen process, so its age counts from the request.
#[test]
fn a_confirmation_age_counts_from_the_request() {
    let (one, other) = (view(), view());
    one.adopt_drains(listed(&[], 10), Source::Store);
    one.drains.confirm_as_of(Duration::ZERO);
    fetch(&one, &other, AGE);
    let age = other.drains.confirmation_age().expect("a confirmation");
    assert!(age >= AGE, "{age:?}");
}

/// A confirmation of a newer table must not confirm an older one.
#[test]
fn a_confirmation_of_a_newer_table_confirms_nothing() {
    let (one, other) = (view(), view());
    other.adopt_drains(listed(&[ZONE], 10), Source::Store);
    one.adopt_drains(listed(&[], 20), Source::Store);
    one.drains.confirm_as_of(Duration::ZERO);
    let confirmations = one.confirmations();
    other.confirm(&confirmations, Duration::ZERO);
    assert!(other.drains.confirmation_age().is_none());
    let known = confirmations.drains.expect("a table is known");
    assert!(other.drains.is_behind(&known));
    fetch(&one, &other, Duration::ZERO);
    assert!(!is_drained(&other));
    assert!(other.drains.confirmation_age().is_some());
}

/// Older changes and tables may arrive after newer ones, since the store and other nodes send them independently.
#[test]
fn older_changes_and_tables_are_ignored() {
    let view = view();
    view.adopt_drains(listed(&[], 20), Source::Peer);
    view.change_drains(&[(ZONE.to_owned(), Some(9))], 15, Source::Store);
    view.adopt_drains(listed(&[ZONE], 19), Source::Peer);
    assert!(!is_drained(&view));
}

#[test]
fn a_drain_learned_of_only_after_its_end_counts_as_restored() {
    let view = view();
    view.adopt_drains(listed(&[], 10), Source::Store);
    let both = [(ZONE.to_owned(), Some(11)), (ZONE.to_owned(), None)];
    view.change_drains(&both, 12, Source::Store);
    assert!(!is_drained(&view));
    assert!(view.zone_restored_at(ZONE).is_some());
}

#[test]
fn the_end_of_a_drain_never_seen_notifies_subscribers() {
    let view = view();
    view.adopt_drains(listed(&[], 10), Source::Store);
    let changes = view.changes();
    let both = [(ZONE.to_owned(), Some(11)), (ZONE.to_owned(), None)];
    view.change_drains(&both, 12, Source::Store);
    assert!(changes.has_changed().expect("the view exists"));
}

#[test]
fn an_end_learned_from_peers_is_not_applied_again_from_the_store() {
    let view = view();
    view.adopt_drains(listed(&[ZONE], 10), Source::Store);
    view.adopt_drains(listed(&[], 12), Source::Peer);
    let returned = view.zone_restored_at(ZONE);
    std::thread::sleep(Duration::from_millis(5));
    view.change_drains(&[(ZONE.to_owned(), None)], 12, Source::Store);
    assert_eq!(view.zone_restored_at(ZONE), returned);
}

#[test]
fn a_node_that_ignores_drains_neither_requests_nor_sends_them() {
    let plain = View::new(Clock::start(), true);
    plain.adopt_drains(listed(&[ZONE], 10), Source::Peer);
    assert!(!is_drained(&plain));
    assert_eq!(plain.confirmations().drains, None);
    assert!(!plain.position().wants_drains);
    let one = view();
    one.adopt_drains(listed(&[ZONE], 10), Source::Store);
    assert_eq!(one.update_since(&plain.position()).drains, None);
}

fn confirmed(drains: Option<KnownDrains>) -> Datagram {
    Datagram::Confirmed {
        number: 1,
        told: Confirmations {
            version: 1,
            unconfirmed_ms: Some(2),
            engines_newest: 3,
            engines_unconfirmed_ms: None,
            drains,
            no_replica_sets_ms: None,
        },
    }
}

#[test]
fn messages_have_a_drain_section_only_where_needed() {
    let known = KnownDrains {
        newest: 4,
        unconfirmed_ms: Some(5),
    };
    let with = encode(&confirmed(Some(known))).expect("a datagram");
    let without = encode(&confirmed(None)).expect("a datagram");
    assert!(with.len() > without.len());
    for drains in [Some(known), None] {
        let bytes = encode(&confirmed(drains)).expect("a datagram");
        assert_eq!(decode::<Datagram>(&bytes), Ok(confirmed(drains)));
    }
    let position = ViewPosition {
        version: 1,
        engines: KnownEngines::Nothing,
        epoch: Epoch::default(),
        wants_drains: false,
    };
    let length = |position: ViewPosition| {
        let body = PeerRequest::FetchView(position);
        encode(&Envelope { number: 1, body })
            .expect("a request")
            .len()
    };
    let wanting = ViewPosition {
        wants_drains: true,
        ..position.clone()
    };
    assert!(length(position) < length(wanting));
}
