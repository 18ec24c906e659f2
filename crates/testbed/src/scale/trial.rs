//! What is measured at one size, and the cuts at the largest.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::analysis::{CutWindow, Spread, Timeline};
use super::changes::{Accepted, Changes};
use super::churn::{Action, Churn, ORDINARY_DAY};
use super::cluster_processes::FULL_NODES;
use super::driver::Driver;
use super::error::ScaleError;
use super::figures::{ChangeFigures, CutFigures, Learned, SizeFigures};
use super::layout::Layout;
use super::usage::WindowFigures;

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Time after a cause in which everyone learns of it; what takes longer counts as missing.
const LEARNING_TIME: Duration = Duration::from_secs(5);
/// An observer must have run this long before a cause to be counted.
const SETTLING_TIME: Duration = Duration::from_secs(3);

impl Driver {
    /// Grows the cluster to a number of nodes and measures it.
    pub(super) fn measure(&mut self, nodes: usize) -> Result<SizeFigures, ScaleError> {
        let mut figures = SizeFigures {
            nodes,
            joined_at_once: self.arguments.joins_at_once,
            ..SizeFigures::default()
        };
        figures.join_ms = self.grow_to(nodes - FULL_NODES)?;
        self.timeline = Timeline::default();
        let window = Duration::from_secs(self.arguments.window_seconds);
        let before = self.sample()?;
        self.collect_until(Instant::now() + window)?;
        figures.quiet = WindowFigures::between(&before, &self.sample()?);
        self.measure_day(window, &mut figures)?;
        self.measure_burst(&mut figures)?;
        self.measure_rack(nodes, &mut figures)?;
        figures.verdicts = self.timeline.verdicts(&self.lives, &self.cuts);
        self.add_states(&mut figures)?;
        Ok(figures)
    }

    /// Cuts off a zone, then a region.
    pub(super) fn measure_cuts(&mut self) -> Result<Vec<CutFigures>, ScaleError> {
        let zone = self.layout.zone(&Layout::last_zone());
        let region = self.layout.region(&Layout::last_region());
        Ok(vec![
            self.measure_cut("zone", &zone)?,
            self.measure_cut("region", &region)?,
        ])
    }

    fn grow_to(&mut self, hollow_nodes: usize) -> Result<f64, ScaleError> {
        let mut longest = Duration::ZERO;
        while self.size < hollow_nodes {
            let size = hollow_nodes.min(self.size + self.arguments.joins_at_once);
            let new: Vec<usize> = (self.size..size).collect();
            self.size = size;
            self.act(Action::Start, &new)?;
            longest = longest.max(self.wait_until_joined()?);
        }
        Ok(milliseconds(longest))
    }

    fn measure_day(
        &mut self,
        window: Duration,
        figures: &mut SizeFigures,
    ) -> Result<(), ScaleError> {
        let compression = self.arguments.compression;
        let candidates: Vec<usize> = (0..self.size).collect();
        let seed = self.arguments.seed + self.size as u64;
        let churn = Churn::draw(
            ORDINARY_DAY,
            &candidates,
            figures.nodes,
            window,
            compression,
            seed,
        );
        let days = window.as_secs_f64() * f64::from(compression) / SECONDS_PER_DAY;
        let changes = (ORDINARY_DAY.changes * days).round() as usize;
        let before = self.sample()?;
        let operators = Arc::clone(&self.changes);
        let spread = thread::spawn(move || operators.spread(changes, window));
        let done = self.play(&churn)?;
        let after = self.sample()?;
        figures.day = WindowFigures::between(&before, &after);
        let accepted = spread.join().expect("operators do not panic")?;
        self.note_accepted(&accepted);
        self.wait_until_joined()?;
        let learned = |action| self.learned(&done, action);
        figures.failures = learned(Action::Fail);
        figures.departures = learned(Action::Left);
        figures.joins = learned(Action::Start);
        figures.changes = self.change_figures(&accepted);
        Ok(())
    }

    /// Carries a schedule out; answers when each step was.
    fn play(&mut self, churn: &Churn) -> Result<Vec<Done>, ScaleError> {
        let start = Instant::now();
        let mut done = Vec::with_capacity(churn.steps.len());
        for step in &churn.steps {
            self.collect_until(start + step.at)?;
            let life = self.generation(step.node);
            let at_us = self.act(step.action, &[step.node])?;
            let life = match step.action {
                Action::Start => self.generation(step.node),
                _ => life,
            };
            done.push(Done {
                node: step.node,
                action: step.action,
                life,
                at_us,
            });
        }
        Ok(done)
    }

