//! Programs and their agents while they run.

use ridgeworks_domain::RunId;
use ridgeworks_scheduling::{InheritedContext, Ticket};

use crate::script::Script;

/// How a program ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ProgramEnd {
    /// It answered.
    Completed,
    /// A call of it was refused for good.
    Refused,
    /// Its user gave it up.
    Abandoned,
}

/// One program.
#[derive(Debug, Clone)]
pub struct ProgramState {
    /// Index of its law.
    pub law: usize,
    /// Index of its partner.
    pub partner: usize,
    /// When it arrived, in microseconds.
    pub arrived_at: u64,
    /// When it must have ended, in microseconds.
    pub deadline: Option<u64>,
    /// How long it would take alone on an engine, in microseconds.
    pub alone_micros: f64,
    /// Tokens used by it and its sub-agents.
    pub attained: u64,
    /// Its agents.
    pub agents: Vec<usize>,
    /// When and how it ended.
    pub end: Option<(u64, ProgramEnd)>,
}

/// The program itself or one of its sub-agents; each is a run of its own.
#[derive(Debug, Clone)]
pub struct Agent {
    /// Its run.
    pub run: RunId,
    /// Index of its program.
    pub program: usize,
    /// What it does.
    pub script: Script,
    /// Index of its present turn.
    pub turn: usize,
    /// Tokens of its context so far.
    pub context: u64,
    /// Context of the parent's run that its own begins with.
    pub inherited: Option<InheritedContext>,
    /// Index of the agent that waits for it.
    pub parent: Option<usize>,
    /// Sub-agents that it waits for.
    pub children_left: usize,
    /// Its open request for a slot.
    pub ticket: Option<Ticket>,
    /// When its present call was made, in microseconds.
    pub called_at: u64,
    /// Refusals of its present call.
    pub refusals: u32,
}

impl Agent {
    /// An agent before its first turn.
    pub fn new(run: RunId, program: usize, script: Script) -> Self {
        Self {
            run,
            program,
            script,
            turn: 0,
            context: 0,
            inherited: None,
            parent: None,
            children_left: 0,
            ticket: None,
            called_at: 0,
            refusals: 0,
        }
    }

    /// Tokens of the prompt of its present turn.
    pub fn prompt(&self) -> u64 {
        let turn = self.script.turns.get(self.turn);
        self.context + turn.map_or(0, |turn| turn.new_tokens)
    }

    /// Whether its present turn is the last one.
    pub fn is_last_turn(&self) -> bool {
        self.turn + 1 >= self.script.turns.len()
    }
}
