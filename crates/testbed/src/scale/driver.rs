//! Holds the cluster, its lives and what was seen, and goes through all sizes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::analysis::{CutWindow, Life, Timeline};
use super::arguments::ScaleArguments;
use super::changes::Changes;
use super::churn::Action;
use super::cluster_processes::{FULL_NODES, Processes};
use super::error::{Goal, ScaleError};
use super::layout::Layout;
use super::protocol::{HostCommand, NodeReport};
use super::report::{self, ScaleReport};
use super::usage::{Sample, machine_memory_bytes};
use super::wall_clock::wall_clock_us;
use crate::cluster::exit_on_signal;
use crate::cluster_command::WorkingFolder;

const COLLECT_INTERVAL: Duration = Duration::from_millis(250);
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
const MICROS_PER_MILLISECOND: u64 = 1_000;
const MOST_PROCESSES: usize = 200;
/// Loopback blocks to draw from; 0 is the one that everything else uses.
const BLOCKS: std::ops::Range<u8> = 16..250;

/// A run.
pub struct Driver {
    pub(super) arguments: ScaleArguments,
    pub(super) layout: Layout,
    pub(super) processes: Processes,
    pub(super) changes: Arc<Changes>,
    pub(super) timeline: Timeline,
    /// Lives of each hollow node, the newest last.
    pub(super) lives: BTreeMap<usize, Vec<Life>>,
    pub(super) cuts: Vec<CutWindow>,
    /// Newest reports of the nodes of the current size.
    pub(super) latest: BTreeMap<usize, NodeReport>,
    /// Hollow nodes of the current size.
    pub(super) size: usize,
    /// The newest revision that an operator knows of.
    pub(super) accepted_revision: u64,
    // Dropped last: the processes write there.
    _folder: WorkingFolder,
}

impl Driver {
    /// Starts all processes; the hollow nodes are down.
    pub fn new(arguments: &ScaleArguments) -> Result<Self, ScaleError> {
        exit_on_signal()?;
        let folder = WorkingFolder::make(None)?;
        let block = rand::random_range(BLOCKS);
        let layout = Layout::new(arguments.nodes - FULL_NODES, block);
        let processes = Processes::start(arguments, &layout, folder.path())?;
        processes.register_engines(arguments.engines, &layout)?;
        let cluster = processes.cluster();
        let changes = Changes::new(&cluster.node_addresses(), &cluster.tokens()[0]);
        changes.burst()?;
        Ok(Self {
            arguments: arguments.clone(),
            layout,
            changes: Arc::new(changes),
            timeline: Timeline::default(),
            lives: BTreeMap::new(),
            cuts: Vec::new(),
            latest: BTreeMap::new(),
            size: 0,
            accepted_revision: 0,
            processes,
            _folder: folder,
        })
    }

    /// Measures all sizes and prints the report.
    pub fn run(mut self) -> Result<(), ScaleError> {
        let sizes = self.arguments.all_sizes();
        let mut measured = Vec::new();
        for nodes in sizes {
            let figures = self.measure(nodes)?;
            report::print_size(&figures);
            measured.push(figures);
        }
        let cuts = self.measure_cuts()?;
        report::print(&ScaleReport::new(&self.arguments, measured, cuts));
        Ok(())
    }

    /// Carries an action out on nodes and notes lives.
    pub(super) fn act(&mut self, action: Action, nodes: &[usize]) -> Result<u64, ScaleError> {
        let at_us = wall_clock_us();
        let nodes = nodes.to_vec();
        if action == Action::Start {
            let generation = at_us / MICROS_PER_MILLISECOND;
            for node in &nodes {
                self.lives.entry(*node).or_default().push(Life {
                    generation,
                    started_us: at_us,
                    ended_us: None,
                });
            }
            self.processes
                .send(&HostCommand::Start { nodes, generation })?;
            return Ok(at_us);
        }
        if matches!(action, Action::Fail | Action::Left) {
            for node in &nodes {
                let life = self.lives.get_mut(node).and_then(|lives| lives.last_mut());
                if let Some(life) = life {
                    life.ended_us = Some(at_us);
                }
            }
        }
        self.processes.send(&match action {
            Action::Fail => HostCommand::Silence { nodes },
            Action::Leave => HostCommand::Leave { nodes },
            Action::Left => HostCommand::Left { nodes },
            Action::Close | Action::Start => HostCommand::Close { nodes },
        })?;
        Ok(at_us)
    }

    /// Cuts nodes off from all others; none mends everything.
    pub(super) fn cut(&mut self, nodes: &[usize]) -> Result<u64, ScaleError> {
        let at_us = wall_clock_us();
        let nodes = nodes.to_vec();
        self.processes.send(&HostCommand::Cut { nodes })?;
        Ok(at_us)
    }

    /// Takes in what was seen since the last time.
    pub(super) fn collect(&mut self) -> Result<(), ScaleError> {
        for report in self.processes.reports()? {
            self.timeline.add(report.observations);
            for node in report.nodes {
                if node.index < self.size {
                    self.latest.insert(node.index, node);
                }
            }
        }
        Ok(())
    }

    /// Collects until a time.
    pub(super) fn collect_until(&mut self, deadline: Instant) -> Result<(), ScaleError> {
        while Instant::now() < deadline {
            let rest = deadline.saturating_duration_since(Instant::now());
            thread::sleep(rest.min(COLLECT_INTERVAL));
            self.collect()?;
        }
        Ok(())
    }

    /// Waits until all hollow nodes agree and have everything; answers how long that took.
    pub(super) fn wait_until_joined(&mut self) -> Result<Duration, ScaleError> {
        let start = Instant::now();
        while start.elapsed() < JOIN_TIMEOUT {
            self.collect()?;
            if self.is_joined() {
                return Ok(start.elapsed());
            }
            thread::sleep(COLLECT_INTERVAL);
        }
        report::print_unjoined(self.size + FULL_NODES, &self.latest);
        Err(Goal::Joined.into())
    }

    fn is_joined(&self) -> bool {
        let members = self.size + FULL_NODES;
        let Some(first) = self.latest.values().next() else {
            return false;
        };
        self.latest.len() == self.size
            && self.latest.values().all(|node| {
                node.present == members
                    && node.table_hash == first.table_hash
                    && node.is_ready
                    && node.revision == first.revision
                    && node.revision >= self.accepted_revision
                    && node.machines >= self.arguments.engines
            })
    }

    /// Reads all counters.
    pub(super) fn sample(&mut self) -> Result<Sample, ScaleError> {
        self.collect()?;
        let sample = Sample::take(&self.processes, self.latest.clone())?;
        let processes = self.processes.count();
        let memory_bytes = sample.resident_bytes();
        let too_much = machine_memory_bytes().is_some_and(|all| memory_bytes > all / 2);
        if processes > MOST_PROCESSES || too_much {
            return Err(ScaleError::OverLimit {
                processes,
                memory_bytes,
            });
        }
        Ok(sample)
    }

    /// Hollow nodes, out of some, whose newest life covers a time.
    pub(super) fn observers(&self, from_us: u64, until_us: u64) -> Vec<usize> {
        let covers = |node: &usize| {
            let lives = self.lives.get(node);
            let mut lives = lives.into_iter().flatten();
            lives.any(|life| life.covers(from_us, until_us))
        };
        (0..self.size).filter(covers).collect()
    }

    /// Generation of a node's newest life.
    pub(super) fn generation(&self, node: usize) -> u64 {
        let newest = self.lives.get(&node).and_then(|lives| lives.last());
        newest.map_or(0, |life| life.generation)
    }
}
