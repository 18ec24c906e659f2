//! Engines that ended under requests, in the keys of ledgers.

use std::collections::BTreeSet;

use quickcheck::quickcheck;
use ridgeworks_records::{
    EndCertainty, EngineEnd, EngineEnds, EngineRun, LedgerEntry, MARK_ENTRY, PERMIT_ENTRY,
    ProgramLedger, RequestDigest, SendVerdict, StreamOrigin, TurnId,
};

const DIGEST: RequestDigest = RequestDigest(7);
const OTHER: RequestDigest = RequestDigest(u64::MAX);
const NONE: BTreeSet<EngineRun> = BTreeSet::new();

fn reserved() -> LedgerEntry {
    LedgerEntry {
        reserved_tokens: 60,
        spent: None,
    }
}

fn turn(id: &str) -> TurnId {
    TurnId::of(Some("a:§b"), id)
}

fn end(digest: RequestDigest, run: u64, at_s: u64, id: &str) -> TurnId {
    TurnId::of_engine_end(&EngineEnd {
        digest,
        run: EngineRun(run),
        certainty: EndCertainty::Known,
        at_s,
        turn: turn(id),
    })
}

fn ledger_of(keys: impl IntoIterator<Item = TurnId>) -> ProgramLedger {
    let mut ledger = ProgramLedger::default();
    for key in keys {
        ledger.merge_entry(&key, MARK_ENTRY);
    }
    ledger
}

#[test]
fn ends_are_counted_by_request_and_by_run_of_the_engine() {
    let ledger = ledger_of([
        end(DIGEST, 1, 100, "r-1"),
        end(DIGEST, 1, 101, "r-2"),
        end(DIGEST, u64::MAX, 102, "r-2"),
        end(OTHER, 3, 103, "r-3"),
    ]);
    let count = |digest| {
        let ends = ledger.engine_ends(digest, &turn("r-4"));
        ends.count()
    };
    assert_eq!((count(DIGEST), count(OTHER)), (2, 1));
}

/// The gateway that noticed one of them has a clock of its own, and so has the one that reads.
#[test]
fn ends_count_until_their_reader_finds_them_expired_whatever_clocks_say() {
    let ledger = ledger_of([
        end(DIGEST, 1, 0, "r-1"),
        end(DIGEST, 2, u64::MAX, "r-2"),
        end(OTHER, 3, 100, "r-3"),
    ]);
    let mut ends = ledger.engine_ends(DIGEST, &turn("r-4"));
    assert_eq!(ends.known, [EngineRun(1), EngineRun(2)].into());
    let expired = ends.take_expired(&[EngineRun(1), EngineRun(3)].into());
    assert_eq!(expired.known, [EngineRun(1)].into());
    assert_eq!((ends.known, ends.presumed), ([EngineRun(2)].into(), NONE));
}

#[test]
fn an_end_that_expired_still_accounts_for_its_send() {
    let key = turn("r-1").at_try(0, DIGEST, None);
    let mut ledger = ledger_of([end(DIGEST, 1, 100, "r-1"), end(DIGEST, 2, 100, "r-2")]);
    ledger.merge_entry(&key, reserved());
    let mut ends = ledger.engine_ends(DIGEST, &turn("r-4"));
    ends.take_expired(&[EngineRun(1)].into());
    assert_eq!((ends.known.len(), ends.unsettled), (1, 0));
}

#[test]
fn ends_of_a_request_that_was_served_are_cleared_and_no_others() {
    let ledger = ledger_of([
        end(DIGEST, 1, 100, "r-1"),
        end(DIGEST, 2, 100, "r-1"),
        end(OTHER, 1, 100, "r-3"),
        TurnId::of_cleared_end(DIGEST, EngineRun(1)),
    ]);
    let runs = |digest| ledger.engine_ends(digest, &turn("r-4")).known;
    assert_eq!(runs(DIGEST), [EngineRun(2)].into());
    let cleared = ledger.engine_ends(DIGEST, &turn("r-4")).cleared;
    assert_eq!(cleared, [EngineRun(1)].into());
    assert_eq!(runs(OTHER), [EngineRun(1)].into());
}

#[test]
fn a_try_without_an_outcome_counts_beside_an_end_that_is_known() {
    let mut ledger = ProgramLedger::default();
    let key = |id| turn(id).at_try(0, DIGEST, None);
    ledger.merge_entry(&key("gone"), reserved());
    ledger.merge_entry(&key("own"), reserved());
    ledger.merge_entry(&turn("other").at_try(0, OTHER, None), reserved());
    let count = |ledger: &ProgramLedger| ledger.engine_ends(DIGEST, &turn("own")).count();
    assert_eq!(count(&ledger), 0);
    ledger.merge_entry(&end(DIGEST, 1, 100, "ended"), MARK_ENTRY);
    ledger.merge_entry(&key("ended"), reserved());
    assert_eq!(count(&ledger), 2);
    let settled = LedgerEntry {
        spent: Some(0),
        ..reserved()
    };
    ledger.merge_entry(&key("gone"), settled);
    assert_eq!(count(&ledger), 1);
}

