//! The deployment that is measured, and what is asked of it.

use std::net::SocketAddr;

use ridgeworks_domain::{ProgramName, ServiceName};

use super::command::BenchError;
use super::node_process::NodeProcess;
use crate::client::{CallerClient, ClientSettings};
use crate::cluster::Cluster;
use crate::load::{DirectTarget, SystemTarget};

/// A model service and a program that may use it.
#[derive(Debug, Clone)]
pub struct Subject {
    /// The service.
    pub service: ServiceName,
    /// The program.
    pub program: ProgramName,
    /// Token of the program's partner.
    token: String,
}

/// The deployment that is measured.
pub struct Deployment {
    /// The service whose engines are fast.
    fast: Subject,
    /// The service whose engines hold streams open.
    pub slow: Subject,
    engines: Vec<SocketAddr>,
    nodes: Vec<SocketAddr>,
    processes: Vec<NodeProcess>,
}

impl Deployment {
    /// Takes the first service of the preset as the fast one and the second as the slow one.
    pub fn new(cluster: &Cluster) -> Result<Self, BenchError> {
        let summary = cluster.summary();
        let fast = subject(cluster, 0)?;
        let engines = summary.backends.iter();
        let engines = engines.filter(|backend| backend.service == fast.service.as_str());
        let processes = summary.nodes.iter().filter_map(|node| node.process);
        Ok(Self {
            engines: engines.map(|backend| backend.address).collect(),
            fast,
            slow: subject(cluster, 1)?,
            nodes: cluster.node_addresses(),
            processes: processes.map(|id| NodeProcess { id }).collect(),
        })
    }

    /// The fast engines.
    pub fn direct_target(&self) -> DirectTarget {
        DirectTarget::new(self.engines.clone(), self.fast.service.clone())
    }

    /// The way to the fast engines through the first node.
    pub fn system_target(&self) -> SystemTarget {
        SystemTarget {
            client: self.client_of_first_node(&self.fast),
            program: self.fast.program.clone(),
            service: self.fast.service.clone(),
        }
    }

    /// A caller that sends everything to the first node.
    pub fn client_of_first_node(&self, subject: &Subject) -> CallerClient {
        let first = self.nodes.iter().take(1).copied();
        let settings = ClientSettings::new(first.collect(), &subject.token);
        CallerClient::new(settings)
    }

    /// The processes of all nodes.
    pub fn node_processes(&self) -> &[NodeProcess] {
        &self.processes
    }

    /// The process of the first node.
    pub fn first_node_process(&self) -> Result<NodeProcess, BenchError> {
        let first = self.processes.first().copied();
        first.ok_or(BenchError::NothingToMeasure)
    }
}

fn subject(cluster: &Cluster, index: usize) -> Result<Subject, BenchError> {
    let preset = cluster.preset();
    let backends = preset.backends.get(index);
    let service = &backends.ok_or(BenchError::NothingToMeasure)?.service;
    let program = preset.program_with(service);
    let program = program.ok_or(BenchError::NothingToMeasure)?;
    Ok(Subject {
        service: ServiceName::new(service.as_str())?,
        program: ProgramName::new(program.name.as_str())?,
        token: cluster.token_of(&program.partner)?.token.clone(),
    })
}
