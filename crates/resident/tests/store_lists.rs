//! Lists that come in pages, with names at the ends of pages that are odd or cannot be read.

use std::future::Future;
use std::net::{IpAddr, Ipv4Addr};
use std::time::Duration;

use ridgeworks_platform::ObjectKind;
use ridgeworks_platform_stand_ins::StoreStandIn;
use ridgeworks_resident::store_client::StoreClient;
use ridgeworks_resident::store_watch::list_once;
use serde_json::json;
use tokio::runtime::Builder;
use tokio::task::LocalSet;

const LOOPBACK: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
const KIND: &str = "servers";
/// Names of a page of the store.
const PAGE_SIZE: usize = 50;
const TIMEOUT: Duration = Duration::from_secs(10);

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    LocalSet::new().block_on(&runtime, future)
}

/// Names of a list in their order; `None` if it fails.
///
/// # Panics
///
/// If the list does not end in time.
fn listed(store: &StoreStandIn) -> Option<Vec<String>> {
    let listing = async {
        let client = StoreClient::new(store.address());
        let listed = tokio::time::timeout(TIMEOUT, list_once(&client, ObjectKind::Engines)).await;
        listed.expect("a list that ends")
    };
    let objects = block_on(listing)?;
    Some(objects.into_iter().map(|object| object.name).collect())
}

/// A store with these objects behind a page of others but one, so that the first of them is the last of its page.
fn store_with_page_end(names: &[&str]) -> StoreStandIn {
    let store = StoreStandIn::start(LOOPBACK);
    for number in 1..PAGE_SIZE {
        store.put(KIND, &format!("!{number:02}"), json!({}));
    }
    for name in names {
        store.put(KIND, name, json!({}));
    }
    store
}

/// The next page was that after another name, or again the same one without end.
#[test]
fn a_page_that_ends_with_an_odd_name_is_followed_by_the_next_one() {
    let odd_names = [
        "a#b",
        "a&b",
        "a%41",
        "a%",
        "a+b",
        "a b",
        "a=b",
        "a?b",
        "a/b",
        "a\nb",
        "a\0b",
        "a\"b",
        "caf\u{e9}",
    ];
    for name in odd_names {
        let store = store_with_page_end(&[name, "z-last"]);
        let names = listed(&store).expect(name);
        assert_eq!(names.len(), PAGE_SIZE + 1, "{name:?}");
        assert_eq!(names[PAGE_SIZE - 1..], [name, "z-last"]);
    }
}

/// The next page was asked for after a name with which no request can be sent.
#[test]
fn a_page_that_ends_with_a_name_too_long_for_a_request_is_followed_by_the_next_one() {
    let name = "a".repeat(100_000);
    let store = store_with_page_end(&[&name, "z-last"]);
    let names = listed(&store).expect("a list");
    assert!(names.contains(&name));
    assert_eq!(names.last().map(String::as_str), Some("z-last"));
}

/// Such an object is left out, so that the next page is asked for after the one before it.
#[test]
fn a_page_whose_last_object_has_no_readable_name_is_followed_by_the_next_one() {
    for metadata in [r#"{"name":7}"#, "{}", r#"{"name":"\ud800"}"#, "null"] {
        let store = store_with_page_end(&["z-last"]);
        store.put_raw(
            KIND,
            "a",
            &format!(r#"{{"metadata":{metadata},"spec":{{}}}}"#),
        );
        let names = listed(&store).expect(metadata);
        assert_eq!(names.len(), PAGE_SIZE, "{metadata}");
        assert_eq!(names.last().map(String::as_str), Some("z-last"));
    }
}

/// The list ended there as if it were whole.
#[test]
fn a_list_with_a_page_of_objects_without_names_fails() {
    let store = store_with_page_end(&[]);
    for number in 0..PAGE_SIZE {
        store.put_raw(
            KIND,
            &format!("{number:02}"),
            r#"{"metadata":{},"spec":{}}"#,
        );
    }
    store.put(KIND, "z-last", json!({}));
    for number in 1..PAGE_SIZE {
        store.remove(KIND, &format!("!{number:02}"));
    }
    assert_eq!(listed(&store), None);
}
