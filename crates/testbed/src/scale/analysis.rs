//! What the observations say: detection, convergence and false verdicts.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use super::layout::{index_of, name_of};
use super::protocol::{Observation, SeenState};

const MICROS_PER_MILLISECOND: f64 = 1_000.0;
/// After a cut is mended, verdicts of the other side still go round for this long.
const HEALING_US: u64 = 5_000_000;
const MOST_PARTS: f64 = 0.95;

/// One life of a hollow node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Life {
    /// Its generation.
    pub generation: u64,
    /// When it was started, in microseconds of the wall clock.
    pub started_us: u64,
    /// When it failed, left or ended.
    pub ended_us: Option<u64>,
}

impl Life {
    /// Whether it ran during the whole time.
    pub fn covers(&self, from_us: u64, until_us: u64) -> bool {
        self.started_us <= from_us && self.ended_us.is_none_or(|ended| ended >= until_us)
    }
}

/// A time during which some nodes were cut off from all others.
#[derive(Debug, Clone, Default)]
pub struct CutWindow {
    /// From, in microseconds of the wall clock.
    pub from_us: u64,
    /// Until.
    pub until_us: u64,
    /// The nodes.
    pub nodes: BTreeSet<usize>,
}

/// When several nodes learned something, counted from its cause.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Times in ascending order, in milliseconds.
    #[serde(skip)]
    pub times_ms: Vec<f64>,
    /// How many never learned it.
    pub missing: usize,
}

impl Spread {
    /// Adds what other nodes, or the same ones of another cause, took.
    pub fn add(&mut self, other: Self) {
        self.times_ms.extend(other.times_ms);
        self.times_ms.sort_by(f64::total_cmp);
        self.missing += other.missing;
    }

    /// The time until this part of those that learned it had; zero where nobody did.
    pub fn quantile_ms(&self, part: f64) -> f64 {
        let last = self.times_ms.len().saturating_sub(1);
        let position = (part * self.times_ms.len() as f64).ceil() as usize;
        let position = position.saturating_sub(1).min(last);
        self.times_ms.get(position).copied().unwrap_or(0.0)
    }

    /// The time until 95% had.
    pub fn p95_ms(&self) -> f64 {
        self.quantile_ms(MOST_PARTS)
    }

    /// The time until the last had.
    pub fn all_ms(&self) -> f64 {
        self.quantile_ms(1.0)
    }
}

/// Verdicts that no end of a life explains.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Verdicts {
    /// Dead verdicts on members that ran and could be reached.
    pub false_dead: usize,
    /// Members concerned by these.
    pub members_falsely_dead: usize,
    /// Dead verdicts across a cut, or soon after it was mended.
    pub across_cuts: usize,
}

#[derive(Debug, Clone)]
struct SeenMember {
    at_us: u64,
    observer: usize,
    generation: u64,
    state: SeenState,
}

/// All observations of one size.
#[derive(Debug, Default)]
pub struct Timeline {
    members: BTreeMap<String, Vec<SeenMember>>,
    revisions: BTreeMap<usize, Vec<(u64, u64)>>,
}

impl Timeline {
    /// Adds observations. Those of one observer come in order of time.
    pub fn add(&mut self, observations: Vec<Observation>) {
        for observation in observations {
            match observation {
                Observation::Member {
                    at_us,
                    observer,
                    subject,
                    generation,
                    state,
                } => {
                    let seen = SeenMember {
                        at_us,
                        observer,
                        generation,
                        state,
                    };
                    self.members.entry(subject).or_default().push(seen);
                }
                Observation::Revision {
                    at_us,
                    observer,
                    revision,
                } => {
                    let revisions = self.revisions.entry(observer).or_default();
                    revisions.push((at_us, revision));
                }
            }
        }
    }

