//! Brings the faults of an episode about, records them and waits until their machines are up again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use ridgeworks_history::Event;

use super::links::{LinkFault, Links};
use super::recorder::Recorder;
use super::schedule::{Episode, FaultKind, ScheduledFault};
use super::status::wait_until_ready;
use super::successors::Successors;
use crate::cluster::{Cluster, ClusterError, DataFolder, NodePlan, PlatformMode, Process};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const STOP_TIMEOUT: Duration = Duration::from_secs(60);
const LOST_ANSWERS: u64 = 3;

/// A node that was not ready again in time, or a stop that failed: no check of the history sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stall {
    /// The node.
    pub node: String,
    /// What did not come about.
    pub what: StallKind,
}

/// What did not come about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StallKind {
    /// The node did not take requests again.
    NotReadyAgain,
    /// The node ended its planned stop with a failure, or did not end.
    StopFailed,
}

/// Injects faults into a deployment.
#[derive(Debug)]
pub struct Injector<'a> {
    cluster: &'a Mutex<Cluster>,
    recorder: &'a Recorder,
    race: &'a AtomicBool,
    links: Links,
    token: String,
    successors: Mutex<Successors>,
    stalls: Mutex<Vec<Stall>>,
}

impl<'a> Injector<'a> {
    /// An injector that records as `recorder` and starts races with `race`.
    pub fn new(
        cluster: &'a Mutex<Cluster>,
        recorder: &'a Recorder,
        race: &'a AtomicBool,
        links: Links,
        token: String,
        successors: Successors,
    ) -> Self {
        Self {
            cluster,
            recorder,
            race,
            links,
            token,
            successors: Mutex::new(successors),
            stalls: Mutex::default(),
        }
    }

    /// Back ends that faults may hit.
    pub fn backends(&self) -> Vec<String> {
        self.successors().names()
    }

    /// What did not come about so far.
    pub fn stalls(&self) -> Vec<Stall> {
        lock(&self.stalls).clone()
    }

    /// Injects the faults of an episode at once and waits until all are over.
    pub fn inject(&self, episode: &Episode) -> Result<(), ClusterError> {
        thread::scope(|scope| {
            let faults = episode.faults.iter();
            let threads: Vec<_> = faults
                .map(|fault| {
                    scope.spawn(move || {
                        thread::sleep(fault.offset);
                        self.inject_one(fault)
                    })
                })
                .collect();
            threads
                .into_iter()
                .try_for_each(|thread| thread.join().expect("injecting a fault does not panic"))
        })
    }

    fn inject_one(&self, fault: &ScheduledFault) -> Result<(), ClusterError> {
        match fault.kind {
            FaultKind::Kill => self.kill(fault, DataFolder::Keep),
            FaultKind::DiskLoss | FaultKind::Replace => self.kill(fault, DataFolder::Empty),
            FaultKind::Freeze => self.freeze(fault),
            FaultKind::Cut => self.links_fault(fault, LinkFault::Cut),
            FaultKind::CutOneWay => self.links_fault(fault, LinkFault::CutOutgoing),
            FaultKind::Delay => self.links_fault(fault, LinkFault::Delay(fault.delay)),
            FaultKind::PlatformDown => self.platform(fault, PlatformMode::Down),
            FaultKind::PlatformSlow => self.platform(fault, PlatformMode::Slow),
            FaultKind::LostAnswer => self.lost_answer(fault),
            FaultKind::OperatorRace => self.operator_race(fault),
            FaultKind::RollingStop => self.rolling_stop(fault),
            FaultKind::BackendLeave => self.successors().leave(fault, self.recorder),
            FaultKind::BackendKill => self.successors().kill(fault, self.recorder),
            FaultKind::BackendFreeze => self.successors().freeze(fault, self.recorder),
        }
    }

    fn kill(&self, fault: &ScheduledFault, data: DataFolder) -> Result<(), ClusterError> {
        for name in &fault.targets {
            let Some(process) = self.take_running(name) else {
                continue;
            };
            self.recorder.write(fault.on());
            process.kill()?;
            thread::sleep(fault.lasting);
            self.start_again(name, data)?;
            self.recorder.write(fault.off());
        }
        Ok(())
    }

