//! Expiry and eviction of cached turns.

use std::time::Duration;

use ridgeworks_gateway::TurnCache;
use ridgeworks_records::{TurnId, TurnRecord};

const FOREVER: Duration = Duration::from_secs(1_000);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn id(number: u64) -> TurnId {
    TurnId(format!("turn-{number}"))
}

fn record(number: u64, previous: Option<u64>) -> TurnRecord {
    TurnRecord {
        turn: id(number),
        previous: previous.map(id),
        input: vec![0; 1_000],
        output: vec![0; 100],
    }
}

#[test]
fn idle_turns_expire() {
    let mut cache = TurnCache::new(1_000_000);
    for number in 0..100 {
        cache.insert(record(number, None), FOREVER, seconds(1));
    }
    assert!(cache.bytes() > 100_000);
    cache.expire(seconds(30));
    assert_eq!(cache.bytes(), 0);
    assert!(cache.chain(&id(1), seconds(30)).is_none());
}

#[test]
fn chain_in_use_is_not_expired() {
    let mut cache = TurnCache::new(1_000_000);
    cache.insert(record(0, None), FOREVER, seconds(0));
    for number in 1..20 {
        let now = seconds(number * 3);
        assert_eq!(
            cache.chain(&id(number - 1), now).map(|chain| chain.len()),
            Some(number as usize)
        );
        cache.insert(record(number, Some(number - 1)), FOREVER, now);
        cache.expire(now);
    }
}

#[test]
fn turn_past_its_retention_is_not_returned() {
    let mut cache = TurnCache::new(1_000_000);
    cache.insert(record(0, None), seconds(2), seconds(0));
    assert!(cache.chain(&id(0), seconds(1)).is_some());
    assert!(cache.chain(&id(0), seconds(2)).is_none());
}

#[test]
fn cache_size_is_bounded() {
    let mut cache = TurnCache::new(10_000);
    for number in 0..100 {
        cache.insert(record(number, None), FOREVER, seconds(1));
        assert!(cache.bytes() <= 10_000);
    }
    assert!(cache.chain(&id(99), seconds(1)).is_some());
}