    /// When observers knew that a life is over: Dead, Left or followed by a later life.
    pub fn gone(&self, node: usize, life: u64, from_us: u64, observers: &[usize]) -> Spread {
        self.first(node, from_us, observers, |seen| {
            let ended = matches!(seen.state, SeenState::Dead | SeenState::Left);
            seen.generation > life || seen.generation == life && ended
        })
    }

    /// When observers saw a life, or a later one, present.
    pub fn present(&self, node: usize, life: u64, from_us: u64, observers: &[usize]) -> Spread {
        self.first(node, from_us, observers, |seen| {
            seen.generation >= life && seen.state == SeenState::Alive
        })
    }

    /// When observers had a revision, or a later one, in force.
    pub fn in_force(&self, revision: u64, from_us: u64, observers: &[usize]) -> Spread {
        let mut spread = Spread::default();
        for observer in observers {
            let seen = self.revisions.get(observer).into_iter().flatten();
            let mut newer = seen.filter(|(_, in_force)| *in_force >= revision);
            match newer.next() {
                Some((at_us, _)) => spread.times_ms.push(elapsed_ms(from_us, *at_us)),
                None => spread.missing += 1,
            }
        }
        spread.times_ms.sort_by(f64::total_cmp);
        spread
    }

    /// Judges all Dead verdicts by the lives that there were.
    pub fn verdicts(&self, lives: &BTreeMap<usize, Vec<Life>>, cuts: &[CutWindow]) -> Verdicts {
        let mut verdicts = Verdicts::default();
        let mut members = BTreeSet::new();
        for (subject, seen) in &self.members {
            let dead = seen.iter().filter(|seen| seen.state == SeenState::Dead);
            for seen in dead.filter(|seen| !had_ended(subject, seen, lives)) {
                if is_explained(subject, seen, cuts) {
                    verdicts.across_cuts += 1;
                } else {
                    verdicts.false_dead += 1;
                    members.insert(subject);
                }
            }
        }
        verdicts.members_falsely_dead = members.len();
        verdicts
    }

    fn first(
        &self,
        node: usize,
        from_us: u64,
        observers: &[usize],
        holds: impl Fn(&SeenMember) -> bool,
    ) -> Spread {
        let mut first: BTreeMap<usize, u64> = BTreeMap::new();
        let seen = self.members.get(&name_of(node)).into_iter().flatten();
        for seen in seen.filter(|seen| seen.at_us >= from_us && holds(seen)) {
            first.entry(seen.observer).or_insert(seen.at_us);
        }
        let mut spread = Spread::default();
        for observer in observers.iter().filter(|observer| **observer != node) {
            match first.get(observer) {
                Some(at_us) => spread.times_ms.push(elapsed_ms(from_us, *at_us)),
                None => spread.missing += 1,
            }
        }
        spread.times_ms.sort_by(f64::total_cmp);
        spread
    }
}

fn elapsed_ms(from_us: u64, at_us: u64) -> f64 {
    at_us.saturating_sub(from_us) as f64 / MICROS_PER_MILLISECOND
}

fn had_ended(subject: &str, seen: &SeenMember, lives: &BTreeMap<usize, Vec<Life>>) -> bool {
    let lives = index_of(subject).and_then(|index| lives.get(&index));
    let mut lives = lives.into_iter().flatten();
    let life = lives.find(|life| life.generation == seen.generation);
    let ended = life.and_then(|life| life.ended_us);
    ended.is_some_and(|ended| ended <= seen.at_us)
}

fn is_explained(subject: &str, seen: &SeenMember, cuts: &[CutWindow]) -> bool {
    let is_inside = |cut: &CutWindow, index: Option<usize>| {
        index.is_some_and(|index| cut.nodes.contains(&index))
    };
    cuts.iter().any(|cut| {
        let apart = is_inside(cut, index_of(subject)) != is_inside(cut, Some(seen.observer));
        let during = (cut.from_us..=cut.until_us).contains(&seen.at_us) && apart;
        let healing = (cut.until_us..=cut.until_us + HEALING_US).contains(&seen.at_us);
        during || healing
    })
}
