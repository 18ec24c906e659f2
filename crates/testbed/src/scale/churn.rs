//! The failures and replacements of an ordinary day, compressed into a window.

use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time after which another machine takes a failed one's place.
const REPAIR_TIME: Duration = Duration::from_secs(3);
/// Time that a node spends leaving.
const LEAVING_TIME: Duration = Duration::from_millis(300);
/// Time from its last word to the end of its process.
const EXIT_TIME: Duration = Duration::from_millis(100);
/// Time from the end of its process to the start of its replacement.
const BOOT_TIME: Duration = Duration::from_millis(600);

/// What happens on an ordinary day.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct DayRates {
    /// Machines that fail without a word.
    pub failures: f64,
    /// Machines that are restarted or replaced as planned.
    pub replacements: f64,
    /// Changes of configuration.
    pub changes: f64,
}

/// An ordinary day at the two-year size of [`TWO_YEAR_NODES`] nodes.
pub const ORDINARY_DAY: DayRates = DayRates {
    failures: 19.0,
    replacements: 380.0,
    changes: 1_300.0,
};
/// Nodes at the two-year size.
pub const TWO_YEAR_NODES: f64 = 410.0;

/// What happens to a hollow node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Its machine fails.
    Fail,
    /// It starts to leave.
    Leave,
    /// It has left.
    Left,
    /// Its process ends.
    Close,
    /// A new life of it starts.
    Start,
}

/// One action at its time from the start of the window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// When.
    pub at: Duration,
    /// Which node.
    pub node: usize,
    /// What.
    pub action: Action,
}

/// The schedule of a window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Churn {
    /// All steps in order of time.
    pub steps: Vec<Step>,
    /// Failures among them.
    pub failures: usize,
    /// Replacements among them.
    pub replacements: usize,
}

impl Churn {
    /// Draws a schedule. Each node is concerned once at most; at least one fails and one is replaced.
    /// Steps that belong to a failure late in the window lie after its end.
    pub fn draw(
        rates: DayRates,
        candidates: &[usize],
        all_nodes: usize,
        window: Duration,
        compression: u32,
        seed: u64,
    ) -> Self {
        let days = window.as_secs_f64() * f64::from(compression) / SECONDS_PER_DAY;
        let scale = days * all_nodes as f64 / TWO_YEAR_NODES;
        let count = |rate: f64| (rate * scale).round().max(1.0) as usize;
        let mut generator = ChaCha8Rng::seed_from_u64(seed);
        let mut nodes = candidates.to_vec();
        nodes.shuffle(&mut generator);
        let failures = count(rates.failures).min(nodes.len());
        let replacements = count(rates.replacements).min(nodes.len() - failures);
        let mut steps = Vec::new();
        for (order, node) in nodes.into_iter().take(failures + replacements).enumerate() {
            let at = window.mul_f64(generator.random::<f64>());
            match order < failures {
                true => fail(&mut steps, at, node),
                false => replace(&mut steps, at, node),
            }
        }
        steps.sort_by_key(|step| step.at);
        Self {
            steps,
            failures,
            replacements,
        }
    }
}

fn fail(steps: &mut Vec<Step>, at: Duration, node: usize) {
    push(steps, at, node, Action::Fail);
    push(steps, at + REPAIR_TIME, node, Action::Start);
}

fn replace(steps: &mut Vec<Step>, at: Duration, node: usize) {
    push(steps, at, node, Action::Leave);
    let left_at = at + LEAVING_TIME;
    push(steps, left_at, node, Action::Left);
    let closed_at = left_at + EXIT_TIME;
    push(steps, closed_at, node, Action::Close);
    push(steps, closed_at + BOOT_TIME, node, Action::Start);
}

fn push(steps: &mut Vec<Step>, at: Duration, node: usize, action: Action) {
    steps.push(Step { at, node, action });
}
