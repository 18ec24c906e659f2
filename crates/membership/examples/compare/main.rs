//! Compares failure detection strategies in virtual time and prints a table.
//!
//! Run it with `make compare-detectors`.

#[path = "../../tests/support/mod.rs"]
mod support;

mod keep_alive;

use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use keep_alive::{Neighbours, Peer, Sharing};
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_membership::MembershipMessage;
use support::cluster::Cluster;
use support::simulator::{Network, Participant, Seen, Simulator};

const SIZES: [(usize, usize); 4] = [(8, 3), (50, 4), (100, 5), (410, 9)];
/// Simulated seconds per size, chosen so that all sizes take a similar time to run.
const WATCHED_SECONDS: [u64; 4] = [300, 100, 50, 16];
const KILLS: usize = 12;
const PARTIAL_DEGREE: usize = 24;
const PAUSE_DURATION: Duration = Duration::from_millis(500);
const PAUSE_INTERVAL: Duration = Duration::from_secs(10);

/// A failure detection strategy.
#[derive(Clone, Copy)]
enum Strategy {
    /// Every node probes all others.
    Full(Sharing),
    /// Every node probes a bounded number of others.
    Partial(Sharing),
    /// The membership state machine of this crate.
    Ridgeworks,
}

const STRATEGIES: [(&str, Strategy); 8] = [
    ("independent, all", Strategy::Full(Sharing::Nothing)),
    ("independent, 24", Strategy::Partial(Sharing::Nothing)),
    ("SN, 24", Strategy::Partial(Sharing::Negative)),
    (
        "SN+BPTR, 24",
        Strategy::Partial(Sharing::NegativeToBackPointers),
    ),
    (
        "SN+BPTR, all",
        Strategy::Full(Sharing::NegativeToBackPointers),
    ),
    ("SNP+BPTR, all", Strategy::Full(Sharing::BothToBackPointers)),
    ("indirect, all", Strategy::Full(Sharing::Indirect)),
    ("ridgeworks", Strategy::Ridgeworks),
];

#[derive(Default)]
struct Figures {
    messages_per_second: f64,
    bytes_per_second: f64,
    largest_bytes_per_second: f64,
    cpu_micros_per_second: f64,
    detection_ms: Vec<u64>,
    undetected: usize,
    false_per_node_hour: [f64; 3],
}

/// Determines which nodes must detect a failure.
trait ObserverSet {
    fn observers(&self, subject: usize, running: &[usize]) -> Vec<usize>;
}

struct AllNodes;
impl ObserverSet for AllNodes {
    fn observers(&self, subject: usize, running: &[usize]) -> Vec<usize> {
        running
            .iter()
            .copied()
            .filter(|node| *node != subject)
            .collect()
    }
}

struct BackPointers(Rc<Neighbours>);
impl ObserverSet for BackPointers {
    fn observers(&self, subject: usize, running: &[usize]) -> Vec<usize> {
        let all = self.0.back_pointers[subject].iter();
        all.copied().filter(|node| running.contains(node)).collect()
    }
}

fn network(loss: f64) -> Network {
    Network {
        loss,
        ..Network::default()
    }
}

fn peers(
    nodes: usize,
    zones: usize,
    degree: usize,
    sharing: Sharing,
    loss: f64,
    seed: u64,
) -> (Simulator<Peer>, BackPointers) {
    let neighbours = Rc::new(Neighbours::new(nodes, degree.min(nodes - 1), seed));
    let mut simulator = Simulator::new(network(loss), seed);
    for index in 0..nodes {
        simulator.add_slot(index % zones);
        simulator.start(index, Peer::new(index, sharing, neighbours.clone(), seed));
    }
    (simulator, BackPointers(neighbours))
}

/// Measures messages, bytes and the wall clock time spent in the state machines, without failures.
fn measure_cost<P: Participant>(simulator: &mut Simulator<P>, figures: &mut Figures) {
    let seconds = 10;
    simulator.run_for(Duration::from_secs(5));
    simulator.reset_costs();
    simulator.counts_bytes = true;
    simulator.run_for(Duration::from_secs(seconds));
    simulator.counts_bytes = false;
    let running = simulator.running();
    let scale = 1.0 / (running.len() as f64 * seconds as f64);
    for node in running {
        let cost = simulator.cost(node);
        figures.messages_per_second += cost.messages as f64 * scale;
        figures.bytes_per_second += cost.bytes as f64 * scale;
        figures.cpu_micros_per_second += cost.wall.as_secs_f64() * 1e6 * scale;
        let rate = cost.bytes as f64 / seconds as f64;
        figures.largest_bytes_per_second = figures.largest_bytes_per_second.max(rate);
    }
}

