//! Gateways that send one request at the same time, at replicas of which each asks a majority, in any order of messages, and of
//! which any may be gone at any moment.

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_records::{
    EndCertainty, EngineEnd, EngineEnds, EngineRun, LedgerEntry, MARK_ENTRY, MAX_ENGINE_ENDS,
    PERMIT_ENTRY, ProgramLedger, RequestDigest, SendVerdict, TurnId,
};

const DIGEST: RequestDigest = RequestDigest(7);
const REPLICAS: usize = 3;
const MAJORITY: usize = 2;
const GATEWAYS: usize = 7;
const SCHEDULES: u64 = 20_000;
/// Sends that a gateway makes unless it is refused, like attempts and tries.
const MAX_SENDS: u32 = 3;
const DEATH_PROBABILITY: f64 = 0.03;

/// What a gateway does next. Each write goes to one replica a step.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Permit,
    ReadAgain,
    Mark,
    Settle,
    Done,
}

struct Gateway {
    number: usize,
    sends: u32,
    stage: Stage,
    /// Replicas that are still to be written in this stage, of a majority.
    pending: Vec<usize>,
    seen: ProgramLedger,
}

impl Gateway {
    fn turn(&self) -> TurnId {
        TurnId::of(None, &format!("try-{}", self.number))
    }

    fn permit(&self) -> TurnId {
        self.turn().permit(self.sends, DIGEST)
    }

    fn mark(&self) -> TurnId {
        TurnId::of_engine_end(&EngineEnd {
            digest: DIGEST,
            run: EngineRun(1_000 * self.number as u64 + u64::from(self.sends)),
            certainty: EndCertainty::Known,
            at_s: 1,
            turn: self.permit(),
        })
    }

    fn entry(&self) -> (TurnId, LedgerEntry) {
        match self.stage {
            Stage::Permit | Stage::ReadAgain => (self.permit(), PERMIT_ENTRY),
            Stage::Mark => (self.mark(), MARK_ENTRY),
            Stage::Settle | Stage::Done => (self.permit(), MARK_ENTRY),
        }
    }

    fn enter(&mut self, stage: Stage, random: &mut ChaCha8Rng) {
        let mut replicas: Vec<usize> = (0..REPLICAS).collect();
        replicas.shuffle(random);
        replicas.truncate(MAJORITY);
        self.pending = replicas;
        self.stage = stage;
        self.seen = ProgramLedger::default();
    }

    fn ends(&self) -> EngineEnds {
        self.seen.engine_ends(DIGEST, &self.turn())
    }
}

/// Plays one schedule, in which each engine that is sent to ends, and returns how many do.
fn play(seed: u64, reads_again: bool) -> usize {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas = vec![ProgramLedger::default(); REPLICAS];
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|number| Gateway {
            number,
            sends: 1,
            stage: Stage::Permit,
            pending: Vec::new(),
            seen: ProgramLedger::default(),
        })
        .collect();
    for gateway in &mut gateways {
        gateway.enter(Stage::Permit, &mut random);
    }
    let mut ends = 0;
    while gateways.iter().any(|gateway| gateway.stage != Stage::Done) {
        let gateway = &mut gateways[random.random_range(0..GATEWAYS)];
        if gateway.stage == Stage::Done {
            continue;
        }
        if random.random_bool(DEATH_PROBABILITY) {
            gateway.stage = Stage::Done;
            continue;
        }
        if let Some(replica) = gateway.pending.pop() {
            let (key, entry) = gateway.entry();
            replicas[replica].merge_entry(&key, entry);
            gateway.seen.merge_ledger(&replicas[replica]);
            continue;
        }
        let found = gateway.ends();
        match gateway.stage {
            Stage::Permit if reads_again && !found.is_clear() => {
                gateway.enter(Stage::ReadAgain, &mut random);
            }
            Stage::Permit | Stage::ReadAgain => {
                if found.verdict() == SendVerdict::Permitted {
                    ends += 1;
                    gateway.enter(Stage::Mark, &mut random);
                } else {
                    gateway.enter(Stage::Settle, &mut random);
                    gateway.sends = MAX_SENDS;
                }
            }
            Stage::Mark => {
                gateway.sends += 1;
                let next = if gateway.sends > MAX_SENDS {
                    Stage::Done
                } else {
                    Stage::Permit
                };
                gateway.enter(next, &mut random);
            }
            Stage::Settle | Stage::Done => gateway.stage = Stage::Done,
        }
    }
    ends
}

#[test]
fn in_no_order_of_messages_do_more_than_three_engines_end() {
    for seed in 0..SCHEDULES {
        let ends = play(seed, true);
        assert!(ends <= MAX_ENGINE_ENDS, "seed {seed}: {ends}");
    }
}

#[test]
fn without_reading_again_more_than_three_engines_end_in_some_order() {
    let most = (0..SCHEDULES).map(|seed| play(seed, false)).max();
    assert!(most > Some(MAX_ENGINE_ENDS), "{most:?}");
}
