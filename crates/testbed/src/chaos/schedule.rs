//! Which faults hit what, for how long and in which order: a function of the seed.
//!
//! What the schedule assumes, for the system to stay available (safety must hold without it): faults
//! of one episode hit different machines; at most one of them loses a disk; the next episode begins
//! only after every machine of the one before is up again and [`PAUSE_AFTER_LOSS`] has passed after a
//! lost disk.

use std::time::Duration;

use rand::seq::{IndexedRandom, SliceRandom};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Pause after an episode that lost a disk, for replicas to be copied.
pub const PAUSE_AFTER_LOSS: Duration = Duration::from_secs(8);
/// Longest offset between the faults of an episode.
const LONGEST_OFFSET_MS: u64 = 700;

/// A kind of fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, clap::ValueEnum)]
pub enum FaultKind {
    /// SIGKILL of a node, and a restart after a while.
    Kill,
    /// SIGSTOP of a node.
    Freeze,
    /// No bytes from or to a node or zone.
    Cut,
    /// No bytes from a node or zone; those to it pass.
    CutOneWay,
    /// Slow links of a node or zone.
    Delay,
    /// The platform gives no answer.
    PlatformDown,
    /// The platform answers late.
    PlatformSlow,
    /// The platform's next changes take effect without an answer.
    LostAnswer,
    /// All operators change the same objects without a pause.
    OperatorRace,
    /// SIGKILL of a node, and a restart at once without its data.
    DiskLoss,
    /// SIGKILL of a node, and an empty machine after a longer while.
    Replace,
    /// SIGTERM of all nodes, one after the other.
    RollingStop,
    /// A back end leaves for good, with a successor.
    BackendLeave,
    /// SIGKILL of a back end, and a restart after a while.
    BackendKill,
    /// SIGSTOP of a back end.
    BackendFreeze,
}

impl FaultKind {
    /// Name in the history.
    pub fn name(self) -> &'static str {
        match self {
            Self::Kill => "kill",
            Self::Freeze => "freeze",
            Self::Cut => "cut",
            Self::CutOneWay => "cut-one-way",
            Self::Delay => "delay",
            Self::PlatformDown => "platform-down",
            Self::PlatformSlow => "platform-slow",
            Self::LostAnswer => "lost-answer",
            Self::OperatorRace => "operator-race",
            Self::DiskLoss => "disk-loss",
            Self::Replace => "replace",
            Self::RollingStop => "rolling-stop",
            Self::BackendLeave => "backend-leave",
            // The checkers know an engine's end and pause by these names.
            Self::BackendKill => "kill",
            Self::BackendFreeze => "freeze",
        }
    }

    /// Shortest and longest time that it lasts, in milliseconds.
    fn range_ms(self) -> (u64, u64) {
        match self {
            Self::Kill | Self::BackendKill => (200, 3_000),
            Self::Freeze | Self::BackendFreeze => (300, 5_000),
            Self::Cut | Self::CutOneWay => (1_000, 8_000),
            Self::Delay | Self::PlatformSlow => (2_000, 6_000),
            Self::PlatformDown => (2_000, 12_000),
            Self::LostAnswer | Self::OperatorRace => (2_000, 4_000),
            Self::DiskLoss => (0, 300),
            Self::Replace => (3_000, 8_000),
            Self::RollingStop => (0, 1),
            Self::BackendLeave => (4_500, 6_000),
        }
    }

    fn loses_disk(self) -> bool {
        matches!(self, Self::DiskLoss | Self::Replace)
    }
}

/// A node, as the schedule needs to know it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct NodeSite {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Whether it holds replicas.
    pub has_disk: bool,
}

/// One fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScheduledFault {
    /// Its kind.
    pub kind: FaultKind,
    /// The machines that it hits; empty where it hits none in particular.
    pub targets: Vec<String>,
    /// When it begins, from the start of its episode.
    pub offset: Duration,
    /// How long it lasts.
    pub lasting: Duration,
    /// How much it delays, where it does.
    pub delay: Duration,
}

/// Faults that are on at once.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Episode {
    /// The faults.
    pub faults: Vec<ScheduledFault>,
    /// Quiet time before it, counted from the recovery of the one before.
    pub pause: Duration,
}

