//! A running deployment and the control of its processes.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use super::backends::BackendPlan;
use super::binaries::Binaries;
use super::configure::{PartnerToken, configure};
use super::control::{PlatformControl, RelayControl};
use super::error::{ClusterError, Condition};
use super::launch::{
    Member, Relay, join, node_plan, platform_plan, remove_data, start_all, start_backends,
    start_relay,
};
use super::layout::{RelayUse, SettingsParts, plan_nodes};
use super::node::NodePlan;
use super::ports::Ports;
use super::preset::Preset;
use super::process::Process;
use super::summary::{BackendSummary, ClusterSummary, NodeSummary};
use super::waiting::{are_ready, see_alive, wait_for};

const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// How to start a deployment.
#[derive(Debug, Clone)]
pub struct ClusterOptions {
    /// What it is made of.
    pub preset: Preset,
    /// The programs.
    pub binaries: Binaries,
    /// Existing folder for logs, settings, data and histories.
    pub folder: PathBuf,
    /// Which links go through the relay.
    pub relay: RelayUse,
    /// Whether back ends and the platform write histories.
    pub history: bool,
}

/// What becomes of a node's data when it is started again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DataFolder {
    /// The machine is the same one.
    Keep,
    /// The machine was replaced by an empty one.
    Empty,
}

/// A running deployment. Its processes are killed when this is dropped.
#[derive(Debug)]
pub struct Cluster {
    options: ClusterOptions,
    tokens: Vec<PartnerToken>,
    nodes: Vec<Member<NodePlan>>,
    backends: Vec<Member<BackendPlan>>,
    platform: Process,
    relay: Option<Relay>,
}

impl Cluster {
    /// Starts all processes, waits until they serve and configures the system.
    pub fn start(options: ClusterOptions) -> Result<Self, ClusterError> {
        let mut cluster = Self::start_processes(options)?;
        cluster.wait_until_ready()?;
        cluster.configure()?;
        Ok(cluster)
    }

    /// Starts all processes and waits until each listens.
    pub fn start_processes(options: ClusterOptions) -> Result<Self, ClusterError> {
        let mut ports = Ports::default();
        let tokens = options.preset.partners.iter();
        let tokens: Vec<PartnerToken> = tokens
            .map(|partner| PartnerToken::random(&partner.name))
            .collect();
        let platform = Process::start(&platform_plan(&options))?;
        let backends = start_backends(&options, platform.ready().address, &mut ports)?;
        let plans = plan_nodes(&options.preset, &options.folder, &mut ports)?;
        let relay = start_relay(&options, &plans, platform.ready().address)?;
        let parts = SettingsParts {
            preset: &options.preset,
            nodes: &plans,
            tokens: &tokens,
            platform: platform.ready().address,
            relay: relay.as_ref().map(|relay| &relay.control),
        };
        for plan in &plans {
            parts.write(plan)?;
        }
        let processes = plans.iter().map(|plan| node_plan(&options.binaries, plan));
        let processes = start_all(processes)?;
        Ok(Self {
            nodes: join(plans, processes),
            options,
            tokens,
            backends,
            platform,
            relay,
        })
    }

    /// Waits until every running node takes requests and sees the others.
    pub fn wait_until_ready(&mut self) -> Result<(), ClusterError> {
        let nodes = self.node_addresses();
        let Some(token) = self.tokens.first() else {
            return Ok(());
        };
        wait_for(Condition::NodesReady, READY_TIMEOUT, || {
            are_ready(&nodes, token)
        })?;
        let running = self.nodes.iter().filter(|node| node.process.is_some());
        let names: Vec<&str> = running.map(|node| node.plan.name.as_str()).collect();
        wait_for(Condition::MembersAlive, READY_TIMEOUT, || {
            see_alive(&nodes, token, &names)
        })
    }

    /// Applies the preset's configuration.
    pub fn configure(&self) -> Result<(), ClusterError> {
        configure(&self.options.preset, &self.node_addresses(), &self.tokens)
    }

    /// What it consists of.
    pub fn summary(&self) -> ClusterSummary {
        ClusterSummary {
            nodes: self.nodes.iter().map(node_summary).collect(),
            backends: self.backends.iter().map(backend_summary).collect(),
            platform: self.platform.ready().address,
            relay: self
                .relay
                .as_ref()
                .map(|relay| relay.process.ready().address),
            tokens: self.tokens.clone(),
            folder: self.options.folder.clone(),
        }
    }

    /// The preset that it was started from.
    pub fn preset(&self) -> &Preset {
        &self.options.preset
    }

    /// Tokens of its partners.
    pub fn tokens(&self) -> &[PartnerToken] {
        &self.tokens
    }

    /// Token of a partner.
    pub fn token_of(&self, partner: &str) -> Result<&PartnerToken, ClusterError> {
        let token = self.tokens.iter().find(|token| token.partner == partner);
        token.ok_or_else(|| ClusterError::UnknownPartner(partner.to_owned()))
    }

    /// All nodes, running or not.
    pub fn nodes(&self) -> impl Iterator<Item = &NodePlan> {
        self.nodes.iter().map(|node| &node.plan)
    }

