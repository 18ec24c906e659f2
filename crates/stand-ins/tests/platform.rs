//! The platform over loopback HTTP: compare-and-swap, watches, machines, weights and faults.

mod support;

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_stand_ins::platform::store::CHANGES_KEPT;
use ridgeworks_stand_ins::platform::{Platform, PlatformOptions};
use serde_json::{Value, json};
use support::{Answer, call, eventually, get, get_json, history, open_lines, post, try_call};

fn start(change: impl FnOnce(&mut PlatformOptions)) -> Platform {
    let mut options = PlatformOptions::local("platform");
    change(&mut options);
    Platform::start(options).unwrap()
}

fn put(address: SocketAddr, name: &str, expected: u64, document: &Value) -> Answer {
    try_put(address, name, expected, document).expect("the platform answers")
}

fn try_put(
    address: SocketAddr,
    name: &str,
    expected: u64,
    document: &Value,
) -> Result<Answer, ureq::Error> {
    let expected = expected.to_string();
    let headers = [("If-Match", expected.as_str())];
    let path = format!("/objects/service/{name}");
    try_call("PUT", address, &path, &headers, &document.to_string())
}

fn delete(address: SocketAddr, name: &str, expected: u64) -> Answer {
    let expected = expected.to_string();
    let headers = [("If-Match", expected.as_str())];
    call(
        "DELETE",
        address,
        &format!("/objects/service/{name}"),
        &headers,
        "",
    )
}

fn watch(address: SocketAddr, after: u64) -> impl Iterator<Item = Value> + use<> {
    let lines = open_lines("GET", address, &format!("/watch?after={after}"), &[], "");
    lines.map(|line| serde_json::from_str(&line).expect("a JSON line"))
}

fn is_change(line: &Value) -> bool {
    line["type"] != "progress"
}

fn fault(address: SocketAddr, body: &Value) {
    assert_eq!(post(address, "/fault", body).status, 200);
}

#[test]
fn versions_guard_every_change() {
    let platform = start(|_| {});
    let address = platform.address();
    assert_eq!(get(address, "/objects/service/a").error(), "not_found");
    assert_eq!(
        put(address, "a", 0, &json!({"x": 1})).json(),
        json!({"version": 1})
    );
    let taken = put(address, "a", 0, &json!({}));
    assert_eq!((taken.status, &taken.json()["current"]), (409, &json!(1)));
    assert_eq!(
        put(address, "b", 0, &json!({})).json(),
        json!({"version": 2})
    );
    assert_eq!(
        put(address, "a", 1, &json!({"x": 2})).json(),
        json!({"version": 3})
    );
    let object = get_json(address, "/objects/service/a");
    assert_eq!(
        (&object["version"], &object["document"]),
        (&json!(3), &json!({"x": 2}))
    );
    assert_eq!(delete(address, "b", 1).status, 409);
    assert_eq!(delete(address, "b", 2).json(), json!({"version": 4}));
    assert_eq!(delete(address, "b", 0).status, 404);
    let list = get_json(address, "/objects?kind=service");
    assert_eq!(list["store_version"], 4);
    assert_eq!(list["objects"].as_array().unwrap().len(), 1);
    assert_eq!(
        get_json(address, "/objects?kind=other")["objects"],
        json!([])
    );
    let missing = call("PUT", address, "/objects/service/c", &[], "{}");
    assert_eq!(missing.error(), "invalid_request");
}

#[test]
fn of_racing_changes_to_one_version_exactly_one_wins() {
    let platform = start(|_| {});
    let address = platform.address();
    for expected in 0..10 {
        let racers: Vec<_> = (0..8)
            .map(|racer| thread::spawn(move || put(address, "a", expected, &json!(racer)).status))
            .collect();
        let mut statuses: Vec<u16> = racers
            .into_iter()
            .map(|racer| racer.join().unwrap())
            .collect();
        statuses.sort_unstable();
        assert_eq!(statuses, [200, 409, 409, 409, 409, 409, 409, 409]);
    }
}

#[test]
fn lost_answer_comes_after_the_effect() {
    let platform = start(|_| {});
    let address = platform.address();
    fault(address, &json!({"lost_answers": 1}));
    assert_eq!(
        put(address, "a", 7, &json!(0)).status,
        409,
        "a refusal is no change"
    );
    let begun = Instant::now();
    assert!(try_put(address, "a", 0, &json!("kept")).is_err());
    assert!(
        begun.elapsed() < Duration::from_secs(2),
        "the connection is closed, not left open"
    );
    assert_eq!(get_json(address, "/objects/service/a")["document"], "kept");
    assert_eq!(put(address, "a", 1, &json!("next")).status, 200);
}

#[test]
fn platform_that_is_down_answers_nothing_but_its_switches() {
    let platform = start(|_| {});
    let address = platform.address();
    let mut open_watch = watch(address, 0);
    assert_eq!(open_watch.next().unwrap()["type"], "progress");
    fault(address, &json!({"mode": "down"}));
    assert!(try_call("GET", address, "/objects", &[], "").is_err());
    assert!(try_put(address, "a", 0, &json!(1)).is_err());
    assert!(
        open_watch.all(|line| line["type"] == "progress"),
        "the watch ends"
    );
    fault(address, &json!({"mode": "slow", "delay_ms": 100}));
    let begun = Instant::now();
    assert_eq!(get_json(address, "/objects")["objects"], json!([]));
    assert!(begun.elapsed() >= Duration::from_millis(100));
    fault(address, &json!({"mode": "up"}));
    assert_eq!(put(address, "a", 0, &json!(1)).status, 200);
}

