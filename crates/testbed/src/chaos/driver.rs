//! Starts everything, lets faults happen for the asked time, and ends everything in order.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, Once, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::v1::object::Specification;

use super::arguments::ChaosArguments;
use super::call::Waiting;
use super::client::{Client, ClientPlan};
use super::error::ChaosError;
use super::injector::{Injector, Stall};
use super::links::Links;
use super::operators::{Operator, OperatorPlan};
use super::outcome::ChaosOutcome;
use super::recorder::Recorder;
use super::schedule::{FaultKind, NodeSite, Schedule};
use super::status;
use super::successors::Successors;
use super::tally::Tally;
use super::workload::{Workload, add_tight_program};
use crate::cluster::{
    Binaries, Cluster, ClusterError, ClusterOptions, NodePlan, Preset, RelayUse, exit_on_signal,
};
use crate::cluster_command::WorkingFolder;

pub(super) const EXIT_CLEAN: u8 = 0;
pub(super) const EXIT_VIOLATIONS: u8 = 1;
pub(super) const EXIT_FAILED: u8 = 2;
static EXIT_ON_SIGNAL: Once = Once::new();
const DRIVER: &str = "driver";
/// Load before the first fault and after the last one.
const QUIET_TIME: Duration = Duration::from_secs(3);
/// Time after the last client in which engines must release the contexts of ended runs.
const RELEASE_TIME: Duration = Duration::from_millis(11_500);
const STOP_TIMEOUT: Duration = Duration::from_secs(20);

/// Carries a run out, prints what it shows and gives the exit code: 0 where everything held, 1
/// where something did not, 2 where the run could not be carried out.
pub fn run(arguments: &ChaosArguments) -> u8 {
    match carry_out(arguments) {
        Ok(outcome) if outcome.is_clean() => EXIT_CLEAN,
        Ok(_) => EXIT_VIOLATIONS,
        Err(error) => {
            eprintln!("{error}");
            EXIT_FAILED
        }
    }
}

/// Carries a run out and prints what it shows.
pub(super) fn carry_out(arguments: &ChaosArguments) -> Result<ChaosOutcome, ChaosError> {
    EXIT_ON_SIGNAL.call_once(|| {
        // Without a handler an interruption leaves the processes behind; the run itself is the same.
        if let Err(error) = exit_on_signal() {
            eprintln!("{error}");
        }
    });
    let folder = WorkingFolder::make(arguments.folder.as_deref())?;
    let preset = arguments.preset.load().map_err(ClusterError::from)?;
    let cluster = Cluster::start(ClusterOptions {
        preset,
        binaries: Binaries::beside_this_one()?,
        folder: folder.path().to_owned(),
        relay: RelayUse::All,
        history: true,
    })?;
    let stalls = under_faults(arguments, cluster, folder.path())?;
    let seed = arguments.seed;
    let outcome = ChaosOutcome::judge(folder.path(), &arguments.history, seed, stalls)?;
    outcome.print()?;
    Ok(outcome)
}

fn under_faults(
    arguments: &ChaosArguments,
    mut cluster: Cluster,
    folder: &Path,
) -> Result<Vec<Stall>, ChaosError> {
    let recorder = Recorder::open(folder, DRIVER)?;
    let nodes: Vec<NodePlan> = cluster.nodes().cloned().collect();
    let cast = Cast::new(arguments, &cluster, folder)?;
    let token = cast.token.clone();
    // The configuration comes into force within seconds on all nodes.
    thread::sleep(QUIET_TIME);
    let links = links(&cluster, nodes.clone())?;
    let successors = Successors::take_over(&mut cluster, folder)?;
    let cluster = Mutex::new(cluster);
    let race = AtomicBool::new(false);
    let injector = Injector::new(&cluster, &recorder, &race, links, token, successors);
    let tally = Arc::clone(&cast.tally);
    let result = cast.play(&recorder, &nodes, &race, || {
        inject(arguments, &nodes, &injector)
    });
    println!("requests without an answer, by cause:\n{tally}");
    let stalls = injector.stalls();
    drop(injector);
    result?;
    let cluster = cluster.into_inner().unwrap_or_else(PoisonError::into_inner);
    if let Err(error) = cluster.shut_down(STOP_TIMEOUT) {
        eprintln!("after the run: {error}");
    }
    Ok(stalls)
}

/// Injects faults for the asked time.
fn inject(
    arguments: &ChaosArguments,
    nodes: &[NodePlan],
    injector: &Injector<'_>,
) -> Result<(), ClusterError> {
    let sites = nodes.iter().map(|node| NodeSite {
        name: node.name.clone(),
        zone: node.zone.clone(),
        has_disk: node.data_folder.is_some(),
    });
    let combinations = arguments.faults.0.clone();
    let mut schedule = Schedule::new(arguments.seed, combinations, sites.collect());
    thread::sleep(QUIET_TIME);
    let deadline = Instant::now() + Duration::from_secs(arguments.seconds);
    let asked = arguments
        .rounds
        .map(|rounds| rounds as usize * arguments.faults.0.len());
    let mut done = 0;
    while asked.map_or(Instant::now() < deadline, |asked| done < asked) {
        done += 1;
        match schedule.next_episode(&injector.backends()) {
            Some(episode) => {
                thread::sleep(episode.pause);
                injector.inject(&episode)?;
            }
            None => thread::sleep(deadline.saturating_duration_since(Instant::now())),
        }
    }
    thread::sleep(QUIET_TIME);
    Ok(())
}

