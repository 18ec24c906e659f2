//! Turns of programs as gateways carry them out, and the reads that check them.

use ridgeworks_records::{
    ChainRead, GroupId, LedgerEntry, ProgramId, QuorumWrite, ReplicaRequest, ReplicaSet,
    Settlement, TurnId, TurnRecord,
};

use super::storage::KEEP_MS;

/// What an operation of a gateway is about.
#[derive(Debug, Clone)]
pub enum Purpose {
    /// Reserves a turn's tokens.
    Reserve { program: usize, turn: TurnId },
    /// Writes a turn's record.
    Append { program: usize, record: TurnRecord },
    /// Settles a turn.
    Settle {
        program: usize,
        turn: TurnId,
        spent: u64,
    },
    /// Reads an acknowledged turn.
    Read { program: usize, turn: TurnId },
    /// Reads a turn that nobody wrote.
    ReadInvented { program: usize },
}

impl Purpose {
    /// The program that it is about.
    pub fn program(&self) -> usize {
        match self {
            Self::Reserve { program, .. }
            | Self::Append { program, .. }
            | Self::Settle { program, .. }
            | Self::Read { program, .. }
            | Self::ReadInvented { program } => *program,
        }
    }
}

/// The state machine of an operation.
#[derive(Debug, Clone)]
pub enum Machine {
    Write(QuorumWrite),
    Read(ChainRead),
}

/// One operation of a gateway.
#[derive(Debug, Clone)]
pub struct Operation {
    pub gateway: usize,
    pub group: GroupId,
    pub purpose: Purpose,
    pub machine: Machine,
    pub deadline: u64,
    /// Whether it was sent before.
    pub is_sent: bool,
}

/// The most that each simulated turn may generate.
pub const MOST: u64 = 10;

pub fn program_id(program: usize) -> ProgramId {
    ProgramId(format!("program-{program}"))
}

impl Operation {
    pub fn set(&self) -> &ReplicaSet {
        match &self.machine {
            Machine::Write(write) => write.set(),
            Machine::Read(read) => read.set(),
        }
    }

    /// The request as it is sent under the operation's set.
    pub fn request(&self) -> ReplicaRequest {
        let epoch = self.set().epoch;
        let group = self.group;
        match (&self.purpose, &self.machine) {
            (Purpose::Reserve { program, turn }, _) => ReplicaRequest::Charge {
                group,
                epoch,
                program: program_id(*program),
                turn: turn.clone(),
                entry: LedgerEntry {
                    reserved_tokens: MOST,
                    spent: None,
                },
                ttl_ms: KEEP_MS,
            },
            (
                Purpose::Settle {
                    program,
                    turn,
                    spent,
                },
                _,
            ) => ReplicaRequest::Settle {
                group,
                epoch,
                settlements: vec![Settlement {
                    program: program_id(*program),
                    turn: turn.clone(),
                    entry: LedgerEntry {
                        reserved_tokens: MOST,
                        spent: Some(*spent),
                    },
                    ttl_ms: KEEP_MS,
                }],
            },
            (Purpose::Append { record, .. }, _) => ReplicaRequest::Append {
                group,
                epoch,
                record: record.clone(),
                ttl_ms: KEEP_MS,
            },
            (_, Machine::Read(read)) => ReplicaRequest::ReadChain {
                group,
                epoch,
                turn: read.next_turn().clone(),
            },
            (_, Machine::Write(_)) => unreachable!("reads have the machine of a read"),
        }
    }

    /// Starts the operation anew under a newer set.
    pub fn restart(&mut self, set: ReplicaSet) {
        self.machine = match &self.purpose {
            Purpose::Read { turn, .. } => Machine::Read(ChainRead::new(set, turn.clone())),
            Purpose::ReadInvented { .. } => Machine::Read(ChainRead::new(set, invented())),
            _ => Machine::Write(QuorumWrite::new(self.group, set)),
        };
    }
}

/// A turn that nobody writes.
pub fn invented() -> TurnId {
    TurnId("invented".to_owned())
}
