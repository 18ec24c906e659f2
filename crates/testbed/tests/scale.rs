//! `scale`: its flags, layout, schedule, slopes, and a small cluster of hollow nodes in one process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use clap::Parser;
use ridgeworks_testbed::scale::{
    Action, Churn, DayRates, Host, HostCommand, HostPlan, HostReport, Layout, Life, Observation,
    Point, ScaleArguments, SeenState, Timeline, fit,
};

const PATIENCE: Duration = Duration::from_secs(8);
const TURN: Duration = Duration::from_millis(10);
const NODES: usize = 6;

#[derive(Parser)]
struct CommandLine {
    #[command(flatten)]
    scale: ScaleArguments,
}

fn parse(words: &[&str]) -> Result<ScaleArguments, clap::Error> {
    let words = std::iter::once("scale").chain(words.iter().copied());
    CommandLine::try_parse_from(words).map(|line| line.scale)
}

#[test]
fn sizes_ascend_to_the_number_of_nodes() {
    let arguments = parse(&["--nodes", "120", "--sizes", "200,100,50,50,3"]).unwrap();
    assert_eq!(arguments.all_sizes(), [50, 100, 120]);
    assert_eq!(parse(&[]).unwrap().all_sizes(), [50, 100, 200, 410]);
}

#[test]
fn numbers_out_of_bounds_are_refused() {
    assert!(parse(&["--nodes", "3"]).is_err());
    assert!(parse(&["--processes", "0"]).is_err());
    assert!(parse(&["--processes", "101"]).is_err());
}

#[test]
fn a_line_is_found_again() {
    let point = |nodes: f64| Point {
        nodes,
        value: 3.0 + 0.5 * nodes,
    };
    let line = fit(&[50.0, 100.0, 200.0, 410.0].map(point)).unwrap();
    assert!((line.slope - 0.5).abs() < 1e-9);
    assert!((line.intercept - 3.0).abs() < 1e-9);
    assert!((line.determination - 1.0).abs() < 1e-9);
    assert_eq!(fit(&[point(50.0)]), None);
}

#[test]
fn nodes_stand_in_nineteen_zones_of_six_regions() {
    let layout = Layout::new(404, 20);
    let count = |name: fn(&ridgeworks_testbed::scale::HollowPlan) -> &String| {
        let names = layout.nodes.iter().map(name);
        names.collect::<std::collections::BTreeSet<_>>().len()
    };
    assert_eq!(count(|node| &node.zone), 19);
    assert_eq!(count(|node| &node.region), 6);
    assert_eq!(layout.rack(410).len(), 21);
}

#[test]
fn a_schedule_is_the_same_for_a_seed_and_concerns_each_node_once() {
    let rates = DayRates {
        failures: 19.0,
        replacements: 380.0,
        changes: 0.0,
    };
    let nodes: Vec<usize> = (0..404).collect();
    let draw = |seed| Churn::draw(rates, &nodes, 410, Duration::from_secs(144), 600, seed);
    let churn = draw(7);
    assert_eq!(churn, draw(7));
    assert_ne!(churn, draw(8));
    assert_eq!((churn.failures, churn.replacements), (19, 380));
    let mut starts = BTreeMap::new();
    for step in churn
        .steps
        .iter()
        .filter(|step| step.action == Action::Start)
    {
        *starts.entry(step.node).or_insert(0) += 1;
    }
    assert_eq!(starts.len(), 399);
    assert!(starts.values().all(|starts| *starts == 1));
}

#[test]
fn a_verdict_on_a_running_member_is_false() {
    let dead = |subject: &str, at_us| Observation::Member {
        at_us,
        observer: 0,
        subject: subject.to_owned(),
        generation: 5,
        state: SeenState::Dead,
    };
    let mut timeline = Timeline::default();
    timeline.add(vec![dead("hollow-1", 200), dead("hollow-2", 200)]);
    let life = |ended_us| {
        vec![Life {
            generation: 5,
            started_us: 0,
            ended_us,
        }]
    };
    let lives = BTreeMap::from([(1, life(Some(100))), (2, life(None))]);
    let verdicts = timeline.verdicts(&lives, &[]);
    assert_eq!(verdicts.false_dead, 1);
    assert_eq!(timeline.gone(1, 5, 100, &[0]).all_ms(), 0.1);
}

fn plan() -> HostPlan {
    let layout = Layout::new(NODES, rand::random_range(16..250));
    let seeds: Vec<SocketAddr> = layout
        .nodes
        .iter()
        .map(|node| node.address)
        .take(2)
        .collect();
    HostPlan {
        nodes: layout.nodes,
        seeds,
        voters: vec!["a-voter-elsewhere".to_owned()],
        disk_nodes: vec!["hollow-0".to_owned()],
        runs: 30,
    }
}

fn start(host: &mut Host, nodes: Vec<usize>, generation: u64) {
    host.apply(HostCommand::Start { nodes, generation })
        .unwrap();
}

/// Lets the nodes run until a report satisfies a condition.
fn wait_until(host: &mut Host, holds: impl Fn(&HostReport) -> bool) -> HostReport {
    let deadline = Instant::now() + PATIENCE;
    loop {
        host.turn(TURN).unwrap();
        let report = host.apply(HostCommand::Report).unwrap().unwrap();
        if holds(&report) {
            return report;
        }
        assert!(Instant::now() < deadline, "{:?}", report.nodes);
    }
}

#[test]
fn hollow_nodes_find_each_other_lose_one_and_take_its_replacement() {
    let mut host = Host::new(plan()).unwrap();
    start(&mut host, (0..NODES).collect(), 1);
    let all_see = |present| {
        move |report: &HostReport| {
            let mut running = report.nodes.iter().filter(|node| node.generation > 0);
            running.all(|node| node.present == present)
        }
    };
    let joined = wait_until(&mut host, all_see(NODES));
    assert_eq!(joined.nodes[0].run_heads, 30);
    assert!(joined.nodes.iter().all(|node| node.received_bytes > 0));

    host.apply(HostCommand::Silence { nodes: vec![5] }).unwrap();
    wait_until(&mut host, all_see(NODES - 1));

    start(&mut host, vec![5], 2);
    let replaced = wait_until(&mut host, all_see(NODES));
    assert_eq!(replaced.nodes[5].generation, 2);

    host.apply(HostCommand::Cut { nodes: vec![4, 5] }).unwrap();
    wait_until(&mut host, |report| {
        report.nodes[..4].iter().all(|node| node.present == 4)
            && report.nodes[4..].iter().all(|node| node.present == 2)
    });
    host.apply(HostCommand::Cut { nodes: Vec::new() }).unwrap();
    wait_until(&mut host, all_see(NODES));
}