/// Kills some nodes one after another, without any reset of their links.
fn measure_detection<P: Participant>(
    simulator: &mut Simulator<P>,
    observer_set: &impl ObserverSet,
    kills: usize,
    seed: u64,
    figures: &mut Figures,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    simulator.observations.clear();
    let mut killed = Vec::new();
    for _ in 0..kills {
        let running = simulator.running();
        let victim = running[rng.random_range(0..running.len())];
        simulator.kill(victim, false);
        killed.push((victim, simulator.now));
        simulator.run_for(Duration::from_millis(rng.random_range(1500..2500)));
    }
    let nodes = simulator.running().len() + kills;
    let detection_limit =
        Duration::from_secs_f64(3.0 + nodes as f64 / keep_alive::PROBES_PER_SECOND);
    simulator.run_for(detection_limit);
    let running = simulator.running();
    for (victim, at) in killed {
        for observer in observer_set.observers(victim, &running) {
            let noticed = simulator.observations.iter().find(|observation| {
                (observation.observer, observation.subject) == (observer, victim)
                    && observation.state == Seen::Dead
            });
            match noticed {
                Some(observation) => {
                    let micros = observation.at.since(at).as_micros();
                    figures
                        .detection_ms
                        .push(u64::try_from(micros / 1000).unwrap_or(u64::MAX));
                }
                None => figures.undetected += 1,
            }
        }
    }
}

/// Running nodes declared Dead, per node and hour, optionally with pauses of the nodes.
fn false_deaths<P: Participant>(
    simulator: &mut Simulator<P>,
    seconds: u64,
    with_pauses: bool,
    seed: u64,
) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let nodes = simulator.running().len();
    simulator.observations.clear();
    let start = simulator.now;
    let mut order: Vec<usize> = (0..nodes).collect();
    // Pauses the nodes in turn, in a random order: two consecutive pauses of one node would be one
    // long pause.
    order.shuffle(&mut rng);
    let mut next = 0;
    while simulator.now.since(start) < Duration::from_secs(seconds) {
        let wait = if with_pauses {
            simulator.pause(order[next % nodes], PAUSE_DURATION);
            next += 1;
            PAUSE_INTERVAL.div_f64(nodes as f64)
        } else {
            Duration::from_secs(1)
        };
        simulator.run_for(wait);
    }
    let observations = simulator.observations.iter();
    let dead = observations.filter(|observation| observation.state == Seen::Dead);
    dead.count() as f64 * 3600.0 / (nodes as f64 * seconds as f64)
}

fn measure(strategy: Strategy, nodes: usize, zones: usize, seconds: u64) -> Figures {
    let mut figures = Figures::default();
    let rounds = if nodes < 20 { KILLS as u64 } else { 1 };
    let kills = if nodes < 20 { 1 } else { KILLS };
    match strategy {
        Strategy::Ridgeworks => {
            for seed in 0..rounds {
                let mut cluster = Cluster::formed(nodes, zones, network(0.0), seed);
                if seed == 0 {
                    measure_cost(&mut cluster.simulator, &mut figures);
                }
                let simulator = &mut cluster.simulator;
                measure_detection(simulator, &AllNodes, kills, seed, &mut figures);
            }
            for (index, loss) in [0.01, 0.05, 0.0].into_iter().enumerate() {
                let mut cluster = Cluster::formed(nodes, zones, network(loss), 77);
                figures.false_per_node_hour[index] =
                    false_deaths(&mut cluster.simulator, seconds, index == 2, 5);
            }
        }
        Strategy::Full(sharing) | Strategy::Partial(sharing) => {
            let degree = match strategy {
                Strategy::Partial(_) => PARTIAL_DEGREE,
                _ => nodes - 1,
            };
            for seed in 0..rounds {
                let (mut simulator, observer_set) = peers(nodes, zones, degree, sharing, 0.0, seed);
                if seed == 0 {
                    measure_cost(&mut simulator, &mut figures);
                }
                simulator.run_for(Duration::from_millis(100 * seed));
                measure_detection(&mut simulator, &observer_set, kills, seed, &mut figures);
            }
            for (index, loss) in [0.01, 0.05, 0.0].into_iter().enumerate() {
                let (mut simulator, _) = peers(nodes, zones, degree, sharing, loss, 77);
                figures.false_per_node_hour[index] =
                    false_deaths(&mut simulator, seconds, index == 2, 5);
            }
        }
    }
    figures
}

fn print_row(name: &str, nodes: usize, figures: &Figures) {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are supported");
    for value in &figures.detection_ms {
        histogram.record(*value).expect("the histogram grows");
    }
    let [low_loss, high_loss, with_pauses] = figures.false_per_node_hour;
    println!(
        "| {name} | {nodes} | {} | {} | {} | {} | {low_loss:.2} | {high_loss:.2} | {with_pauses:.2} | {:.0} | {:.0} | {:.1} | {:.0} |",
        histogram.value_at_quantile(0.5),
        histogram.value_at_quantile(0.95),
        histogram.max(),
        figures.undetected,
        figures.bytes_per_second,
        figures.largest_bytes_per_second,
        figures.messages_per_second,
        figures.cpu_micros_per_second,
    );
}