fn links(cluster: &Cluster, nodes: Vec<NodePlan>) -> Result<Links, ChaosError> {
    let relay = cluster.relay().cloned();
    let relay = relay.ok_or_else(|| ClusterError::NotRunning("relay".to_owned()))?;
    let between_zones = Duration::from_micros(cluster.preset().one_way_delay_us);
    Ok(Links::new(relay, nodes, between_zones))
}

/// Clients and operators of all partners.
struct Cast {
    clients: Vec<Client>,
    operators: Vec<Operator>,
    watchers: Vec<Recorder>,
    token: String,
    tally: Arc<Tally>,
}

impl Cast {
    fn new(
        arguments: &ChaosArguments,
        cluster: &Cluster,
        folder: &Path,
    ) -> Result<Self, ChaosError> {
        let mut cast = Self {
            clients: Vec::new(),
            operators: Vec::new(),
            watchers: Vec::new(),
            token: String::new(),
            tally: Arc::default(),
        };
        let partners: Vec<String> = cluster.tokens().iter().map(|t| t.partner.clone()).collect();
        for partner in &partners {
            cast.add_partner(arguments, cluster, folder, partner, &partners)?;
        }
        for node in cluster.nodes() {
            let name = format!("{DRIVER}-{}", node.name);
            cast.watchers.push(Recorder::open(folder, &name)?);
        }
        Ok(cast)
    }

    fn add_partner(
        &mut self,
        arguments: &ChaosArguments,
        cluster: &Cluster,
        folder: &Path,
        partner: &str,
        partners: &[String],
    ) -> Result<(), ChaosError> {
        let nodes: Vec<SocketAddr> = cluster.nodes().map(|node| node.listen).collect();
        let token = cluster.token_of(partner)?.token.clone();
        let workload = Workload::of_partner(cluster.preset(), partner);
        let mut workload = workload.ok_or(ChaosError::NoProgram)?;
        let class = first_class(cluster.preset(), partner).ok_or(ChaosError::NoProgram)?;
        add_tight_program(&mut workload, &class, &nodes, cluster.token_of(partner)?)?;
        for index in 0..arguments.clients {
            let plan = ClientPlan {
                name: format!("{partner}-client-{index}"),
                seed: self.seed(arguments),
                nodes: nodes.clone(),
                token: token.clone(),
                workload: workload.clone(),
                waiting: waiting(arguments),
            };
            self.clients
                .push(Client::new(plan, folder, Arc::clone(&self.tally))?);
        }
        let mut ordered = partners.to_vec();
        ordered.sort_by_key(|name| name != partner);
        for index in 0..arguments.operators {
            let plan = OperatorPlan {
                name: format!("{partner}-operator-{index}"),
                seed: self.seed(arguments),
                nodes: nodes.clone(),
                token: token.clone(),
                workload: workload.clone(),
                class: class.clone(),
                partners: ordered.clone(),
            };
            self.operators.push(Operator::new(plan, folder)?);
        }
        self.token = token;
        Ok(())
    }

    fn seed(&self, arguments: &ChaosArguments) -> u64 {
        let started = self.clients.len() + self.operators.len();
        arguments.seed.wrapping_mul(1_000) + started as u64 + 1
    }

    /// Lets everybody work while `faults` goes on, then ends clients and, later, status reads.
    fn play(
        mut self,
        recorder: &Recorder,
        nodes: &[NodePlan],
        race: &AtomicBool,
        faults: impl FnOnce() -> Result<(), ClusterError>,
    ) -> Result<(), ChaosError> {
        let (stop, stop_watching) = (AtomicBool::new(false), AtomicBool::new(false));
        let (stop, stop_watching) = (&stop, &stop_watching);
        let started_us = recorder.now_us();
        thread::scope(|scope| {
            for (node, watcher) in nodes.iter().zip(&self.watchers) {
                let token = &self.token;
                scope.spawn(move || {
                    status::watch(&node.name, node.listen, token, watcher, stop_watching);
                });
            }
            let mut threads = Vec::new();
            for client in &mut self.clients {
                threads.push(scope.spawn(move || client.work(stop)));
            }
            for operator in &mut self.operators {
                threads.push(scope.spawn(move || operator.work(stop, race)));
            }
            let result = faults();
            stop.store(true, Ordering::SeqCst);
            for thread in threads {
                thread.join().expect("clients and operators do not panic");
            }
            let worked_us = recorder.now_us() - started_us;
            eprintln!("clients worked for {} ms", worked_us / 1_000);
            thread::sleep(RELEASE_TIME);
            stop_watching.store(true, Ordering::SeqCst);
            result.map_err(ChaosError::from)
        })
    }
}

/// Where nodes stop as planned and nothing else fails, only the system may end a request: clients
/// that lose patience would be taken for broken requests.
fn waiting(arguments: &ChaosArguments) -> Waiting {
    let mut kinds = arguments.faults.0.iter().flatten();
    let stops = |kind: &FaultKind| *kind == FaultKind::RollingStop;
    if arguments.faults.0.len() == 1 && kinds.all(stops) {
        Waiting::Patient
    } else {
        Waiting::Impatient
    }
}

fn first_class(preset: &Preset, partner: &str) -> Option<String> {
    preset.objects.iter().find_map(|object| {
        let metadata = object.metadata.as_ref()?;
        let is_class = matches!(object.specification, Some(Specification::PriorityClass(_)));
        (is_class && metadata.partner == partner).then(|| metadata.name.clone())
    })
}
