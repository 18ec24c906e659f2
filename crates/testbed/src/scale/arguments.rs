//! Flags of `scale`, and of the processes that it starts.

use clap::Args;

/// Smallest number of nodes: the full processes and one hollow node in each region.
pub const FEWEST_NODES: usize = 12;
/// Most processes of a run, all kinds together.
const MOST_PROCESSES: usize = 200;

/// Flags of a run at growing sizes.
#[derive(Debug, Clone, Args)]
pub struct ScaleArguments {
    /// Nodes of the largest size, full processes among them.
    #[arg(long, default_value_t = 410, value_parser = parse_nodes)]
    pub nodes: usize,
    /// Smaller sizes that are measured before, for the slopes; those not below `--nodes` are left out.
    #[arg(long, value_delimiter = ',', default_value = "50,100,200")]
    pub sizes: Vec<usize>,
    /// Engines that the platform lists.
    #[arg(long, default_value_t = 2_000)]
    pub engines: usize,
    /// Idle runs that the hollow nodes with disks hold, three replicas each.
    #[arg(long, default_value_t = 640_000)]
    pub runs: usize,
    /// Processes that the hollow nodes share.
    #[arg(long, default_value_t = 12, value_parser = parse_processes)]
    pub processes: usize,
    /// Most hollow nodes that join at once.
    #[arg(long, default_value_t = 30, value_parser = parse_joins)]
    pub joins_at_once: usize,
    /// How many times faster than on an ordinary day nodes fail and are replaced.
    #[arg(long, default_value_t = 600)]
    pub compression: u32,
    /// Seconds of each measured window.
    #[arg(long, default_value_t = 12)]
    pub window_seconds: u64,
    /// Seconds that a zone and a region are cut off.
    #[arg(long, default_value_t = 5)]
    pub cut_seconds: u64,
    /// Seed of the schedule of failures and replacements.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
}

impl ScaleArguments {
    /// All sizes in ascending order, the largest last.
    pub fn all_sizes(&self) -> Vec<usize> {
        let fits = |size: &usize| (FEWEST_NODES..self.nodes).contains(size);
        let mut sizes: Vec<usize> = self.sizes.iter().copied().filter(fits).collect();
        sizes.sort_unstable();
        sizes.dedup();
        sizes.push(self.nodes);
        sizes
    }
}

/// Flags of a process of hollow nodes; its plan and commands come over its standard input.
#[derive(Debug, Clone, Copy, Args)]
pub struct HostArguments {}

fn parse_nodes(text: &str) -> Result<usize, String> {
    parse_in(text, FEWEST_NODES, 10_000)
}

fn parse_processes(text: &str) -> Result<usize, String> {
    parse_in(text, 1, MOST_PROCESSES / 2)
}

fn parse_joins(text: &str) -> Result<usize, String> {
    parse_in(text, 1, 10_000)
}

fn parse_in(text: &str, least: usize, most: usize) -> Result<usize, String> {
    let number: usize = text.parse().map_err(|_| format!("`{text}` is no number"))?;
    match (least..=most).contains(&number) {
        true => Ok(number),
        false => Err(format!("{number} is not between {least} and {most}")),
    }
}
