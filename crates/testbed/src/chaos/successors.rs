//! The back ends of a run under faults: some leave for good and have a successor of another name.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use ridgeworks_history::Event;

use super::recorder::{HISTORY_SUFFIX, Recorder};
use super::schedule::ScheduledFault;
use crate::cluster::{BackendPlan, Cluster, ClusterError, PlatformControl, Process};

/// What the checkers call the end of an engine for good.
const REPLACE_FAULT: &str = "replace";
const BEFORE_LEAVING: Duration = Duration::from_millis(1_000);
const LAST_CALLS: Duration = Duration::from_secs(5);
const STOP_TIMEOUT: Duration = Duration::from_secs(10);

/// Back ends that stand, by name.
#[derive(Debug)]
pub struct Successors {
    platform: PlatformControl,
    folder: PathBuf,
    backends: BTreeMap<String, Standing>,
    started: usize,
}

#[derive(Debug)]
struct Standing {
    plan: BackendPlan,
    process: Process,
}

impl Successors {
    /// Takes over the back ends of a deployment.
    pub fn take_over(cluster: &mut Cluster, folder: &Path) -> Result<Self, ClusterError> {
        let plans: Vec<BackendPlan> = cluster.backends().cloned().collect();
        let mut backends = BTreeMap::new();
        for plan in plans {
            let name = plan.machine.name.clone();
            let process = cluster.take(&name)?;
            backends.insert(name, Standing { plan, process });
        }
        Ok(Self {
            platform: cluster.platform(),
            folder: folder.to_owned(),
            backends,
            started: 0,
        })
    }

    /// Names of those that stand.
    pub fn names(&self) -> Vec<String> {
        self.backends.keys().cloned().collect()
    }

    /// Starts a successor, announces that the machine leaves, and ends it when its last calls
    /// should be over.
    pub fn leave(
        &mut self,
        fault: &ScheduledFault,
        recorder: &Recorder,
    ) -> Result<(), ClusterError> {
        for name in &fault.targets {
            let Some(plan) = self.plan(name) else {
                continue;
            };
            recorder.write(fault.on());
            self.start_successor(&plan)?;
            thread::sleep(BEFORE_LEAVING);
            self.platform.announce_leaving(name)?;
            thread::sleep(fault.lasting.max(LAST_CALLS));
            let (fault_name, targets) = (REPLACE_FAULT.to_owned(), vec![name.clone()]);
            recorder.write(Event::FaultOn {
                fault: fault_name.clone(),
                targets: targets.clone(),
            });
            self.platform.remove(name)?;
            if let Some(standing) = self.backends.remove(name) {
                standing.process.stop(STOP_TIMEOUT)?;
            }
            recorder.write(Event::FaultOff {
                fault: fault_name,
                targets,
            });
            recorder.write(fault.off());
        }
        Ok(())
    }

    /// Kills a back end and starts it again at the same address.
    pub fn kill(
        &mut self,
        fault: &ScheduledFault,
        recorder: &Recorder,
    ) -> Result<(), ClusterError> {
        for name in &fault.targets {
            let Some(standing) = self.backends.remove(name) else {
                continue;
            };
            recorder.write(fault.on());
            standing.process.kill()?;
            thread::sleep(fault.lasting);
            let process = Process::start(&standing.plan.process)?;
            let plan = standing.plan;
            self.backends
                .insert(name.clone(), Standing { plan, process });
            recorder.write(fault.off());
        }
        Ok(())
    }

    /// Pauses a back end.
    pub fn freeze(
        &mut self,
        fault: &ScheduledFault,
        recorder: &Recorder,
    ) -> Result<(), ClusterError> {
        for name in &fault.targets {
            let Some(standing) = self.backends.get(name) else {
                continue;
            };
            recorder.write(fault.on());
            standing.process.freeze()?;
            thread::sleep(fault.lasting);
            standing.process.unfreeze()?;
            recorder.write(fault.off());
        }
        Ok(())
    }

    fn plan(&self, name: &str) -> Option<BackendPlan> {
        self.backends
            .get(name)
            .map(|standing| standing.plan.clone())
    }

    fn start_successor(&mut self, leaving: &BackendPlan) -> Result<(), ClusterError> {
        self.started += 1;
        let service = &leaving.machine.service;
        let name = format!("{service}-successor-{}", self.started);
        let mut plan = leaving.clone();
        plan.process.name = name.clone();
        plan.process.log = self.folder.join(format!("{name}.log"));
        plan.machine.name = name.clone();
        let history = self.folder.join(format!("{name}{HISTORY_SUFFIX}"));
        let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        set_flag(&mut plan, "--name", &name);
        set_flag(&mut plan, "--listen", &free.to_string());
        set_flag(&mut plan, "--history", &history.display().to_string());
        let process = Process::start(&plan.process)?;
        let address = process.ready().address;
        plan.machine.address = address;
        // A restart takes the same address.
        set_flag(&mut plan, "--listen", &address.to_string());
        self.platform.register(&plan.machine)?;
        self.backends.insert(name, Standing { plan, process });
        Ok(())
    }
}

/// Replaces the value of a flag that the plan has.
fn set_flag(plan: &mut BackendPlan, flag: &str, value: &str) {
    let arguments = &mut plan.process.arguments;
    let position = arguments.iter().position(|argument| argument == flag);
    if let Some(argument) = position.and_then(|index| arguments.get_mut(index + 1)) {
        *argument = value.to_owned();
    }
}
