//! A fleet in which a few gateways watch the store and tell the others.

use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::deployment::{
    CONFIGURATION_BOUND, Deployment, Process, routes, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// More than all of which watch.
const GATEWAYS: u8 = 18;
/// Two in each of three zones.
const WATCHERS: usize = 6;

fn ok() -> Script {
    Script::always(Answer::Whole("fine".to_owned()))
}

fn watching(deployment: &Deployment) -> Vec<usize> {
    let gateways = deployment.gateways.iter().enumerate();
    let watching = gateways.filter(|(_, gateway)| gateway.watches_store());
    watching.map(|(index, _)| index).collect()
}

fn fleet() -> (Deployment, EngineStandIn) {
    let deployment = Deployment::started(PROGRAM, GATEWAYS, 1);
    let engine = deployment.start_engine("tools", "i-1", ok());
    wait_until("all serve", || deployment.all_serve("/tool/x"));
    wait_until("a few watch", || watching(&deployment).len() == WATCHERS);
    (deployment, engine)
}

#[test]
fn a_few_watch_and_all_follow_them_in_time() {
    let (mut deployment, engine) = fleet();
    let calls = deployment.store.calls();
    let began = Instant::now();
    deployment.configure_with_prefix("/moved/");
    let next = deployment.start_engine("tools", "i-2", ok());
    let entry = engine.entry("tools", "draining");
    deployment.store.put("servers", "i-1", entry);
    wait_until("all serve the new route", || {
        deployment.all_serve("/moved/x")
    });
    assert!(
        began.elapsed() < CONFIGURATION_BOUND,
        "{:?}",
        began.elapsed()
    );
    std::thread::sleep(CONFIGURATION_BOUND.saturating_sub(began.elapsed()));
    let before = engine.runs().len();
    for gateway in &deployment.gateways {
        assert_eq!(gateway.status("/moved/x"), 200);
    }
    assert_eq!(
        engine.runs().len(),
        before,
        "an engine that leaves got work"
    );
    assert!(next.runs().len() >= usize::from(GATEWAYS));
    // Two kinds, one answer for each change, and one in 1.2 s that nothing changed.
    let made = deployment.store.calls() - calls;
    assert!(made < 60, "{made} calls");
}

/// In a small fleet all watch. What one of them asks beside its watches serves all.
#[test]
fn a_small_fleet_asks_the_store_once_for_all() {
    const SMALL: u8 = 10;
    const SPAN: Duration = Duration::from_secs(8);
    let deployment = Deployment::started(PROGRAM, SMALL, 1);
    let _engine = deployment.start_engine("tools", "i-1", ok());
    wait_until("all serve", || deployment.all_serve("/tool/x"));
    let calls = deployment.store.calls();
    std::thread::sleep(SPAN);
    let made = deployment.store.calls() - calls;
    // Each gateway watches two kinds, and a watch ends once in eight seconds. Beside them somebody asks for each kind whenever two fifths of the
    // bound are over. Whoever's turn comes before it has heard of the answer asks too: a third of the gateways at most. A replica looks for orders
    // to empty its machine.
    let watches = 2 * u64::from(SMALL);
    let rounds = SPAN.as_millis() / (CONFIGURATION_BOUND.as_millis() * 2 / 5);
    let checks = 2 * rounds as u64 * u64::from(SMALL / 3);
    let retirements = 8;
    assert!(made < watches + checks + retirements, "{made} calls");
}

#[test]
fn when_all_watchers_die_others_take_over_within_the_bound() {
    let (mut deployment, _engine) = fleet();
    // Ends the watches that nodes made at their start.
    deployment.configure_with_prefix("/first/");
    wait_until("all serve the first change", || {
        deployment.all_serve("/first/x")
    });
    let watchers = watching(&deployment);
    for index in &watchers {
        deployment.gateways[*index].kill();
    }
    let began = Instant::now();
    deployment.configure_with_prefix("/moved/");
    let left: Vec<&Process> = (0..deployment.gateways.len())
        .filter(|index| !watchers.contains(index))
        .map(|index| &deployment.gateways[index])
        .collect();
    wait_until("the others serve the new route", || {
        left.iter().all(|gateway| gateway.status("/moved/x") == 200)
    });
    assert!(
        began.elapsed() < CONFIGURATION_BOUND,
        "{:?}",
        began.elapsed()
    );
}

#[test]
fn nodes_that_find_each_other_through_seeds_do_not_register() {
    let deployment = Deployment::started(PROGRAM, 6, 3);
    // Longer than a node waits before it looks for others in the store.
    std::thread::sleep(Duration::from_millis(2_500));
    for process in deployment.gateways.iter().chain(&deployment.replicas) {
        let registered = deployment.store.object("ridgeworks-members", &process.name);
        assert_eq!(registered, None, "{}", process.name);
    }
}

#[test]
fn nodes_whose_seeds_are_gone_find_each_other_all_the_same() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    // The first gateway is everybody's seed, and is not there.
    deployment.add_gateway();
    for _ in 0..3 {
        deployment.add_replica().start();
    }
    for _ in 0..3 {
        deployment.add_gateway().start();
    }
    wait_until("there is a set", || deployment.voting_nodes().len() == 3);
    wait_until("the gateways are ready", || {
        deployment.gateways[1..].iter().all(Process::is_ready)
    });
}