    /// All back ends, running or not.
    pub fn backends(&self) -> impl Iterator<Item = &BackendPlan> {
        self.backends.iter().map(|backend| &backend.plan)
    }

    /// Where the running nodes serve callers and operators.
    pub fn node_addresses(&self) -> Vec<SocketAddr> {
        let running = self.nodes.iter().filter(|node| node.process.is_some());
        running.map(|node| node.plan.listen).collect()
    }

    /// Whether a node or back end is running, as far as this knows.
    pub fn is_running(&self, name: &str) -> bool {
        self.process(name).is_ok()
    }

    /// A running node or back end.
    pub fn process(&self, name: &str) -> Result<&Process, ClusterError> {
        let mut nodes = self.nodes.iter();
        let node = nodes.find(|node| node.plan.name == name);
        let process = match node {
            Some(node) => node.process.as_ref(),
            None => self.backend(name)?.process.as_ref(),
        };
        process.ok_or_else(|| ClusterError::NotRunning(name.to_owned()))
    }

    /// Stops a node or back end as planned. It is killed if it does not end in time.
    pub fn stop(&mut self, name: &str, timeout: Duration) -> Result<(), ClusterError> {
        self.take(name)?.stop(timeout)
    }

    /// Kills a node or back end.
    pub fn kill(&mut self, name: &str) -> Result<(), ClusterError> {
        self.take(name)?.kill()
    }

    /// Pauses a node or back end.
    pub fn freeze(&self, name: &str) -> Result<(), ClusterError> {
        self.process(name)?.freeze()
    }

    /// Lets a node or back end go on after [`Self::freeze`].
    pub fn unfreeze(&self, name: &str) -> Result<(), ClusterError> {
        self.process(name)?.unfreeze()
    }

    /// Starts a node or back end that was stopped or killed.
    pub fn start_again(&mut self, name: &str, data: DataFolder) -> Result<(), ClusterError> {
        let mut nodes = self.nodes.iter_mut();
        if let Some(node) = nodes.find(|node| node.plan.name == name) {
            if data == DataFolder::Empty {
                remove_data(&node.plan)?;
            }
            let plan = node_plan(&self.options.binaries, &node.plan);
            node.process = Some(Process::start(&plan)?);
            return Ok(());
        }
        let mut backends = self.backends.iter_mut();
        let backend = backends.find(|backend| backend.plan.process.name == name);
        let backend = backend.ok_or_else(|| ClusterError::NotRunning(name.to_owned()))?;
        backend.process = Some(Process::start(&backend.plan.process)?);
        Ok(())
    }

    /// Kills a node and starts an empty machine of the same name.
    pub fn replace(&mut self, name: &str) -> Result<(), ClusterError> {
        self.kill(name)?;
        self.start_again(name, DataFolder::Empty)
    }

    /// Hands over the process of a node or back end, so that its end can be waited for apart from
    /// the deployment. [`Self::start_again`] starts it anew.
    pub fn take(&mut self, name: &str) -> Result<Process, ClusterError> {
        let nodes = self.nodes.iter_mut();
        let nodes = nodes.map(|node| (node.plan.name.as_str(), &mut node.process));
        let backends = self.backends.iter_mut();
        let backends = backends.map(|backend| {
            let name = backend.plan.process.name.as_str();
            (name, &mut backend.process)
        });
        let mut members = nodes.chain(backends);
        members
            .find(|(member, _)| *member == name)
            .and_then(|(_, process)| process.take())
            .ok_or_else(|| ClusterError::NotRunning(name.to_owned()))
    }

    /// The platform's control paths.
    pub fn platform(&self) -> PlatformControl {
        PlatformControl::new(self.platform.ready().address)
    }

    /// The relay's control paths, if links go through one.
    pub fn relay(&self) -> Option<&RelayControl> {
        self.relay.as_ref().map(|relay| &relay.control)
    }

    /// Stops all nodes as planned, then everything else.
    pub fn shut_down(mut self, timeout: Duration) -> Result<(), ClusterError> {
        let nodes: Vec<Process> = self
            .nodes
            .iter_mut()
            .filter_map(|node| node.process.take())
            .collect();
        for node in &nodes {
            node.begin_stop()?;
        }
        for node in nodes {
            node.stop(timeout)?;
        }
        Ok(())
    }

    fn backend(&self, name: &str) -> Result<&Member<BackendPlan>, ClusterError> {
        let mut backends = self.backends.iter();
        let backend = backends.find(|backend| backend.plan.process.name == name);
        backend.ok_or_else(|| ClusterError::NotRunning(name.to_owned()))
    }
}

fn node_summary(node: &Member<NodePlan>) -> NodeSummary {
    NodeSummary {
        name: node.plan.name.clone(),
        zone: node.plan.zone.clone(),
        address: node.plan.listen,
        has_disk: node.plan.data_folder.is_some(),
        process: node.process.as_ref().map(Process::id),
    }
}

fn backend_summary(backend: &Member<BackendPlan>) -> BackendSummary {
    let machine = &backend.plan.machine;
    BackendSummary {
        name: machine.name.clone(),
        service: machine.service.clone(),
        zone: machine.zone.clone(),
        address: machine.address,
        process: backend.process.as_ref().map(Process::id),
    }
}