    fn freeze(&self, fault: &ScheduledFault) -> Result<(), ClusterError> {
        self.recorder.write(fault.on());
        for name in &fault.targets {
            ignore_stopped(self.cluster().freeze(name))?;
        }
        thread::sleep(fault.lasting);
        for name in &fault.targets {
            ignore_stopped(self.cluster().unfreeze(name))?;
        }
        self.recorder.write(fault.off());
        Ok(())
    }

    fn links_fault(&self, fault: &ScheduledFault, links: LinkFault) -> Result<(), ClusterError> {
        self.recorder.write(fault.on());
        self.links.set(&fault.targets, links)?;
        thread::sleep(fault.lasting);
        self.links.set(&fault.targets, LinkFault::None)?;
        self.recorder.write(fault.off());
        Ok(())
    }

    fn platform(&self, fault: &ScheduledFault, mode: PlatformMode) -> Result<(), ClusterError> {
        let platform = self.cluster().platform();
        self.recorder.write(fault.on());
        platform.set_mode(mode, fault.delay)?;
        thread::sleep(fault.lasting);
        platform.set_mode(PlatformMode::Up, Duration::ZERO)?;
        self.recorder.write(fault.off());
        Ok(())
    }

    fn lost_answer(&self, fault: &ScheduledFault) -> Result<(), ClusterError> {
        let platform = self.cluster().platform();
        self.recorder.write(fault.on());
        platform.lose_answers(LOST_ANSWERS)?;
        thread::sleep(fault.lasting);
        platform.lose_answers(0)?;
        self.recorder.write(fault.off());
        Ok(())
    }

    fn operator_race(&self, fault: &ScheduledFault) -> Result<(), ClusterError> {
        self.recorder.write(fault.on());
        self.race.store(true, Ordering::SeqCst);
        thread::sleep(fault.lasting);
        self.race.store(false, Ordering::SeqCst);
        self.recorder.write(fault.off());
        Ok(())
    }

    fn rolling_stop(&self, fault: &ScheduledFault) -> Result<(), ClusterError> {
        self.recorder.write(fault.on());
        for name in &fault.targets {
            let Some(process) = self.take_running(name) else {
                continue;
            };
            let (node, planned) = (name.clone(), true);
            self.recorder.write(Event::NodeStopping {
                node: node.clone(),
                planned,
            });
            if let Err(error) = process.stop(STOP_TIMEOUT) {
                eprintln!("{error}");
                self.stalled(name, StallKind::StopFailed);
            }
            self.recorder.write(Event::NodeStopped { node, planned });
            self.start_again(name, DataFolder::Keep)?;
        }
        self.recorder.write(fault.off());
        Ok(())
    }

    fn start_again(&self, name: &str, data: DataFolder) -> Result<(), ClusterError> {
        let node = {
            let mut cluster = self.cluster();
            cluster.start_again(name, data)?;
            let mut nodes = cluster.nodes();
            let node: Option<NodePlan> = nodes.find(|node| node.name == name).cloned();
            node.ok_or_else(|| ClusterError::NotRunning(name.to_owned()))?
        };
        if !wait_until_ready(node.listen, &self.token, READY_TIMEOUT) {
            self.stalled(name, StallKind::NotReadyAgain);
        }
        Ok(())
    }

    /// The process of a node, unless another fault has taken it.
    fn take_running(&self, name: &str) -> Option<Process> {
        self.cluster().take(name).ok()
    }

    fn stalled(&self, node: &str, what: StallKind) {
        eprintln!("{node}: {what:?}");
        let node = node.to_owned();
        lock(&self.stalls).push(Stall { node, what });
    }

    fn cluster(&self) -> MutexGuard<'_, Cluster> {
        lock(self.cluster)
    }

    fn successors(&self) -> MutexGuard<'_, Successors> {
        lock(&self.successors)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A machine that another fault took down needs no freezing.
fn ignore_stopped(result: Result<(), ClusterError>) -> Result<(), ClusterError> {
    match result {
        Err(ClusterError::NotRunning(_)) => Ok(()),
        other => other,
    }
}

impl ScheduledFault {
    /// The record of its beginning.
    pub fn on(&self) -> Event {
        Event::FaultOn {
            fault: self.kind.name().to_owned(),
            targets: self.targets.clone(),
        }
    }

    /// The record of its end.
    pub fn off(&self) -> Event {
        Event::FaultOff {
            fault: self.kind.name().to_owned(),
            targets: self.targets.clone(),
        }
    }
}
