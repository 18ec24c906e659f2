//! Drains of zones as nodes tell them each other: what is newer, and how old its proof is.

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

/// What a node takes from another one, by the bytes that pass between them.
fn fetch(from: &View, to: &View, asked: Duration) {
    let question = Envelope {
        number: 1,
        body: PeerRequest::FetchView(to.position()),
    };
    let bytes = encode(&question).expect("a question");
    let read: Envelope<PeerRequest> = decode(&bytes).expect("a question");
    let PeerRequest::FetchView(position) = read.body else {
        panic!("another question");
    };
    let answer = Envelope {
        number: 1,
        body: PeerReply::View(from.update_since(&position)),
    };
    let bytes = encode(&answer).expect("an answer");
    let read: Envelope<PeerReply> = decode(&bytes).expect("an answer");
    let PeerReply::View(update) = read.body else {
        panic!("another answer");
    };
    to.adopt_update(update, asked);
}

#[test]
fn orders_and_their_ends_come_from_other_nodes() {
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

/// An answer may have waited for any time at a process that was frozen.
#[test]
fn an_age_counts_from_the_question() {
    let (one, other) = (view(), view());
    one.adopt_drains(listed(&[], 10), Source::Store);
    one.drains.confirm_as_of(Duration::ZERO);
    fetch(&one, &other, AGE);
    let age = other.drains.confirmation_age().expect("a proof");
    assert!(age >= AGE, "{age:?}");
}

/// Whoever knows a later change says nothing of what is known here.
#[test]
fn a_proof_of_another_table_is_none() {
    let (one, other) = (view(), view());
    other.adopt_drains(listed(&[ZONE], 10), Source::Store);
    one.adopt_drains(listed(&[], 20), Source::Store);
    one.drains.confirm_as_of(Duration::ZERO);
    let told = one.confirmations();
    other.confirm(&told, Duration::ZERO);
    assert!(other.drains.confirmation_age().is_none());
    let known = told.drains.expect("a table is known");
    assert!(other.drains.is_behind(&known));
    fetch(&one, &other, Duration::ZERO);
    assert!(!is_drained(&other));
    assert!(other.drains.confirmation_age().is_some());
}

/// A node that the store and others have told the same by turns, the older after the newer.
#[test]
fn what_comes_late_changes_nothing() {
    let view = view();
    view.adopt_drains(listed(&[], 20), Source::Peer);
    view.change_drains(&[(ZONE.to_owned(), Some(9))], 15, Source::Store);
    view.adopt_drains(listed(&[ZONE], 19), Source::Peer);
    assert!(!is_drained(&view));
}

#[test]
fn an_order_that_is_heard_of_only_after_its_end_leaves_a_zone_that_came_back() {
    let view = view();
    view.adopt_drains(listed(&[], 10), Source::Store);
    let both = [(ZONE.to_owned(), Some(11)), (ZONE.to_owned(), None)];
    view.change_drains(&both, 12, Source::Store);
    assert!(!is_drained(&view));
    assert!(view.zone_restored_at(ZONE).is_some());
}

#[test]
fn an_end_that_was_heard_of_after_its_order_is_told_to_those_who_follow_changes() {
    let view = view();
    view.adopt_drains(listed(&[], 10), Source::Store);
    let changes = view.changes();
    let both = [(ZONE.to_owned(), Some(11)), (ZONE.to_owned(), None)];
    view.change_drains(&both, 12, Source::Store);
    assert!(changes.has_changed().expect("the view lives"));
}

#[test]
fn an_end_that_others_told_before_the_store_does_not_come_twice() {
    let view = view();
    view.adopt_drains(listed(&[ZONE], 10), Source::Store);
    view.adopt_drains(listed(&[], 12), Source::Peer);
    let returned = view.zone_restored_at(ZONE);
    std::thread::sleep(Duration::from_millis(5));
    view.change_drains(&[(ZONE.to_owned(), None)], 12, Source::Store);
    assert_eq!(view.zone_restored_at(ZONE), returned);
}

#[test]
fn a_node_without_a_use_for_drains_neither_asks_nor_tells() {
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
        },
    }
}

#[test]
fn messages_carry_it_only_where_it_is_known() {
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
            .expect("a question")
            .len()
    };
    let wanting = ViewPosition {
        wants_drains: true,
        ..position.clone()
    };
    assert!(length(position) < length(wanting));
}
