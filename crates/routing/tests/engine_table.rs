//! Tables of engines that are merged from several sources with different lags.

mod support;

use ridgeworks_routing::EngineTable;
use support::entry;

fn names(table: &EngineTable) -> Vec<String> {
    let entries = table.entries().into_iter();
    let mut names: Vec<String> = entries.map(|entry| entry.engine.instance).collect();
    names.sort();
    names
}

#[test]
fn an_older_entry_changes_nothing() {
    let mut table = EngineTable::default();
    assert!(table.apply(entry("i-1", 5)));
    assert!(!table.apply(entry("i-1", 4)));
    assert!(!table.apply(entry("i-1", 5)));
    assert!(table.remove("i-1", 6, 6));
    assert!(
        !table.apply(entry("i-1", 5)),
        "a late entry adds a removed engine again"
    );
    assert!(table.apply(entry("i-1", 7)));
}

#[test]
fn a_removal_that_is_older_than_the_entry_is_ignored() {
    let mut table = EngineTable::default();
    table.apply(entry("i-1", 5));
    assert!(!table.remove("i-1", 4, 4));
    assert_eq!(names(&table), ["i-1"]);
}

#[test]
fn a_complete_list_removes_unlisted_engines_unless_they_are_newer() {
    let mut table = EngineTable::default();
    table.apply(entry("i-old", 3));
    table.apply(entry("i-new", 12));
    table.replace(vec![entry("i-1", 8)], 10);
    assert_eq!(names(&table), ["i-1", "i-new"]);
    assert!(!table.replace(vec![], 9), "an older list was applied");
    assert_eq!(names(&table), ["i-1", "i-new"]);
}

/// A table that was listed at revision 10 and has seen changes up to 40.
fn changed_table() -> EngineTable {
    let mut table = EngineTable::default();
    let listed = ["i-1", "i-2", "i-3"].map(|instance| entry(instance, 5));
    table.replace(listed.to_vec(), 10);
    table.apply(entry("i-4", 20));
    table.advance(20);
    // The removal is reported with the revision of the last change before it.
    table.remove("i-1", 5, 30);
    table.advance(30);
    table.apply(entry("i-2", 40));
    table.advance(40);
    table
}

#[test]
fn changes_since_any_revision_make_another_table_equal() {
    let source = changed_table();
    for known in [0, 9, 10, 19, 20, 29, 30, 39, 40] {
        let mut other = EngineTable::default();
        if known >= 10 {
            let listed = ["i-1", "i-2", "i-3"].map(|instance| entry(instance, 5));
            other.replace(listed.to_vec(), 10);
        }
        if known >= 20 {
            other.apply(entry("i-4", 20));
        }
        if known >= 30 {
            other.remove("i-1", 5, 30);
        }
        if known >= 40 {
            other.apply(entry("i-2", 40));
        }
        other.advance(known);
        let changes = source.changes_since(known);
        assert_eq!(changes.is_whole, known < 10, "since {known}");
        other.apply_changes(changes);
        assert_eq!(names(&other), ["i-2", "i-3", "i-4"], "since {known}");
        assert_eq!((other.at(), other.newest()), (40, 40), "since {known}");
    }
}

#[test]
fn only_newer_changes_are_sent() {
    let source = changed_table();
    let changes = source.changes_since(29);
    assert_eq!(changes.entries, [entry("i-2", 40)]);
    assert_eq!(changes.removals.len(), 1);
    let none = source.changes_since(40);
    assert!(none.entries.is_empty() && none.removals.is_empty());
    // A table that is complete up to a later revision, without a newer change, has nothing to send.
    let mut source = source;
    source.advance(90);
    assert_eq!((source.at(), source.newest()), (90, 40));
}

#[test]
fn late_changes_do_not_add_a_removed_engine_again() {
    let source = changed_table();
    let late = source.changes_since(0);
    let mut other = changed_table();
    other.remove("i-3", 50, 50);
    other.advance(50);
    other.apply_changes(late);
    assert_eq!(names(&other), ["i-2", "i-4"]);
}
