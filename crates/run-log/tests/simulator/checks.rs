//! Checks the service's promises to its callers, by number, on the record of a schedule. These are not the promises of
//! acceptors.

use std::collections::BTreeMap;

use ridgeworks_domain::{CallEnd, Cost, RunId, Sequence};
use ridgeworks_run_log::run_state::InvalidEntry;
use ridgeworks_run_log::{CallerAnswer, Entry, HistoryTurn, LogIndex};

use super::backend::Execution;

#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Violation {
    /// Promise 1: a call was executed after a later one.
    Order(RunId, Sequence),
    /// Promise 2: a later read lacks an acknowledged turn, or contains turns of another run or out of order.
    History(RunId, Sequence),
    /// Promise 3: the back ends' total cost exceeds the budget.
    OverBudget(RunId, Cost),
    /// Promise 5: no execution of the call gave this answer, or an earlier answer differs.
    Answer(RunId, Sequence),
    /// Promise 6: a call that was reported as not run was executed.
    NotRunButExecuted(RunId, Sequence),
    /// Promise 7: a call that is not repeatable was executed twice.
    ExecutedTwice(RunId, Sequence),
    /// Two owners have different committed entries at the same index.
    Disagreement(RunId, LogIndex),
    /// An owner found an invalid entry in its log.
    InvalidLog(RunId, InvalidEntry),
    /// A client was not done at the end of the schedule, long after the last fault.
    Stuck(RunId),
}

/// An answer to a call, as received by a client.
#[derive(Debug, Clone)]
pub struct Answered {
    pub run: RunId,
    pub call: Sequence,
    pub invoked: u64,
    pub at: u64,
    pub answer: CallerAnswer,
    /// Whether no other request of this call was ever sent, before or after.
    pub only_request: bool,
}

#[derive(Debug, Clone)]
pub struct HistoryRead {
    pub run: RunId,
    pub invoked: u64,
    pub turns: Vec<HistoryTurn>,
}

#[derive(Default)]
pub struct Record {
    pub executions: Vec<Execution>,
    pub answered: Vec<Answered>,
    pub reads: Vec<HistoryRead>,
    pub committed: BTreeMap<(RunId, LogIndex), Entry>,
    pub violations: Vec<Violation>,
}

impl Record {
    pub fn commit(&mut self, run: RunId, index: LogIndex, entry: &Entry) {
        let first = self
            .committed
            .entry((run, index))
            .or_insert_with(|| entry.clone());
        if first != entry {
            self.violations.push(Violation::Disagreement(run, index));
        }
    }

    /// Checks the record. `child` is the run that spends part of `parent`'s budget.
    pub fn check(&mut self, budgets: &BTreeMap<RunId, Cost>, parent: RunId, child: Option<RunId>) {
        if let Some(child) = child {
            self.check_shared(budgets[&parent], parent, child);
        }
        for (run, budget) in budgets {
            let ran: Vec<Execution> = self.of_run(*run);
            self.check_executions(*run, *budget, &ran);
        }
        for answered in std::mem::take(&mut self.answered) {
            let ran = self.of_run(answered.run);
            self.check_answer(&answered, &ran);
            self.answered.push(answered);
        }
        let found = self
            .reads
            .iter()
            .flat_map(|read| self.history_violations(read));
        let found: Vec<Violation> = found.collect();
        self.violations.extend(found);
    }

    fn check_shared(&mut self, budget: Cost, parent: RunId, child: RunId) {
        let ran = self.executions.iter();
        let both = ran.filter(|execution| execution.run == parent || execution.run == child);
        let spent = both.map(|execution| execution.cost.0).sum();
        if spent > budget.0 {
            let violation = Violation::OverBudget(parent, Cost(spent));
            self.violations.push(violation);
        }
    }

    fn of_run(&self, run: RunId) -> Vec<Execution> {
        let ran = self.executions.iter();
        ran.filter(|execution| execution.run == run)
            .cloned()
            .collect()
    }

    fn check_executions(&mut self, run: RunId, budget: Cost, ran: &[Execution]) {
        for pair in ran.windows(2) {
            if pair[1].call < pair[0].call {
                self.violations.push(Violation::Order(run, pair[1].call));
            }
        }
        let mut counts: BTreeMap<Sequence, u32> = BTreeMap::new();
        for execution in ran.iter().filter(|execution| !execution.repeatable) {
            *counts.entry(execution.call).or_default() += 1;
        }
        let twice = counts.iter().filter(|(_, count)| **count > 1);
        let twice = twice.map(|(call, _)| Violation::ExecutedTwice(run, *call));
        self.violations.extend(twice);
        let spent: u64 = ran.iter().map(|execution| execution.cost.0).sum();
        if spent > budget.0 {
            self.violations
                .push(Violation::OverBudget(run, Cost(spent)));
        }
    }

    fn check_answer(&mut self, answered: &Answered, ran: &[Execution]) {
        let (run, call) = (answered.run, answered.call);
        let mut of_call = ran.iter().filter(|execution| execution.call == call);
        let wrong = match &answered.answer {
            CallerAnswer::Ended(CallEnd::Finished { answer, .. }) => {
                let known = of_call.any(|execution| execution.answer == *answer);
                (!known).then_some(Violation::Answer(run, call))
            }
            CallerAnswer::Ended(CallEnd::NotRun) => {
                let was_executed = of_call.next().is_some();
                was_executed.then_some(Violation::NotRunButExecuted(run, call))
            }
            // A refusal covers only its own request: nothing was executed before the request was sent, and
            // nothing is ever executed if it was the only request.
            CallerAnswer::Refused(refusal) if refusal.is_not_run() => {
                let ran = of_call
                    .any(|execution| answered.only_request || execution.at < answered.invoked);
                ran.then_some(Violation::NotRunButExecuted(run, call))
            }
            _ => None,
        };
        self.violations.extend(wrong);
    }

    /// Turns that were acknowledged before the read and are missing or changed in it, turns of other runs, and turns
    /// out of order.
    fn history_violations(&self, read: &HistoryRead) -> Vec<Violation> {
        let acknowledged = self
            .answered
            .iter()
            .filter(|answered| answered.run == read.run && answered.at < read.invoked);
        let missing = acknowledged.filter_map(|answered| {
            let CallerAnswer::Ended(CallEnd::Finished { answer, .. }) = &answered.answer else {
                return None;
            };
            let found = read
                .turns
                .iter()
                .any(|turn| turn.sequence == answered.call && turn.answer == *answer);
            (!found).then_some(Violation::History(read.run, answered.call))
        });
        let prefix = format!("{}/", read.run).into_bytes();
        let foreign = read
            .turns
            .iter()
            .filter(|turn| !turn.answer.starts_with(&prefix));
        let foreign = foreign.map(|turn| Violation::History(read.run, turn.sequence));
        let unordered = read.turns.windows(2);
        let unordered = unordered.filter(|pair| pair[0].sequence >= pair[1].sequence);
        let unordered = unordered.map(|pair| Violation::History(read.run, pair[1].sequence));
        missing.chain(foreign).chain(unordered).collect()
    }
}
