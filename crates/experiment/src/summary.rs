//! Results of an experiment: the table, and the goals met and missed.

use serde::Serialize;

use crate::measures::Figures;
use crate::policies::{BASELINES, PREFIX_STICKY, WHOLE};
use crate::statistics::Estimate;
use crate::workload::NetworkSettings;

const LIGHT_LOAD: f64 = 0.5;
const LATENCY_GOAL: f64 = 2.0;
const WASTE_GOAL: f64 = 0.5;
const MISSED_GOAL: f64 = 0.5;
const SHARE_GOAL_PERCENT: f64 = 2.0;

/// The figures of one policy at one load, over all seeds.
#[derive(Debug, Clone, Serialize)]
pub struct Cell {
    /// Preset.
    pub preset: String,
    /// Policy.
    pub policy: String,
    /// Offered load, 1.0 being all that the engines can do.
    pub offered_load: f64,
    /// Figures in the order of [`Figures::NAMES`].
    pub figures: Vec<NamedEstimate>,
}

/// A figure with its name.
#[derive(Debug, Clone, Serialize)]
pub struct NamedEstimate {
    /// Name.
    pub name: &'static str,
    /// Estimate.
    #[serde(flatten)]
    pub estimate: Estimate,
}

impl Cell {
    /// Joins the figures of all seeds.
    pub fn join(preset: &str, policy: &str, offered_load: f64, seeds: &[Figures]) -> Self {
        let rows: Vec<_> = seeds.iter().map(Figures::values).collect();
        let named = Figures::NAMES.iter().enumerate();
        let figures = named.map(|(index, name)| NamedEstimate {
            name,
            estimate: Estimate::of(rows.iter().map(|row| row[index])),
        });
        Self {
            preset: preset.to_owned(),
            policy: policy.to_owned(),
            offered_load,
            figures: figures.collect(),
        }
    }

    /// Mean of a figure.
    pub fn mean(&self, name: &str) -> Option<f64> {
        let mut named = self.figures.iter().filter(|figure| figure.name == name);
        named.next()?.estimate.mean
    }
}

/// A goal at one preset and load.
#[derive(Debug, Clone, Serialize)]
pub struct Goal {
    /// Preset.
    pub preset: String,
    /// Offered load.
    pub offered_load: f64,
    /// What is to be reached.
    pub goal: String,
    /// What was measured.
    pub measured: f64,
    /// Bound of the goal.
    pub bound: f64,
    /// Whether it was reached.
    pub met: bool,
}

/// Everything that an experiment gave.
#[derive(Debug, Clone, Serialize)]
pub struct Summary {
    /// Number of seeds.
    pub seeds: u64,
    /// Figures.
    pub cells: Vec<Cell>,
    /// Goals; only those whose baselines were run.
    pub goals: Vec<Goal>,
}

struct GoalView<'a> {
    whole: &'a Cell,
    others: Vec<&'a Cell>,
    network_millis: f64,
}

impl GoalView<'_> {
    fn best_baseline(&self, figure: &str) -> Option<f64> {
        let baselines = BASELINES.iter().map(|name| self.of(name, figure));
        let means: Option<Vec<f64>> = baselines.collect();
        means?.into_iter().reduce(f64::min)
    }

    fn of(&self, policy: &str, figure: &str) -> Option<f64> {
        let cell = self.others.iter().find(|cell| cell.policy == policy)?;
        cell.mean(figure)
    }

    fn at_least(&self, goal: &str, measured: f64, bound: f64) -> Goal {
        self.goal(goal, measured, bound, measured >= bound)
    }

    fn at_most(&self, goal: &str, measured: f64, bound: f64) -> Goal {
        self.goal(goal, measured, bound, measured <= bound)
    }

    fn goal(&self, goal: &str, measured: f64, bound: f64, met: bool) -> Goal {
        Goal {
            preset: self.whole.preset.clone(),
            offered_load: self.whole.offered_load,
            goal: goal.to_owned(),
            measured,
            bound,
            met,
        }
    }

    fn latency(&self) -> Option<Goal> {
        let ratio = self.best_baseline("latency_p95")? / self.whole.mean("latency_p95")?;
        let light = self.whole.offered_load < LIGHT_LOAD;
        let bound = if light { 1.0 } else { LATENCY_GOAL };
        Some(self.at_least("p95 latency of the best baseline / ours", ratio, bound))
    }

    fn waste(&self, figure: &str) -> Option<Goal> {
        let ratio = self.whole.mean(figure)? / self.of(PREFIX_STICKY, figure)?;
        let goal = format!("{figure}: ours / prefix-sticky's");
        Some(self.at_most(&goal, ratio, WASTE_GOAL))
    }

    fn missed(&self) -> Option<Goal> {
        let best = self.best_baseline("missed_deadlines")?;
        let ours = self.whole.mean("missed_deadlines")?;
        let goal = "missed deadlines against half of the best baseline's";
        Some(self.at_most(goal, ours, best * MISSED_GOAL))
    }

    fn urgent(&self) -> Option<Goal> {
        let bound = self.whole.mean("step_p99")? + self.network_millis;
        let wait = self.whole.mean("urgent_wait_p99")?;
        let goal = "urgent p99 wait in ms against one engine step and the network";
        Some(self.at_most(goal, wait, bound))
    }

    fn share(&self) -> Option<Goal> {
        let error = self.whole.mean("share_error")?;
        Some(self.at_most(
            "share error in percent over a minute",
            error,
            SHARE_GOAL_PERCENT,
        ))
    }

    fn all(&self) -> Vec<Goal> {
        let goals = [
            self.latency(),
            self.waste("prefilled_again"),
            self.waste("held_in_vain"),
            self.missed(),
            self.urgent(),
            self.share(),
        ];
        goals.into_iter().flatten().collect()
    }
}

/// Judges the goals at the presets and loads of `cells`.
pub fn judge(cells: &[Cell], network: NetworkSettings) -> Vec<Goal> {
    let hops = (3 * network.one_way_micros + network.durable_micros) as f64;
    let wholes = cells.iter().filter(|cell| cell.policy == WHOLE);
    let views = wholes.map(|whole| GoalView {
        whole,
        others: cells
            .iter()
            .filter(|cell| cell.offered_load == whole.offered_load)
            .collect(),
        network_millis: hops / 1.0e3,
    });
    views.flat_map(|view| view.all()).collect()
}
