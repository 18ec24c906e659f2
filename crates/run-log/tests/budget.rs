//! Properties of budget arithmetic.

use quickcheck::{Arbitrary, Gen, quickcheck};
use ridgeworks_domain::{Cost, RunId};
use ridgeworks_run_log::budget::Budget;

#[derive(Debug, Clone)]
enum Step {
    Reserve(u64),
    /// Settles the held reserve at this index, modulo the number of held reserves, at this cost.
    Settle(usize, u64),
    OpenChild(u8, u64),
    CloseChild(u8, u64),
}

impl Arbitrary for Step {
    fn arbitrary(gen_: &mut Gen) -> Self {
        let amount = match u8::arbitrary(gen_) % 8 {
            0 => u64::MAX,
            _ => u64::from(u8::arbitrary(gen_)),
        };
        match u8::arbitrary(gen_) % 4 {
            0 => Self::Reserve(amount),
            1 => Self::Settle(usize::arbitrary(gen_), amount),
            2 => Self::OpenChild(u8::arbitrary(gen_) % 4, amount),
            _ => Self::CloseChild(u8::arbitrary(gen_) % 4, amount),
        }
    }
}

fn apply_step(budget: &mut Budget, held: &mut Vec<u64>, step: &Step) {
    match step {
        Step::Reserve(amount) => {
            if budget.reserve(Cost(*amount)).is_ok() {
                held.push(*amount);
            }
        }
        Step::Settle(position, spent) if !held.is_empty() => {
            let reserve = held.remove(position % held.len());
            budget.settle(Cost(reserve), Cost(*spent));
        }
        Step::Settle(..) => {}
        Step::OpenChild(child, amount) => {
            let _refused = budget.open_child(RunId(u128::from(*child)), Cost(*amount));
        }
        Step::CloseChild(child, spent) => {
            budget.close_child(RunId(u128::from(*child)), Cost(*spent));
        }
    }
}

quickcheck! {
    fn reserved_and_spent_never_exceed_the_limit(limit: u64, steps: Vec<Step>) -> bool {
        let mut budget = Budget::new(Cost(limit));
        let mut held = Vec::new();
        steps.iter().all(|step| {
            apply_step(&mut budget, &mut held, step);
            let sum = budget.spent().0.checked_add(budget.reserved().0);
            sum.is_some_and(|sum| sum <= limit && budget.remaining().0 == limit - sum)
        })
    }

    fn spent_never_decreases(limit: u64, steps: Vec<Step>) -> bool {
        let mut budget = Budget::new(Cost(limit));
        let mut held = Vec::new();
        steps.iter().all(|step| {
            let before = budget.spent();
            apply_step(&mut budget, &mut held, step);
            budget.spent() >= before
        })
    }

    fn settling_everything_releases_all_that_was_not_spent(limit: u16, reserves: Vec<(u8, u8)>) -> bool {
        let mut budget = Budget::new(Cost(u64::from(limit)));
        let held: Vec<(u8, u8)> = reserves
            .into_iter()
            .filter(|(reserve, _)| budget.reserve(Cost(u64::from(*reserve))).is_ok())
            .collect();
        let mut spent = 0;
        for (reserve, cost) in held {
            budget.settle(Cost(u64::from(reserve)), Cost(u64::from(cost)));
            spent += u64::from(reserve.min(cost));
        }
        budget.spent() == Cost(spent) && budget.reserved() == Cost::ZERO
    }
}
