//! Origins of streams in the keys of ledgers.

use ridgeworks_records::{LedgerEntry, ProgramLedger, StreamOrigin, TurnId};

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
fn a_program_has_an_only_origin_until_a_stream_begins_at_another() {
    let mut ledger = ProgramLedger::default();
    ledger.merge_entry(&turn(None, "r-1"), reserved(5));
    assert_eq!(ledger.only_origin(), None);
    for id in ["r-2", "r-3"] {
        ledger.merge_entry(&turn(None, id).at_origin(0, StreamOrigin(7)), reserved(5));
    }
    assert_eq!(ledger.only_origin(), Some(StreamOrigin(7)));
    ledger.merge_entry(
        &turn(None, "r-4").at_origin(0, StreamOrigin(8)),
        reserved(5),
    );
    assert_eq!(ledger.only_origin(), None);
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
