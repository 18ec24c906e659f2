//! All processes of a run: the platform, the full nodes and the processes of hollow nodes.

use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use ureq::Agent;

use super::arguments::ScaleArguments;
use super::error::ScaleError;
use super::host_process::HostProcess;
use super::layout::Layout;
use super::protocol::{HostCommand, HostPlan, HostReport};
use crate::bench::NodeProcess;
use crate::cluster::{Binaries, Cluster, ClusterError, ClusterOptions, ListedMachine, RelayUse};

const PRESET: &str = include_str!("../../presets/scale.toml");
/// The full processes that [`PRESET`] starts.
pub const FULL_NODES: usize = 6;
/// The platform, beside nodes.
const OTHER_PROCESSES: usize = 1;
/// A service that is not configured, so that no dispatcher polls engines that are list entries only.
const ENGINE_SERVICE: &str = "scale-engines";
const ENGINE_SLOTS: u32 = 32;
const METRICS_TIMEOUT: Duration = Duration::from_secs(5);

/// Bytes and messages of a full node's links, both directions.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkTotals {
    /// Bytes sent and received.
    pub bytes: u64,
    /// Messages sent and received.
    pub messages: u64,
}

/// All processes.
pub struct Processes {
    cluster: Cluster,
    hosts: Vec<HostProcess>,
    agent: Agent,
}

impl Processes {
    /// Starts everything; the hollow nodes are down.
    pub fn start(
        arguments: &ScaleArguments,
        layout: &Layout,
        folder: &Path,
    ) -> Result<Self, ScaleError> {
        let preset = PRESET.parse().map_err(ClusterError::Preset)?;
        let binaries = Binaries::beside_this_one()?;
        let cluster = Cluster::start(ClusterOptions {
            preset,
            binaries: binaries.clone(),
            folder: folder.to_owned(),
            relay: RelayUse::None,
            history: false,
        })?;
        let agent = Agent::config_builder()
            .timeout_global(Some(METRICS_TIMEOUT))
            .proxy(None)
            .build()
            .new_agent();
        let mut processes = Self {
            cluster,
            hosts: Vec::new(),
            agent,
        };
        for number in 0..arguments.processes.min(layout.nodes.len()) {
            let plan = processes.plan(arguments, layout, number);
            let path = folder.join(format!("hollow-nodes-{number}.log"));
            let log = File::create(&path).map_err(ScaleError::Spawn)?;
            let host = HostProcess::start(&binaries.testbed, log, &plan)?;
            processes.hosts.push(host);
        }
        Ok(processes)
    }

    /// Every so-many-th node, so that smaller sizes too are spread over all processes.
    fn plan(&self, arguments: &ScaleArguments, layout: &Layout, number: usize) -> HostPlan {
        let nodes = layout.nodes.iter().skip(number);
        let nodes = nodes.step_by(arguments.processes).cloned();
        let voters = self.cluster.preset().configuration_voters;
        let full = self.cluster.nodes();
        let with_disk = layout.nodes.iter().filter(|node| node.has_disk);
        HostPlan {
            nodes: nodes.collect(),
            seeds: full.map(|node| node.links).collect(),
            voters: self
                .cluster
                .nodes()
                .take(voters)
                .map(|node| node.name.clone())
                .collect(),
            disk_nodes: with_disk.map(|node| node.name.clone()).collect(),
            runs: arguments.runs,
        }
    }

    /// Lists engines at the platform.
    pub fn register_engines(&self, count: usize, layout: &Layout) -> Result<(), ScaleError> {
        let platform = self.cluster.platform();
        for number in 0..count {
            let node = &layout.nodes[number % layout.nodes.len()];
            platform.register(&ListedMachine {
                name: format!("engine-{number}"),
                address: node.address,
                service: ENGINE_SERVICE.to_owned(),
                zone: node.zone.clone(),
                slots: ENGINE_SLOTS,
            })?;
        }
        Ok(())
    }

    /// The full nodes and their partners.
    pub fn cluster(&self) -> &Cluster {
        &self.cluster
    }

    /// The processes of hollow nodes.
    pub fn hosts(&self) -> &[HostProcess] {
        &self.hosts
    }

    /// Number of all processes.
    pub fn count(&self) -> usize {
        self.hosts.len() + FULL_NODES + OTHER_PROCESSES
    }

    /// Sends a command to all processes of hollow nodes.
    pub fn send(&mut self, command: &HostCommand) -> Result<(), ScaleError> {
        self.hosts
            .iter_mut()
            .try_for_each(|host| host.send(command))
    }

    /// Reports of all processes of hollow nodes, in their order.
    pub fn reports(&mut self) -> Result<Vec<HostReport>, ScaleError> {
        self.send(&HostCommand::Report)?;
        self.hosts.iter().map(HostProcess::report).collect()
    }

    /// The full nodes as processes of the system.
    pub fn full_processes(&self) -> Vec<NodeProcess> {
        let nodes = self.cluster.summary().nodes;
        let ids = nodes.into_iter().filter_map(|node| node.process);
        ids.map(|id| NodeProcess { id }).collect()
    }

    /// What the links of each full node counted.
    pub fn full_links(&self) -> Result<Vec<LinkTotals>, ScaleError> {
        let addresses = self.cluster.node_addresses();
        let totals = addresses.into_iter().map(|address| {
            let text = self.metrics(address)?;
            let sum = |names: [&str; 2]| names.iter().map(|name| counter(&text, name)).sum();
            Ok(LinkTotals {
                bytes: sum(["link_sent_bytes", "link_received_bytes"]),
                messages: sum(["link_sent_messages", "link_received_messages"]),
            })
        });
        totals.collect()
    }

    /// Open watches of the platform, as it counts them itself.
    pub fn platform_watchers(&self) -> Result<u64, ScaleError> {
        let platform = self.cluster.summary().platform;
        let text = self.metrics(platform)?;
        Ok(counter(&text, "platform_watchers"))
    }

    fn metrics(&self, address: SocketAddr) -> Result<String, ScaleError> {
        let url = format!("http://{address}/metrics");
        let answer = self.agent.get(url).call();
        answer
            .and_then(|mut answer| answer.body_mut().read_to_string())
            .map_err(|error| ScaleError::Metrics(Box::new(error)))
    }
}

/// Value of a counter or gauge of Prometheus text, zero where it is not there.
fn counter(text: &str, name: &str) -> u64 {
    let named = |line: &&str| {
        let key = line.split([' ', '{']).next().unwrap_or("");
        let key = key.strip_suffix("_total").unwrap_or(key);
        !line.starts_with('#') && key.ends_with(name)
    };
    let line = text.lines().find(named);
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.and_then(|value| value.parse().ok()).unwrap_or(0)
}