/// Draws episodes without end.
#[derive(Debug)]
pub struct Schedule {
    random: ChaCha8Rng,
    combinations: Vec<Vec<FaultKind>>,
    next: usize,
    nodes: Vec<NodeSite>,
    lost_disk: bool,
}

impl Schedule {
    /// A schedule that goes through the combinations in an order of the seed, again and again.
    pub fn new(seed: u64, mut combinations: Vec<Vec<FaultKind>>, nodes: Vec<NodeSite>) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        combinations.shuffle(&mut random);
        Self {
            random,
            combinations,
            next: 0,
            nodes,
            lost_disk: false,
        }
    }

    /// The next episode; none where there are no faults. `backends` are those that stand now.
    pub fn next_episode(&mut self, backends: &[String]) -> Option<Episode> {
        let count = self.combinations.len();
        let kinds = self.combinations.get(self.next % count.max(1))?.clone();
        self.next += 1;
        let pause = Duration::from_millis(self.random.random_range(800..2_500));
        let pause = if self.lost_disk {
            pause + PAUSE_AFTER_LOSS
        } else {
            pause
        };
        let mut hit = Vec::new();
        let faults: Vec<ScheduledFault> = kinds
            .iter()
            .filter_map(|kind| self.fault(*kind, &mut hit, backends))
            .collect();
        self.lost_disk = kinds.iter().any(|kind| kind.loses_disk());
        Some(Episode { faults, pause })
    }

    /// Draws a fault whose targets are not among `hit`, and adds them there.
    fn fault(
        &mut self,
        kind: FaultKind,
        hit: &mut Vec<String>,
        backends: &[String],
    ) -> Option<ScheduledFault> {
        let targets = self.targets(kind, hit, backends)?;
        hit.extend(targets.iter().cloned());
        let (shortest, longest) = kind.range_ms();
        let lasting = self.random.random_range(shortest..=longest);
        let offset = self.random.random_range(0..LONGEST_OFFSET_MS);
        let delay = match kind {
            FaultKind::PlatformSlow => self.random.random_range(100..1_500),
            _ => self.random.random_range(10..250),
        };
        Some(ScheduledFault {
            kind,
            targets,
            offset: Duration::from_millis(offset),
            lasting: Duration::from_millis(lasting),
            delay: Duration::from_millis(delay),
        })
    }

    fn targets(
        &mut self,
        kind: FaultKind,
        hit: &[String],
        backends: &[String],
    ) -> Option<Vec<String>> {
        match kind {
            FaultKind::PlatformDown
            | FaultKind::PlatformSlow
            | FaultKind::LostAnswer
            | FaultKind::OperatorRace => Some(Vec::new()),
            FaultKind::RollingStop => {
                let mut names: Vec<String> = self.nodes.iter().map(|n| n.name.clone()).collect();
                names.shuffle(&mut self.random);
                Some(names)
            }
            FaultKind::BackendLeave | FaultKind::BackendKill | FaultKind::BackendFreeze => {
                let free: Vec<&String> = backends.iter().filter(|b| !hit.contains(b)).collect();
                let backend = free.choose(&mut self.random)?;
                Some(vec![(*backend).clone()])
            }
            FaultKind::Cut | FaultKind::CutOneWay | FaultKind::Delay
                if self.random.random_bool(0.5) =>
            {
                Some(self.zone())
            }
            _ => self.node(kind.loses_disk(), hit),
        }
    }

    fn zone(&mut self) -> Vec<String> {
        let node = self.nodes.choose(&mut self.random);
        let zone = node.map(|node| node.zone.clone());
        let nodes = self.nodes.iter();
        nodes
            .filter(|node| Some(&node.zone) == zone.as_ref())
            .map(|node| node.name.clone())
            .collect()
    }

    fn node(&mut self, with_disk: bool, hit: &[String]) -> Option<Vec<String>> {
        let fitting: Vec<&NodeSite> = self
            .nodes
            .iter()
            .filter(|node| (!with_disk || node.has_disk) && !hit.contains(&node.name))
            .collect();
        let node = fitting.choose(&mut self.random)?;
        Some(vec![node.name.clone()])
    }
}