#[test]
fn watch_shows_every_change_in_order_from_any_version_kept() {
    let platform = start(|_| {});
    let address = platform.address();
    let live = watch(address, 0).filter(is_change);
    put(address, "a", 0, &json!(1));
    put(address, "b", 0, &json!(2));
    delete(address, "a", 1);
    let live: Vec<Value> = live.take(3).collect();
    assert_eq!(live[1]["document"], 2);
    let deleted = json!({"type": "deleted", "kind": "service", "name": "a", "version": 3});
    assert_eq!(live[2], deleted);
    let late: Vec<Value> = watch(address, 1).filter(is_change).take(2).collect();
    assert_eq!(late, live[1..]);
}

#[test]
fn watch_from_a_version_no_longer_kept_is_refused() {
    let platform = start(|_| {});
    let address = platform.address();
    for version in 0..=CHANGES_KEPT as u64 {
        put(address, "a", version, &json!(version));
    }
    let gone = get(address, "/watch?after=0");
    assert_eq!((gone.status, gone.error().as_str()), (410, "compacted"));
    assert_eq!(gone.json()["oldest"], 1);
    let first = watch(address, 1).find(is_change).unwrap();
    assert_eq!(first["version"], 2);
}

#[test]
fn only_so_many_watch_and_a_place_comes_free_when_one_goes() {
    let platform = start(|options| options.max_watchers = 2);
    let address = platform.address();
    let mut first = watch(address, 0);
    let mut second = watch(address, 0);
    assert!(first.next().is_some() && second.next().is_some());
    let refused = get(address, "/watch?after=0");
    assert_eq!(
        (refused.status, refused.error().as_str()),
        (429, "too_many_watchers")
    );
    assert_eq!(refused.retry_after.as_deref(), Some("1"));
    drop(first);
    eventually("the place comes free", || {
        let metrics = get(address, "/metrics").body;
        metrics.contains("ridgeworks_platform_watchers 1\n")
    });
    assert!(watch(address, 0).next().is_some());
    assert!(second.next().is_some());
}

#[test]
fn machines_are_listed_late_and_leaving_is_recorded_when_published() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("history.jsonl");
    let platform = start(|options| {
        options.machine_list_lag = Duration::from_millis(400);
        options.history = Some(path.clone());
    });
    let address = platform.address();
    let machine = json!({"address": "127.0.0.1:9", "service": "m", "zone": "z", "slots": 4});
    let registered = call("PUT", address, "/machines/e1", &[], &machine.to_string());
    assert_eq!(registered.json(), json!({"version": 1}));
    assert_eq!(
        get_json(address, "/machines"),
        json!({"version": 0, "machines": []})
    );
    eventually("the machine is listed", || {
        get_json(address, "/machines")["machines"][0]["state"] == "live"
    });
    assert_eq!(post(address, "/machines/e1/leave", &json!({})).status, 200);
    assert_eq!(
        get_json(address, "/machines")["machines"][0]["state"],
        "live"
    );
    assert!(history(&path, "backend_leaving").is_empty());
    eventually("leaving is listed", || {
        get_json(address, "/machines")["machines"][0]["state"] == "leaving"
    });
    eventually("leaving is recorded", || {
        history(&path, "backend_leaving").len() == 1
    });
    call("DELETE", address, "/machines/e1", &[], "");
    eventually("the machine is gone", || {
        get_json(address, "/machines")["machines"][0]["state"] == "gone"
    });
    assert_eq!(history(&path, "backend_leaving").len(), 1);
    assert_eq!(
        post(address, "/machines/none/leave", &json!({})).status,
        404
    );
}

#[test]
fn transfers_of_weights_share_one_rate() {
    let platform = start(|options| options.weights_bytes_per_second = 10_000_000);
    let address = platform.address();
    let begun = Instant::now();
    let fetches: Vec<_> = (0..3)
        .map(|_| thread::spawn(move || post(address, "/weights/m", &json!({"bytes": 500_000}))))
        .collect();
    for fetch in fetches {
        assert_eq!(
            fetch.join().unwrap().json(),
            json!({"model": "m", "bytes": 500_000})
        );
    }
    assert!(
        begun.elapsed() >= Duration::from_millis(150),
        "{:?}",
        begun.elapsed()
    );
}

#[test]
fn objects_survive_a_restart_and_versions_go_on() {
    let directory = tempfile::tempdir().unwrap();
    let file = directory.path().join("objects.json");
    let mut before = start(|options| options.data_file = Some(file.clone()));
    put(before.address(), "a", 0, &json!(1));
    put(before.address(), "a", 1, &json!(2));
    before.stop();
    let after = start(|options| options.data_file = Some(file.clone()));
    assert_eq!(
        get_json(after.address(), "/objects/service/a")["version"],
        2
    );
    assert_eq!(get(after.address(), "/watch?after=1").error(), "compacted");
    assert_eq!(
        put(after.address(), "a", 2, &json!(3)).json(),
        json!({"version": 3})
    );
}