#[test]
fn marks_are_no_turns_and_have_no_origin() {
    let marks = [
        end(DIGEST, 1, 100, "r-1"),
        TurnId::of_cleared_end(DIGEST, EngineRun(1)),
        TurnId::of_lookup(),
    ];
    let ledger = ledger_of(marks.clone());
    for mark in &marks {
        assert!(mark.is_mark(), "{mark:?}");
        assert_eq!(mark.origin(), None, "{mark:?}");
    }
    assert!(!ledger.has_others(&turn("r-1")));
    assert_eq!(ledger.charged_by_others(&turn("r-1")), 0);
    assert_eq!(ledger.origin_of_tries(DIGEST), None);
    assert!(!turn("r-1").is_mark());
    assert!(!TurnId::of(Some("§ended"), "r-1").is_mark());
}

#[test]
fn a_key_has_its_turn_its_digest_and_its_origin() {
    for origin in [None, Some(StreamOrigin(9))] {
        let key = turn("r-1").at_try(3, DIGEST, origin);
        assert_eq!(key.without_origin(), turn("r-1").0);
        assert_eq!((key.digest(), key.origin()), (Some(DIGEST), origin));
        assert_eq!(key.request(), "r-1");
    }
    let earlier = turn("r-1").at_origin(3, StreamOrigin(9));
    assert_eq!(earlier.digest(), None);
    let later = turn("r-1").at_try(4, DIGEST, Some(StreamOrigin(8)));
    let ledger = ledger_of([later, earlier]);
    assert_eq!(ledger.origin(&turn("r-1")), Some(StreamOrigin(8)));
}

quickcheck! {
    fn keys_of_any_text_are_read_without_a_panic(text: String) -> bool {
        let ledger = ledger_of([
            TurnId(text.clone()),
            TurnId(format!("§ended:{text}")),
            TurnId(format!("§cleared:{text}")),
            TurnId(format!("§cleared:origin:{text}")),
            TurnId(format!("{text}§{text}§{text}")),
        ]);
        let origins = [ledger.origin_of_tries(DIGEST), ledger.marked_origin(DIGEST)];
        let ends = ledger.engine_ends(DIGEST, &turn("r")).count();
        ends + origins.into_iter().flatten().count() <= ledger.entries.len()
    }
}

#[test]
fn an_end_accounts_for_its_send_and_for_no_later_one_of_its_try() {
    let permit = |number| turn("r-1").permit(number, DIGEST);
    let mut ledger = ProgramLedger::default();
    ledger.merge_entry(&permit(1), PERMIT_ENTRY);
    let mark = TurnId::of_engine_end(&EngineEnd {
        digest: DIGEST,
        run: EngineRun(1),
        certainty: EndCertainty::Known,
        at_s: 100,
        turn: permit(1),
    });
    ledger.merge_entry(&mark, MARK_ENTRY);
    let ends = |ledger: &ProgramLedger| ledger.engine_ends(DIGEST, &turn("r-2"));
    assert_eq!((ends(&ledger).known.len(), ends(&ledger).unsettled), (1, 0));
    ledger.merge_entry(&permit(2), PERMIT_ENTRY);
    assert_eq!((ends(&ledger).known.len(), ends(&ledger).unsettled), (1, 1));
    assert_eq!(ledger.engine_ends(DIGEST, &turn("r-1")).unsettled, 0);
    ledger.merge_entry(&permit(2), MARK_ENTRY);
    assert_eq!(ends(&ledger).unsettled, 0);
    assert_eq!(ledger.charged_by_others(&turn("r-2")), 0);
}

#[test]
fn a_send_is_permitted_while_three_engines_at_most_can_end_with_it() {
    let verdict = |known: u64, presumed: u64, unsettled| {
        let ends = EngineEnds {
            known: (0..known).map(EngineRun).collect(),
            presumed: (10..10 + presumed).map(EngineRun).collect(),
            unsettled,
            ..EngineEnds::default()
        };
        ends.verdict()
    };
    for permitted in [
        (0, 0, 2),
        (1, 0, 1),
        (2, 0, 0),
        (0, 1, 1),
        (0, 2, 0),
        (1, 1, 0),
    ] {
        let (known, presumed, unsettled) = permitted;
        let found = verdict(known, presumed, unsettled);
        assert_eq!(found, SendVerdict::Permitted, "{permitted:?}");
    }
    // What may end three engines with one more is not sent, and only three known ends are for good.
    for unsettled in [
        (0, 0, 3),
        (1, 0, 2),
        (2, 0, 1),
        (0, 3, 0),
        (2, 1, 0),
        (1, 1, 1),
        (2, 2, 5),
    ] {
        let (known, presumed, open) = unsettled;
        let found = verdict(known, presumed, open);
        assert_eq!(found, SendVerdict::Unsettled, "{unsettled:?}");
    }
    assert_eq!(verdict(3, 0, 0), SendVerdict::EndsEngines);
    assert_eq!(verdict(3, 2, 1), SendVerdict::EndsEngines);
}

