//! Connections to the platform's store that fall silent for good while new ones work.
//!
//! What happened: requests were handled by a configuration that had been replaced for more than its bound of 2 s. The
//! store had answered nobody for ten seconds. All gateways had sent their watch of the configuration at the same moment
//! before that, gave it up 9.5 s later, still in the silence, and sent the next one, which the store never answered
//! either: it was waited for until 9 s after the store was back. The cause: a watch was the only question, and no
//! answer was taken for "nothing has changed" until the end of its wait. What settled it: `platform store lost`, reason
//! `no_answer`, 9.5 s after the last change in all logs, no `regained` until the end of the logs, and `version_age_ms` of
//! 16,425 in request lines, 7 s after the store answered others again.

use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::deployment::{CONFIGURATION_BOUND, Deployment, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, LinkFault, Script};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const GATEWAYS: u8 = 3;

fn ok() -> Script {
    Script::always(Answer::Whole("fine".to_owned()))
}

/// Gateways whose watches were all sent at the same moment, since a change has just answered them all.
fn in_step(gateways: u8) -> (Deployment, EngineStandIn) {
    let mut deployment = Deployment::started(PROGRAM, gateways, 0);
    let engine = deployment.start_engine("tools", "i-1", ok());
    wait_until("all serve", || deployment.all_serve("/tool/x"));
    deployment.configure_with_prefix("/first/");
    wait_until("the first change is in force", || {
        deployment.all_serve("/first/x")
    });
    // Longer than changes are gathered before the next watch.
    std::thread::sleep(Duration::from_millis(400));
    (deployment, engine)
}

fn assert_in_force_in_time(deployment: &Deployment, path: &str, changed: Instant) {
    wait_until("the change is in force", || deployment.all_serve(path));
    assert!(
        changed.elapsed() < CONFIGURATION_BOUND,
        "{:?}",
        changed.elapsed()
    );
}

#[test]
fn a_change_after_a_silent_store_is_in_force_within_its_bound() {
    let (mut deployment, _engine) = in_step(GATEWAYS);
    deployment.store_link.set_fault(LinkFault::Stalled);
    // Long enough that gateways which notice have asked again, in the silence.
    std::thread::sleep(Duration::from_secs(4));
    deployment.configure_with_prefix("/moved/");
    assert!(deployment.all_serve("/first/x"), "served on meanwhile");
    let gateway = &deployment.gateways[0];
    assert_eq!(
        gateway.status("/moved/x"),
        503,
        "the route may be there by now"
    );
    deployment.store_link.set_fault(LinkFault::None);
    assert_in_force_in_time(&deployment, "/moved/x", Instant::now());
    assert_eq!(deployment.gateways[0].status("/first/x"), 404);
}

#[test]
fn watches_that_fall_silent_for_good_are_replaced_in_time() {
    replaces_silent_watches(GATEWAYS);
}

/// More gateways than all of which watch.
#[test]
fn a_large_fleet_replaces_silent_watches_in_time() {
    replaces_silent_watches(18);
}

fn replaces_silent_watches(gateways: u8) {
    let (mut deployment, engine) = in_step(gateways);
    deployment.store_link.set_fault(LinkFault::Stalled);
    std::thread::sleep(Duration::from_millis(50));
    deployment.store_link.set_fault(LinkFault::None);
    let next = deployment.start_engine("tools", "i-2", ok());
    let leaving = engine.entry("tools", "draining");
    deployment.store.put("servers", "i-1", leaving);
    deployment.configure_with_prefix("/moved/");
    let changed = Instant::now();
    assert_in_force_in_time(&deployment, "/moved/x", changed);
    std::thread::sleep(CONFIGURATION_BOUND.saturating_sub(changed.elapsed()));
    let before = engine.runs().len();
    for _ in 0..10 {
        assert!(deployment.all_serve("/moved/x"));
    }
    assert_eq!(
        engine.runs().len(),
        before,
        "an engine that leaves got work"
    );
    assert!(next.runs().len() >= 10 * usize::from(gateways));
}
