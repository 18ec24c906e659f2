//! Software versions of engines: what excludes an engine, and where a stream of unknown origin can have begun.

mod support;

use std::time::Duration;

use ridgeworks_routing::{
    EngineEntry, EngineTable, Exclusion, SoftwareHistory, SoftwareKey, SoftwareRule,
    service_exclusion,
};

const WITHIN: Duration = Duration::from_secs(4);

fn table(versions: &[&str]) -> EngineTable {
    let entries = versions.iter().enumerate().map(|(number, version)| {
        let mut engine = support::engine(&format!("i-{number}"), "a");
        (*version).clone_into(&mut engine.software);
        EngineEntry {
            engine,
            revision: 1,
        }
    });
    let mut table = EngineTable::default();
    table.replace(entries.collect(), 1);
    table
}

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

#[test]
fn engines_of_other_versions_are_excluded() {
    let service = &support::engine("i-0", "a").service;
    let rule = SoftwareRule(SoftwareKey::of(service, "v1"));
    let excluded = |versions: &[&str]| service_exclusion(&table(versions), service, &[&rule]);
    assert_eq!(excluded(&["v2", "v1"]), None);
    assert_eq!(excluded(&["v2", "v1.1"]), Some(Exclusion::Software));
}

#[test]
fn versions_are_compared_within_a_service() {
    assert_ne!(SoftwareKey::of("a", "v1"), SoftwareKey::of("b", "v1"));
    assert_ne!(SoftwareKey::of("a", "v1"), SoftwareKey::of("a", "v1.1"));
}

#[test]
fn a_version_is_the_only_one_if_no_other_was_listed_for_long_enough() {
    let service = &support::engine("i-0", "a").service;
    let v2 = SoftwareKey::of(service, "v2");
    let mut history = SoftwareHistory::default();
    assert_eq!(history.only_version(service, WITHIN, seconds(9)), None);
    history.observe(&table(&["v1", "v2"]), seconds(10));
    history.observe(&table(&["v2"]), seconds(11));
    assert_eq!(history.only_version(service, WITHIN, seconds(11)), None);
    history.observe(&table(&["v2"]), seconds(14));
    assert_eq!(
        history.only_version(service, WITHIN, seconds(14)),
        None,
        "v1 was listed"
    );
    history.observe(&table(&["v2"]), seconds(15));
    assert_eq!(history.only_version(service, WITHIN, seconds(15)), Some(v2));
    assert_eq!(history.only_version("other", WITHIN, seconds(15)), None);
}

#[test]
fn a_gateway_that_has_just_started_presumes_no_version() {
    let service = &support::engine("i-0", "a").service;
    let mut history = SoftwareHistory::default();
    history.observe(&table(&["v2"]), seconds(1));
    history.observe(&table(&["v2"]), seconds(4));
    assert_eq!(history.only_version(service, WITHIN, seconds(4)), None);
}