#[test]
fn a_presumed_end_is_told_from_a_known_one_and_cleared_like_it() {
    let key = |certainty| {
        TurnId::of_engine_end(&EngineEnd {
            digest: DIGEST,
            run: EngineRun(1),
            certainty,
            at_s: 100,
            turn: turn("r-1"),
        })
    };
    let ends = |ledger: &ProgramLedger| ledger.engine_ends(DIGEST, &turn("r-2"));
    let mut ledger = ledger_of([key(EndCertainty::Presumed)]);
    assert!(key(EndCertainty::Presumed).is_mark());
    assert_eq!(key(EndCertainty::Presumed).ended_at_s(), Some(100));
    assert_eq!(
        (ends(&ledger).known.len(), ends(&ledger).presumed.len()),
        (0, 1)
    );
    ledger.merge_entry(&key(EndCertainty::Known), MARK_ENTRY);
    assert_eq!((ends(&ledger).known.len(), ends(&ledger).ended()), (1, 1));
    ledger.merge_entry(&TurnId::of_cleared_end(DIGEST, EngineRun(1)), MARK_ENTRY);
    assert_eq!(ends(&ledger).ended(), 0);
}

/// An engine that has lived on may end later, under the same request.
#[test]
fn an_end_that_is_known_after_a_presumed_one_was_withdrawn_counts() {
    let end_of = |certainty| {
        TurnId::of_engine_end(&EngineEnd {
            digest: DIGEST,
            run: EngineRun(1),
            certainty,
            at_s: 100,
            turn: turn("r-1"),
        })
    };
    let withdrawn = TurnId::of_withdrawn_end(DIGEST, EngineRun(1));
    assert!(withdrawn.is_mark());
    let mut ledger = ledger_of([end_of(EndCertainty::Presumed), withdrawn]);
    let ends = |ledger: &ProgramLedger| ledger.engine_ends(DIGEST, &turn("r-2"));
    assert_eq!(ends(&ledger).ended(), 0);
    assert!(ends(&ledger).cleared.is_empty());
    ledger.merge_entry(&end_of(EndCertainty::Known), MARK_ENTRY);
    assert_eq!(ends(&ledger).known.len(), 1);
    assert_eq!(ledger.engine_ends(OTHER, &turn("r-2")).withdrawn.len(), 0);
}

/// A permit that names its engine is counted by all versions, and tells a later reader whom to ask.
#[test]
fn a_permit_names_its_engine_beside_its_turn_and_its_digest() {
    for id in ["r-1", "0123456789abcdef"] {
        for tenant in [None, Some("a:§b"), Some("§0123456789abcdef"), Some("§")] {
            let turn = TurnId::of(tenant, id);
            let permit = turn.permit_at(EngineRun(u64::MAX), 9, DIGEST);
            assert_eq!(permit.permitted_run(), Some(EngineRun(u64::MAX)));
            assert_eq!(permit.without_origin(), turn.0);
            assert_eq!(permit.request(), id);
            assert_eq!((permit.digest(), permit.origin()), (Some(DIGEST), None));
            assert_eq!(turn.permit(9, DIGEST).permitted_run(), None);
            assert_eq!(turn.permit(9, DIGEST).without_origin(), turn.0);
            let reservation = turn.at_try(0, DIGEST, Some(StreamOrigin(9)));
            assert_eq!(reservation.permitted_run(), None);
            assert_eq!(reservation.without_origin(), turn.0);
        }
    }
}

#[test]
fn open_permits_are_told_apart_by_their_engines_and_taken_out_once() {
    let permit = |run| turn("left").permit_at(EngineRun(run), 1, DIGEST);
    let mut ledger = ProgramLedger::default();
    for run in 1..=3 {
        ledger.merge_entry(&permit(run), PERMIT_ENTRY);
    }
    // One that an earlier version wrote, which names none.
    ledger.merge_entry(&turn("earlier").permit(1, DIGEST), PERMIT_ENTRY);
    let mut ends = ledger.engine_ends(DIGEST, &turn("r-2"));
    assert_eq!((ends.unsettled, ends.open_permits.len()), (4, 3));
    assert_eq!(ends.open_permits.get(&permit(2)), Some(&EngineRun(2)));
    assert_eq!(ends.verdict(), SendVerdict::Unsettled);
    for run in [1, 1, 2] {
        ends.take_open_permit(&permit(run));
    }
    ends.take_open_permit(&turn("earlier").permit(1, DIGEST));
    assert_eq!((ends.unsettled, ends.open_permits.len()), (2, 1));
    assert_eq!(ends.verdict(), SendVerdict::Permitted);
    ledger.merge_entry(&permit(1), MARK_ENTRY);
    assert_eq!(ledger.engine_ends(DIGEST, &turn("r-2")).unsettled, 3);
    assert_eq!(ledger.engine_ends(DIGEST, &turn("left")).unsettled, 1);
}