    fn learned(&self, done: &[Done], action: Action) -> Learned {
        let causes: Vec<&Done> = done.iter().filter(|done| done.action == action).collect();
        let mut spread = Spread::default();
        for cause in &causes {
            let observers = self.observers_of(cause.at_us);
            spread.add(match action {
                Action::Start => {
                    let timeline = &self.timeline;
                    timeline.present(cause.node, cause.life, cause.at_us, &observers)
                }
                _ => {
                    let timeline = &self.timeline;
                    timeline.gone(cause.node, cause.life, cause.at_us, &observers)
                }
            });
        }
        Learned::of(causes.len(), &spread)
    }

    fn observers_of(&self, at_us: u64) -> Vec<usize> {
        let settled = at_us.saturating_sub(SETTLING_TIME.as_micros() as u64);
        self.observers(settled, at_us + LEARNING_TIME.as_micros() as u64)
    }

    fn change_figures(&self, accepted: &[Accepted]) -> ChangeFigures {
        let mut spread = Spread::default();
        let mut longest = Duration::ZERO;
        for change in accepted {
            let observers = self.observers_of(change.at_us);
            let timeline = &self.timeline;
            spread.add(timeline.in_force(change.revision, change.at_us, &observers));
            longest = longest.max(change.took);
        }
        ChangeFigures {
            answer_ms: milliseconds(longest),
            in_force: Learned::of(accepted.len(), &spread),
        }
    }

    fn measure_burst(&mut self, figures: &mut SizeFigures) -> Result<(), ScaleError> {
        self.collect_until(Instant::now() + SETTLING_TIME)?;
        let accepted = Changes::burst(&self.changes)?;
        self.note_accepted(&accepted);
        self.wait_until_joined()?;
        figures.burst = self.change_figures(&accepted);
        Ok(())
    }

    fn note_accepted(&mut self, accepted: &[Accepted]) {
        let revisions = accepted.iter().map(|change| change.revision);
        let newest = revisions.max().unwrap_or(0);
        self.accepted_revision = self.accepted_revision.max(newest);
    }

    fn measure_rack(&mut self, nodes: usize, figures: &mut SizeFigures) -> Result<(), ScaleError> {
        let rack = self.layout.rack(nodes);
        let rack: Vec<usize> = rack.into_iter().filter(|node| *node < self.size).collect();
        figures.rack_lost = self.act_together(Action::Fail, &rack)?;
        figures.rack_back = self.act_together(Action::Start, &rack)?;
        self.wait_until_joined()?;
        Ok(())
    }

    fn act_together(&mut self, action: Action, nodes: &[usize]) -> Result<Learned, ScaleError> {
        let lives: BTreeMap<usize, u64> = nodes
            .iter()
            .map(|node| (*node, self.generation(*node)))
            .collect();
        let at_us = self.act(action, nodes)?;
        self.collect_until(Instant::now() + LEARNING_TIME)?;
        let done = nodes.iter().map(|node| Done {
            node: *node,
            action,
            life: match action {
                Action::Start => self.generation(*node),
                _ => lives[node],
            },
            at_us,
        });
        Ok(self.learned(&done.collect::<Vec<_>>(), action))
    }

    fn add_states(&mut self, figures: &mut SizeFigures) -> Result<(), ScaleError> {
        let nodes = self.latest.values();
        figures.run_heads = nodes.map(|node| node.run_heads).max().unwrap_or(0);
        for node in self.latest.values() {
            figures.machines = node.machines;
            figures.suspicions += node.suspicions;
            figures.own_pauses += node.own_pauses;
            figures.leases_lapsed += node.leases_lapsed;
        }
        figures.platform_watchers = self.processes.platform_watchers()?;
        Ok(())
    }

    fn measure_cut(&mut self, what: &str, inside: &[usize]) -> Result<CutFigures, ScaleError> {
        self.timeline = Timeline::default();
        let from_us = self.cut(inside)?;
        let length = Duration::from_secs(self.arguments.cut_seconds);
        self.collect_until(Instant::now() + length)?;
        let mended_us = self.cut(&[])?;
        self.cuts.push(CutWindow {
            from_us,
            until_us: mended_us,
            nodes: inside.iter().copied().collect(),
        });
        let healed = self.wait_until_joined()?;
        let outside: Vec<usize> = (0..self.size)
            .filter(|node| !inside.contains(node))
            .collect();
        let (mut lost, mut back) = (Spread::default(), Spread::default());
        for node in inside {
            let life = self.generation(*node);
            lost.add(self.timeline.gone(*node, life, from_us, &outside));
            back.add(self.timeline.present(*node, life, mended_us, &outside));
        }
        Ok(CutFigures {
            what: what.to_owned(),
            nodes: inside.len(),
            lost: Learned::of(inside.len(), &lost),
            back: Learned::of(inside.len(), &back),
            healed_ms: milliseconds(healed),
            verdicts: self.timeline.verdicts(&self.lives, &self.cuts),
        })
    }
}

/// A step that was carried out.
struct Done {
    node: usize,
    action: Action,
    life: u64,
    at_us: u64,
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1_000.0
}
