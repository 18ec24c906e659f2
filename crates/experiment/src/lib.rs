//! Scheduling experiments under virtual time.
//!
//! The same dispatcher as the daemon's places the calls of seeded programs on a model of engines.
//! [`run`] compares policies over presets, loads and seeds, and writes tables and plots.

pub mod agenda;
pub mod agent;
mod behaviour;
pub mod context_cache;
pub mod engine;
mod engine_side;
pub mod error;
pub mod law;
pub mod measures;
mod naming;
pub mod output;
pub mod plot;
pub mod policies;
pub mod script;
pub mod simulation;
pub mod statistics;
pub mod summary;
pub mod workload;

use std::ops::Range;
use std::path::PathBuf;
use std::sync::Mutex;

pub use error::ExperimentError;
pub use measures::Figures;
use ridgeworks_scheduling::{Dispatcher, DispatcherSettings};
use simulation::Simulation;
use summary::{Cell, Summary};
use workload::Workload;

const NEUTRAL_WEIGHT: u8 = 50;

/// Options of the experiment command.
#[derive(Debug, Clone, clap::Args)]
pub struct Args {
    /// Presets: kalahari, serra-branca, burst, scale, held-out.
    #[arg(long, value_delimiter = ',', default_value = "kalahari")]
    pub preset: Vec<String>,
    /// A workload file, instead of presets.
    #[arg(long)]
    pub workload: Option<PathBuf>,
    /// Policies to compare; `all` for every one.
    #[arg(
        long,
        value_delimiter = ',',
        default_value = "ridgeworks,round-robin,least-loaded,prefix-sticky,least-attained"
    )]
    pub policy: Vec<String>,
    /// Number of seeds.
    #[arg(long, default_value_t = 5)]
    pub seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    pub first_seed: u64,
    /// Take the deadlines of all programs away.
    #[arg(long)]
    pub without_deadlines: bool,
    /// Give every partner this weight of latency against wasted cache, 0 to 100.
    #[arg(long, value_parser = clap::value_parser!(u8).range(0..=100))]
    pub latency_weight: Option<u8>,
    /// Offered loads, 1.0 being all that the engines can do.
    #[arg(long, value_delimiter = ',', default_value = "0.4,0.8,1.1")]
    pub offered_load: Vec<f64>,
    /// Directory for tables, plots and the summary.
    #[arg(long)]
    pub output: PathBuf,
    /// Most simulations at a time.
    #[arg(long, default_value_t = 4)]
    pub threads: usize,
}

#[derive(Debug, Clone)]
struct Task {
    workload: usize,
    policy: String,
    offered_load: f64,
    seed: u64,
}

/// Runs an experiment, prints its table and writes its files.
pub fn run(arguments: &Args) -> Result<Summary, ExperimentError> {
    let summary = measure(arguments)?;
    output::print(&summary);
    output::write(&arguments.output, &summary)?;
    Ok(summary)
}

/// Runs an experiment without writing anything.
pub fn measure(arguments: &Args) -> Result<Summary, ExperimentError> {
    let mut workloads = workloads(arguments)?;
    for workload in &mut workloads {
        change(workload, arguments);
    }
    let policies = policy_names(arguments);
    let tasks = tasks(&workloads, &policies, arguments);
    let figures = run_tasks(&workloads, &tasks, arguments.threads)?;
    let seeds = arguments.seeds.max(1) as usize;
    let groups = tasks.chunks(seeds).zip(figures.chunks(seeds));
    let mut cells_by_workload: Vec<Vec<Cell>> = vec![Vec::new(); workloads.len()];
    for (group, figures) in groups {
        let Some(task) = group.first() else {
            continue;
        };
        let name = &workloads[task.workload].name;
        let cell = Cell::join(name, &task.policy, task.offered_load, figures);
        cells_by_workload[task.workload].push(cell);
    }
    let judged = cells_by_workload.iter().zip(&workloads);
    let goals = judged.flat_map(|(cells, workload)| summary::judge(cells, workload.network));
    Ok(Summary {
        seeds: arguments.seeds,
        goals: goals.collect(),
        cells: cells_by_workload.concat(),
    })
}

/// Runs one simulation.
pub fn simulate(
    workload: &Workload,
    policy: &str,
    offered_load: f64,
    seed: u64,
) -> Result<Figures, ExperimentError> {
    let mut partners = naming::partner_settings(workload)?;
    if policy == policies::WITHOUT_WEIGHTS {
        for partner in &mut partners {
            partner.latency_weight = NEUTRAL_WEIGHT;
        }
    }
    let settings = DispatcherSettings {
        partners,
        default_cache_tokens: workload.engines.cache_tokens,
        seed,
        ..policies::settings(policy)?
    };
    let dispatcher = Dispatcher::new(settings);
    Simulation::new(workload, dispatcher, offered_load, seed)?.run()
}

fn workloads(arguments: &Args) -> Result<Vec<Workload>, ExperimentError> {
    if let Some(path) = &arguments.workload {
        let text = std::fs::read_to_string(path).map_err(|cause| ExperimentError::File {
            path: path.clone(),
            cause,
        })?;
        return Ok(vec![Workload::parse(&text)?]);
    }
    let names = arguments.preset.iter();
    names.map(|name| Workload::preset(name)).collect()
}

fn change(workload: &mut Workload, arguments: &Args) {
    if arguments.without_deadlines {
        for program in &mut workload.programs {
            program.deadline_seconds = None;
        }
    }
    if let Some(weight) = arguments.latency_weight {
        for partner in &mut workload.partners {
            partner.latency_weight = weight;
        }
    }
}

fn policy_names(arguments: &Args) -> Vec<String> {
    if arguments.policy.iter().any(|name| name == "all") {
        return policies::ALL.map(str::to_owned).to_vec();
    }
    arguments.policy.clone()
}

fn tasks(workloads: &[Workload], policies: &[String], arguments: &Args) -> Vec<Task> {
    let mut tasks = Vec::new();
    for workload in 0..workloads.len() {
        for offered_load in &arguments.offered_load {
            for policy in policies {
                for seed in seeds(arguments) {
                    tasks.push(Task {
                        workload,
                        policy: policy.clone(),
                        offered_load: *offered_load,
                        seed,
                    });
                }
            }
        }
    }
    tasks
}

fn seeds(arguments: &Args) -> Range<u64> {
    let first = arguments.first_seed;
    first..first + arguments.seeds.max(1)
}

fn run_tasks(
    workloads: &[Workload],
    tasks: &[Task],
    threads: usize,
) -> Result<Vec<Figures>, ExperimentError> {
    let next = Mutex::new(0..tasks.len());
    let work = || {
        let mut done = Vec::new();
        loop {
            let taken = next.lock().ok().and_then(|mut range| range.next());
            let Some(index) = taken else {
                return done;
            };
            let task = &tasks[index];
            let workload = &workloads[task.workload];
            let figures = simulate(workload, &task.policy, task.offered_load, task.seed);
            done.push((index, figures));
        }
    };
    let mut all = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..threads.max(1)).map(|_| scope.spawn(work)).collect();
        let joined = workers.into_iter().filter_map(|worker| worker.join().ok());
        joined.flatten().collect::<Vec<_>>()
    });
    all.sort_by_key(|(index, _)| *index);
    all.into_iter().map(|(_, figures)| figures).collect()
}