/// Resident memory of this process, in KiB.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1));
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}

/// Runs until `done` holds, for at most 20 simulated seconds; returns the elapsed time.
fn time_until(cluster: &mut Cluster, mut done: impl FnMut(&Cluster) -> bool) -> Duration {
    let start = cluster.simulator.now;
    let limit = Duration::from_secs(20);
    while !done(cluster) && cluster.simulator.now.since(start) < limit {
        cluster.simulator.run_for(Duration::from_millis(10));
    }
    cluster.simulator.now.since(start)
}

fn sides_agree(cluster: &Cluster, zone: usize) -> bool {
    let running = cluster.simulator.running();
    let is_inside = |node: &usize| cluster.simulator.zone_of(*node) == zone;
    let (inside, outside): (Vec<usize>, Vec<usize>) =
        running.iter().partition(|node| is_inside(node));
    let hash = |node: &usize| cluster.membership(*node).table_hash();
    let sides = [inside, outside];
    let one_hash = |side: &Vec<usize>| side.iter().all(|node| hash(node) == hash(&side[0]));
    sides
        .iter()
        .all(|side| one_hash(side) && cluster.seen_present(side[0]) == *side)
}

fn all_views_agree(cluster: &Cluster) -> bool {
    let running = cluster.simulator.running();
    let first = cluster.membership(running[0]).table_hash();
    let mut hashes = running
        .iter()
        .map(|node| cluster.membership(*node).table_hash());
    hashes.all(|hash| hash == first) && cluster.seen_present(running[0]) == running
}

/// Prints how costs and convergence of the state machine grow with the number of nodes.
fn print_scaling(nodes: usize, zones: usize) {
    const JOINING: usize = 30;
    let before = resident_kib();
    let mut cluster = Cluster::formed(nodes, zones, network(0.0), 3);
    let memory = (resident_kib().saturating_sub(before)) as f64 / nodes as f64;
    let mut figures = Figures::default();
    measure_cost(&mut cluster.simulator, &mut figures);
    cluster.simulator.cut_off(1);
    let cut = time_until(&mut cluster, |cluster| sides_agree(cluster, 1));
    cluster.simulator.run_for(Duration::from_secs(2));
    cluster.simulator.heal();
    let healed = time_until(&mut cluster, all_views_agree);
    let restarted: Vec<usize> = (0..JOINING).map(|index| index * nodes / JOINING).collect();
    for node in &restarted {
        cluster.simulator.kill(*node, true);
    }
    cluster.simulator.run_for(Duration::from_secs(5));
    cluster.simulator.reset_costs();
    cluster.simulator.counts_bytes = true;
    for node in &restarted {
        cluster.start(*node, &[2]);
    }
    let join_duration = time_until(&mut cluster, all_views_agree);
    cluster.simulator.run_for(Duration::from_secs(1));
    let bytes: u64 = cluster
        .simulator
        .running()
        .iter()
        .map(|node| cluster.simulator.cost(*node).bytes)
        .sum();
    println!(
        "| {nodes} | {zones} | {:.0} | {:.0} | {:.1} | {:.0} | {memory:.0} | {} | {} | {} | {:.0} |",
        figures.bytes_per_second,
        figures.largest_bytes_per_second,
        figures.messages_per_second,
        figures.cpu_micros_per_second,
        cut.as_millis(),
        healed.as_millis(),
        join_duration.as_millis(),
        bytes as f64 / nodes as f64,
    );
}

fn print_scaling_table() {
    println!();
    println!(
        "| nodes | zones | B/s per node | B/s of the busiest | messages/s per node | CPU µs/s per node | KiB per node | zone cut seen by all, ms | heal seen by all, ms | 30 joins at once seen by all, ms | bytes per node over that and 1 s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for (nodes, zones) in [(50, 9), (100, 9), (200, 9), (410, 9)] {
        print_scaling(nodes, zones);
    }
}

fn main() {
    // First, while the process is small, so that its growth shows the memory used by the nodes.
    print_scaling_table();
    let ping = MembershipMessage::Ping {
        believed: support::cluster::member(0, 0, 1).claim(),
        updates: Vec::new(),
    };
    let bytes = ping.encode().map(|bytes| bytes.len()).unwrap_or_default();
    println!(
        "a ping without updates has {bytes} bytes; headers are counted as {}",
        support::simulator::HEADER_BYTES
    );
    println!(
        "| way | nodes | p50 ms | p95 ms | max ms | missed | false Dead per node-hour at 1% loss | at 5% loss | with freezes | B/s per node | B/s of the busiest | messages/s per node | CPU µs/s per node |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|---|---|");
    for (name, strategy) in STRATEGIES {
        for ((nodes, zones), seconds) in SIZES.into_iter().zip(WATCHED_SECONDS) {
            let figures = measure(strategy, nodes, zones, seconds);
            print_row(name, nodes, &figures);
        }
    }
}
