//! Origins of streams in the keys of ledgers.

use ridgeworks_records::{
    LedgerEntry, MARK_ENTRY, ProgramLedger, RequestDigest, StreamOrigin, TurnId,
};

const DIGEST: RequestDigest = RequestDigest(7);
const OTHER: RequestDigest = RequestDigest(u64::MAX);

fn reserved(tokens: u64) -> LedgerEntry {
    LedgerEntry {
        reserved_tokens: tokens,
        spent: None,
    }
}

fn turn(tenant: Option<&str>, id: &str) -> TurnId {
    TurnId::of(tenant, id)
}

#[test]
fn the_last_origin_of_a_turn_counts_whatever_the_order_of_the_writes() {
    let stream = turn(None, "r-1");
    let keys: Vec<TurnId> = (0..12)
        .map(|ordinal| stream.at_origin(ordinal, StreamOrigin(u64::MAX - u64::from(ordinal))))
        .collect();
    let mut ledger = ProgramLedger::default();
    assert_eq!(ledger.origin(&stream), None);
    ledger.merge_entry(&stream, reserved(5));
    assert_eq!(ledger.origin(&stream), None);
    for key in keys.iter().rev() {
        ledger.merge_entry(key, reserved(5));
    }
    assert_eq!(ledger.origin(&stream), Some(StreamOrigin(u64::MAX - 11)));
    assert_eq!(ledger.origin(&turn(None, "r-")), None);
    assert_eq!(ledger.origin(&turn(None, "r-10")), None);
}

#[test]
fn a_stream_whose_client_names_no_try_began_where_all_its_tries_did() {
    let began = |id: &str, digest, origin| turn(None, id).at_try(0, digest, Some(origin));
    let mut ledger = ProgramLedger::default();
    let origin = |ledger: &ProgramLedger| ledger.origin_of_tries(DIGEST);
    assert_eq!(origin(&ledger), None);
    ledger.merge_entry(&began("r-1", OTHER, StreamOrigin(8)), reserved(5));
    assert_eq!(origin(&ledger), None);
    ledger.merge_entry(&began("r-2", DIGEST, StreamOrigin(7)), reserved(5));
    assert_eq!(origin(&ledger), Some(StreamOrigin(7)));
    let resumed = turn(None, "r-3").at_try(0, DIGEST, None);
    ledger.merge_entry(&resumed, reserved(5));
    ledger.merge_entry(&turn(None, "r-3").permit(1, DIGEST), reserved(0));
    assert_eq!(origin(&ledger), Some(StreamOrigin(7)));
    ledger.merge_entry(&began("r-4", DIGEST, StreamOrigin(8)), reserved(5));
    assert_eq!(origin(&ledger), None);
}

#[test]
fn a_try_that_brought_nothing_before_it_went_to_another_version_began_there() {
    let mut ledger = ProgramLedger::default();
    for (ordinal, origin) in [(0, StreamOrigin(9)), (1, StreamOrigin(3))] {
        let key = turn(None, "r-1").at_try(ordinal, DIGEST, Some(origin));
        ledger.merge_entry(&key, reserved(5));
    }
    assert_eq!(ledger.origin_of_tries(DIGEST), Some(StreamOrigin(3)));
}

/// Entries of earlier versions have no digest, and the earliest no origin.
#[test]
fn a_try_that_may_have_begun_a_stream_anywhere_leaves_its_origin_unknown() {
    let mut ledger = ProgramLedger::default();
    for id in ["r-2", "r-3"] {
        ledger.merge_entry(&turn(None, id).at_origin(0, StreamOrigin(7)), reserved(5));
    }
    assert_eq!(ledger.origin_of_tries(DIGEST), Some(StreamOrigin(7)));
    ledger.merge_entry(&turn(None, "r-1"), reserved(5));
    assert_eq!(ledger.origin_of_tries(DIGEST), None);
}

#[test]
fn streams_without_a_budget_have_a_mark_for_each_version_at_which_one_began() {
    let mut ledger = ProgramLedger::default();
    let mark = |digest, origin| TurnId::of_stream_origin(digest, StreamOrigin(origin));
    ledger.merge_entry(&mark(OTHER, 8), MARK_ENTRY);
    assert_eq!(ledger.marked_origin(DIGEST), None);
    for _ in 0..2 {
        ledger.merge_entry(&mark(DIGEST, 7), MARK_ENTRY);
        assert_eq!(ledger.marked_origin(DIGEST), Some(StreamOrigin(7)));
    }
    assert_eq!(ledger.entries.len(), 2);
    assert!(ledger.entries.keys().all(TurnId::is_mark));
    assert_eq!(ledger.origin_of_tries(DIGEST), None);
    assert_eq!(ledger.engine_ends(DIGEST, &turn(None, "r"),).ended(), 0);
    ledger.merge_entry(&mark(DIGEST, 8), MARK_ENTRY);
    assert_eq!(ledger.marked_origin(DIGEST), None);
}

#[test]
fn all_entries_of_a_turn_are_its_own_and_one_settlement_settles_it() {
    let (stream, other) = (turn(None, "r-1"), turn(None, "r-2"));
    let mut ledger = ProgramLedger::default();
    ledger.merge_entry(&stream.at_origin(0, StreamOrigin(1)), reserved(60));
    ledger.merge_entry(&stream.at_origin(1, StreamOrigin(2)), reserved(60));
    assert!(!ledger.has_others(&stream));
    assert_eq!(ledger.charged_by_others(&stream), 0);
    assert_eq!(ledger.charged_by_others(&other), 120);
    assert!(ledger.admits(&stream, 60, 60));
    assert!(!ledger.is_settled(&stream));
    let settled = LedgerEntry {
        reserved_tokens: 60,
        spent: Some(0),
    };
    ledger.merge_entry(&stream.at_origin(0, StreamOrigin(1)), settled);
    assert!(ledger.is_settled(&stream));
    assert!(!ledger.is_settled(&other));
    assert_eq!(ledger.charged_by_others(&other), 60);
}

#[test]
fn a_tenant_s_name_is_never_taken_for_an_origin() {
    for tenant in [None, Some("acme"), Some("a§0§1"), Some("§§")] {
        let stream = turn(tenant, "r-1");
        assert_eq!(stream.origin(), None, "{tenant:?}");
        assert_eq!(stream.without_origin(), stream.0, "{tenant:?}");
        let key = stream.at_origin(3, StreamOrigin(7));
        assert_eq!(key.origin(), Some(StreamOrigin(7)), "{tenant:?}");
        assert_eq!(key.without_origin(), stream.0, "{tenant:?}");
        assert_eq!(key.request(), "r-1", "{tenant:?}");
    }
}
