//! The list of engines, from several sources that lag differently.

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
fn an_older_report_changes_nothing() {
    let mut table = EngineTable::default();
    assert!(table.apply(entry("i-1", 5)));
    assert!(!table.apply(entry("i-1", 4)));
    assert!(!table.apply(entry("i-1", 5)));
    assert!(table.remove("i-1", 6));
    assert!(
        !table.apply(entry("i-1", 5)),
        "a late report brings an engine back"
    );
    assert!(table.apply(entry("i-1", 7)));
}

#[test]
fn a_removal_that_is_older_than_the_entry_is_ignored() {
    let mut table = EngineTable::default();
    table.apply(entry("i-1", 5));
    assert!(!table.remove("i-1", 4));
    assert_eq!(names(&table), ["i-1"]);
}

#[test]
fn a_complete_list_removes_what_it_does_not_name_unless_that_is_newer() {
    let mut table = EngineTable::default();
    table.apply(entry("i-old", 3));
    table.apply(entry("i-new", 12));
    table.replace(vec![entry("i-1", 8)], 10);
    assert_eq!(names(&table), ["i-1", "i-new"]);
    assert!(!table.replace(vec![], 9), "an older list counts");
    assert_eq!(names(&table), ["i-1", "i-new"]);
}
