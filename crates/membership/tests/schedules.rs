//! Random schedules of kills, pauses, partitions, restarts, loss and duplication. Afterwards the views
//! of all running nodes agree, and without a kill or partition no node is declared Dead.

mod support;

use std::time::Duration;

use rand::seq::IteratorRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use support::cluster::Cluster;
use support::simulator::{Input, Network};

const SCHEDULES: u64 = 2_400;
const THREADS: u64 = 3;
const STEPS: usize = 6;
const ZONES: usize = 3;
/// Time after the last fault within which all views must agree.
const CONVERGENCE_TIME: Duration = Duration::from_secs(15);

struct Schedule {
    cluster: Cluster,
    rng: ChaCha8Rng,
    nodes: usize,
    may_kill: bool,
}

impl Schedule {
    fn new(seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let nodes = rng.random_range(2..8);
        let network = Network {
            loss: [0.0, 0.01, 0.05][rng.random_range(0..3)],
            duplication: 0.02,
            ..Network::default()
        };
        Self {
            cluster: Cluster::formed_early(nodes, ZONES, network, seed),
            may_kill: rng.random_bool(0.7),
            rng,
            nodes,
        }
    }

    fn run(&mut self) {
        for _ in 0..STEPS {
            self.step();
            let wait = self.rng.random_range(0..1500);
            self.cluster.simulator.run_for(Duration::from_millis(wait));
        }
        self.cluster.simulator.heal();
        // Long enough for every pending confirmation timeout.
        self.cluster.simulator.run_for(CONVERGENCE_TIME / 5);
        let end = self.cluster.simulator.now + CONVERGENCE_TIME;
        while !self.cluster.views_agree() && self.cluster.simulator.now < end {
            self.cluster.simulator.run_for(CONVERGENCE_TIME / 10);
        }
    }

    fn step(&mut self) {
        let node = self.rng.random_range(0..self.nodes);
        let fault = self.rng.random_range(0..if self.may_kill { 7 } else { 2 });
        let is_running = self.cluster.simulator.is_running(node);
        let running = self.cluster.simulator.running();
        match fault {
            0 | 1 => {
                // Two consecutive pauses of one node would exceed the longest tolerated pause.
                self.cluster.simulator.run_for(Duration::from_millis(700));
                self.cluster
                    .simulator
                    .pause(node, Duration::from_millis(500));
            }
            2 if running.len() > 1 => {
                let resets = self.rng.random_bool(0.5);
                self.cluster.simulator.kill(node, resets);
            }
            3 | 4 if !is_running => self.start(node, &running),
            3 if running.len() > 1 => {
                self.cluster.simulator.inject(node, Input::Leave);
                self.cluster.simulator.run_for(Duration::from_millis(50));
                self.cluster.simulator.inject(node, Input::Left);
            }
            5 => self
                .cluster
                .simulator
                .cut_off(self.rng.random_range(0..ZONES)),
            6 => self.cluster.simulator.heal(),
            _ => {}
        }
    }

    fn start(&mut self, node: usize, running: &[usize]) {
        let seeds = running.iter().copied().sample(&mut self.rng, 2);
        self.cluster.start(node, &seeds);
    }
}

fn check(seed: u64) {
    let mut schedule = Schedule::new(seed);
    schedule.run();
    assert!(schedule.cluster.views_agree(), "views differ, seed {seed}");
    if !schedule.may_kill {
        assert_eq!(schedule.cluster.dead_observations(), [], "seed {seed}");
    }
}

#[test]
fn all_agree_after_any_schedule() {
    std::thread::scope(|scope| {
        for thread in 0..THREADS {
            scope.spawn(move || {
                (thread..SCHEDULES)
                    .step_by(THREADS as usize)
                    .for_each(check)
            });
        }
    });
}
