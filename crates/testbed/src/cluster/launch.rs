//! Starts the processes of a deployment.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::backends::{BackendParts, BackendPlan, plan_all, push};
use super::binaries::Binaries;
use super::control::{PlatformControl, RelayControl};
use super::deployment::ClusterOptions;
use super::error::ClusterError;
use super::layout::{RelayUse, relay_plan};
use super::node::NodePlan;
use super::ports::Ports;
use super::process::{Process, ProcessPlan, Starting, file_error};

/// A planned process, running or not.
#[derive(Debug)]
pub(super) struct Member<Plan> {
    /// How it is started.
    pub plan: Plan,
    /// The process, while it runs.
    pub process: Option<Process>,
}

/// The relay of a deployment, and its control paths.
#[derive(Debug)]
pub(super) struct Relay {
    /// The process.
    pub process: Process,
    /// Its control paths.
    pub control: RelayControl,
}

/// How the platform is started.
pub(super) fn platform_plan(options: &ClusterOptions) -> ProcessPlan {
    let folder = &options.folder;
    let mut arguments = vec!["platform".to_owned()];
    push(&mut arguments, "--name", "platform");
    let data = folder.join("platform.data.json");
    push(&mut arguments, "--data-file", data.display());
    if options.history {
        let file = folder.join("platform.history.jsonl");
        push(&mut arguments, "--history", file.display());
    }
    ProcessPlan {
        name: "platform".to_owned(),
        program: options.binaries.testbed.clone(),
        arguments,
        log: folder.join("platform.log"),
    }
}

/// How a node is started.
pub(super) fn node_plan(binaries: &Binaries, node: &NodePlan) -> ProcessPlan {
    let mut arguments = Vec::new();
    push(&mut arguments, "--settings", node.settings_file.display());
    ProcessPlan {
        name: node.name.clone(),
        program: binaries.node.clone(),
        arguments,
        log: output_file(&node.log_file),
    }
}

/// Apart from the log, which the node writes itself.
fn output_file(log: &Path) -> PathBuf {
    log.with_extension("output")
}

/// Starts processes together, then waits for the ready line of each.
pub(super) fn start_all(
    plans: impl Iterator<Item = ProcessPlan>,
) -> Result<Vec<Process>, ClusterError> {
    let starting: Vec<Starting> = plans
        .map(|plan| Starting::spawn(&plan))
        .collect::<Result<_, _>>()?;
    starting
        .into_iter()
        .map(Starting::wait_until_ready)
        .collect()
}

/// Puts plans and their processes together.
pub(super) fn join<Plan>(plans: Vec<Plan>, processes: Vec<Process>) -> Vec<Member<Plan>> {
    let pairs = plans.into_iter().zip(processes);
    pairs
        .map(|(plan, process)| Member {
            plan,
            process: Some(process),
        })
        .collect()
}

/// Starts the back ends and enters them in the platform's list of machines.
pub(super) fn start_backends(
    options: &ClusterOptions,
    platform: SocketAddr,
    ports: &mut Ports,
) -> Result<Vec<Member<BackendPlan>>, ClusterError> {
    let parts = BackendParts {
        binaries: &options.binaries,
        folder: &options.folder,
        platform,
        history: options.history,
    };
    let plans = plan_all(&options.preset, &parts, ports)?;
    let processes = start_all(plans.iter().map(|plan| plan.process.clone()))?;
    let control = PlatformControl::new(platform);
    for plan in &plans {
        control.register(&plan.machine)?;
    }
    Ok(join(plans, processes))
}

/// Starts the relay and sets the preset's delay between zones; none where no link goes through it.
pub(super) fn start_relay(
    options: &ClusterOptions,
    nodes: &[NodePlan],
    platform: SocketAddr,
) -> Result<Option<Relay>, ClusterError> {
    if options.relay == RelayUse::None {
        return Ok(None);
    }
    let plan = relay_plan(
        &options.binaries,
        &options.folder,
        nodes,
        platform,
        options.relay,
    );
    let process = Process::start(&plan)?;
    let control = RelayControl::connect(process.ready().address)?;
    let delay = Duration::from_micros(options.preset.one_way_delay_us);
    for from in nodes {
        for to in nodes {
            if from.zone != to.zone {
                control.set_delay(&from.name, &to.name, delay)?;
            }
        }
    }
    Ok(Some(Relay { process, control }))
}

/// Removes the durable data of a node that does not run.
pub(super) fn remove_data(node: &NodePlan) -> Result<(), ClusterError> {
    let Some(folder) = &node.data_folder else {
        return Ok(());
    };
    match fs::remove_dir_all(folder) {
        Err(source) if source.kind() != std::io::ErrorKind::NotFound => {
            Err(file_error(folder, source))
        }
        _ => Ok(()),
    }
}
