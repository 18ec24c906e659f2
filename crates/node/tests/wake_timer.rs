//! The timer of a role fires once, however often it was set.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use ridgeworks_node::wake_timer::WakeTimer;
use stakker::Stakker;

const EVENTS: u64 = 1_000;

fn set(timer: &mut WakeTimer, stakker: &mut Stakker, at: Instant, fired: &Rc<Cell<u64>>) {
    let fired = fired.clone();
    let key = stakker.timer_add(at, move |_| fired.set(fired.get() + 1));
    timer.replace(stakker, key);
}

#[test]
fn a_timer_that_is_set_anew_replaces_the_one_before() {
    let start = Instant::now();
    let mut stakker = Stakker::new(start);
    let mut timer = WakeTimer::default();
    let fired = Rc::new(Cell::new(0));
    for event in 0..EVENTS {
        // Later and earlier in turn, as a state machine's next timer moves.
        let at = start + Duration::from_millis(100 + (event * 37) % 50);
        set(&mut timer, &mut stakker, at, &fired);
    }
    stakker.run(start + Duration::from_secs(1), false);
    assert_eq!(fired.get(), 1);
    // One that fired can be set again.
    for second in 2..=4 {
        let at = start + Duration::from_secs(second);
        set(&mut timer, &mut stakker, at, &fired);
        stakker.run(at, false);
        assert_eq!(fired.get(), second);
    }
}
