//! Turns of one program that reserve at the same time, at replicas of which each asks a majority, in any order of messages.

use quickcheck::quickcheck;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_records::{LedgerEntry, ProgramLedger, TurnAdmission, TurnId};

const REPLICAS: usize = 3;
const MAJORITY: usize = 2;
const TURNS: usize = 8;
const MOST: u64 = 80;
const SCHEDULES: u64 = 10_000;
/// Steps after as many turns are admitted as the budget holds, in which no further one may be.
const STEPS_AFTER: u32 = 100;
/// Steps for which a turn sleeps at most after it has withdrawn its reservation for the first time; each time it may be as many more.
const MAX_SLEEP: u32 = 60;
/// Reservations that a turn makes before it gives up.
const MAX_ROUNDS: u32 = 60;

fn open() -> LedgerEntry {
    LedgerEntry {
        reserved_tokens: MOST,
        spent: None,
    }
}

fn spent(tokens: u64) -> LedgerEntry {
    LedgerEntry {
        spent: Some(tokens),
        ..open()
    }
}

fn turn(number: usize) -> TurnId {
    TurnId::of(None, &format!("turn-{number}"))
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Stage {
    Reserve,
    ReadAgain,
    Withdraw,
    Admitted,
    GaveUp,
}

struct Turn {
    number: usize,
    round: u32,
    stage: Stage,
    /// Steps for which it does nothing.
    sleep: u32,
    /// Replicas that are still to be written in this stage, of a majority.
    pending: Vec<usize>,
    seen: ProgramLedger,
}

impl Turn {
    fn key(&self) -> TurnId {
        turn(self.number).at_try(self.round, ridgeworks_records::RequestDigest(1), None)
    }

    fn enter(&mut self, stage: Stage, random: &mut ChaCha8Rng) {
        let mut replicas: Vec<usize> = (0..REPLICAS).collect();
        replicas.shuffle(random);
        replicas.truncate(MAJORITY);
        self.pending = replicas;
        self.stage = stage;
        self.seen = ProgramLedger::default();
    }

    fn needs_second_reading(&self, budget: u64) -> bool {
        self.seen
            .needs_second_reading(&turn(self.number), MOST, budget)
    }

    fn is_reserving(&self) -> bool {
        matches!(self.stage, Stage::Reserve | Stage::ReadAgain)
    }

    fn on_reserved(&mut self, budget: u64, random: &mut ChaCha8Rng) {
        match self.seen.admission(&turn(self.number), MOST, budget) {
            TurnAdmission::Admitted => self.stage = Stage::Admitted,
            TurnAdmission::Reserved { is_first: true } => self.enter(Stage::ReadAgain, random),
            _ => self.enter(Stage::Withdraw, random),
        }
    }

    fn on_withdrawn(&mut self, random: &mut ChaCha8Rng) {
        self.round += 1;
        if self.round >= MAX_ROUNDS {
            self.stage = Stage::GaveUp;
        } else {
            self.sleep = random.random_range(0..MAX_SLEEP * self.round);
            self.enter(Stage::Reserve, random);
        }
    }
}

/// Plays one schedule in which no admitted turn ends, and returns how many are admitted.
fn play(seed: u64, held: u64, reads_again: bool) -> u64 {
    let budget = held * MOST;
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut replicas = vec![ProgramLedger::default(); REPLICAS];
    let mut turns: Vec<Turn> = (0..TURNS)
        .map(|number| Turn {
            number,
            round: 0,
            stage: Stage::Reserve,
            sleep: 0,
            pending: Vec::new(),
            seen: ProgramLedger::default(),
        })
        .collect();
    for turn in &mut turns {
        turn.enter(Stage::Reserve, &mut random);
    }
    let admitted = |turns: &[Turn]| {
        let admitted = turns.iter().filter(|turn| turn.stage == Stage::Admitted);
        admitted.count() as u64
    };
    let is_done = |turn: &Turn| matches!(turn.stage, Stage::Admitted | Stage::GaveUp);
    let mut steps_after = 0;
    while steps_after < STEPS_AFTER && !turns.iter().all(is_done) {
        steps_after += u32::from(admitted(&turns) >= held);
        let turn = &mut turns[random.random_range(0..TURNS)];
        if is_done(turn) {
            continue;
        }
        if turn.sleep > 0 {
            turn.sleep -= 1;
            continue;
        }
        if let Some(replica) = turn.pending.pop() {
            let entry = if turn.is_reserving() {
                open()
            } else {
                spent(0)
            };
            let key = turn.key();
            replicas[replica].merge_entry(&key, entry);
            turn.seen.merge_ledger(&replicas[replica]);
        } else if turn.stage == Stage::Reserve && reads_again && turn.needs_second_reading(budget) {
            turn.enter(Stage::ReadAgain, &mut random);
        } else if turn.is_reserving() {
            turn.on_reserved(budget, &mut random);
        } else {
            turn.on_withdrawn(&mut random);
        }
    }
    admitted(&turns)
}

#[test]
fn in_any_order_of_messages_as_many_turns_are_admitted_as_the_budget_holds() {
    for seed in 0..SCHEDULES {
        let held = 1 + seed % 6;
        assert_eq!(play(seed, held, true), held, "seed {seed}");
    }
}

/// Of three turns that reserve at the same time each may see one other, and none both.
#[test]
fn without_reading_again_a_budget_is_overspent_in_some_order() {
    let is_overspent = |seed| play(seed, 2, false) > 2;
    assert!((0..SCHEDULES).any(is_overspent));
}

quickcheck! {
    fn a_turn_is_denied_only_by_what_was_spent(reserved: Vec<u8>, generated: Vec<u8>, budget: u16) -> bool {
        let mut ledger = ProgramLedger::default();
        for (number, most) in reserved.iter().enumerate() {
            let entry = LedgerEntry { reserved_tokens: u64::from(*most), spent: None };
            ledger.merge_entry(&turn(2 * number), entry);
        }
        for (number, tokens) in generated.iter().enumerate() {
            ledger.merge_entry(&turn(2 * number + 1), spent(u64::from(*tokens)));
        }
        let own = TurnId::of(None, "own");
        ledger.merge_entry(&own, open());
        let sum = |tokens: &[u8]| tokens.iter().map(|tokens| u64::from(*tokens)).sum::<u64>();
        let by_others = sum(&generated);
        let expected = if by_others + sum(&reserved) + MOST <= u64::from(budget) {
            TurnAdmission::Admitted
        } else if by_others + MOST > u64::from(budget) {
            TurnAdmission::Spent { by_others }
        } else {
            // `own` sorts before all `turn-` keys.
            TurnAdmission::Reserved { is_first: true }
        };
        ledger.admission(&own, MOST, u64::from(budget)) == expected
    }
}

/// What such a turn reserved kept the next one out although its record told what it had generated.
#[test]
fn an_open_entry_of_a_turn_that_has_ended_charges_no_more_than_its_record_bounds() {
    const BUDGET: u64 = 150;
    let mut ledger = ProgramLedger::default();
    ledger.merge_entry(&turn(0), open());
    ledger.merge_entry(&turn(1), open());
    let before = ledger.admission(&turn(1), MOST, BUDGET);
    assert!(
        matches!(before, TurnAdmission::Reserved { .. }),
        "{before:?}"
    );
    ledger.cap_open_entries(&turn(0), 70);
    assert_eq!(
        ledger.admission(&turn(1), MOST, BUDGET),
        TurnAdmission::Admitted
    );
    // A bound above the reservation changes nothing, and what is settled is exact.
    ledger.cap_open_entries(&turn(0), 1_000);
    ledger.merge_entry(&turn(2), spent(60));
    ledger.cap_open_entries(&turn(2), 10);
    assert_eq!(ledger.charged_by_others(&turn(1)), 70 + 60);
    assert_eq!(ledger.spent_by_others(&turn(1)), 60);
}
