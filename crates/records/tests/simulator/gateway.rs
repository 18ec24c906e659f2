//! Operations of gateways: the steps of turns, and the reads that check them.

use std::collections::BTreeMap;

use ridgeworks_records::{
    ChainRead, GroupId, LedgerEntry, ProgramId, QuorumWrite, ReplicaRequest, ReplicaSet,
    Settlement, TurnId, TurnRecord,
};

/// Purpose of an operation.
#[derive(Debug, Clone)]
pub enum Purpose {
    Reserve {
        program: usize,
        turn: TurnId,
    },
    Append {
        program: usize,
        record: TurnRecord,
    },
    Settle {
        program: usize,
        turn: TurnId,
        spent: u64,
    },
    /// Writes entries again that a replica lacks.
    WriteBack {
        program: usize,
        entries: BTreeMap<TurnId, LedgerEntry>,
    },
    /// Reads an acknowledged turn.
    Read {
        program: usize,
        turn: TurnId,
    },
    /// Reads a turn that was never written.
    ReadUnwritten {
        program: usize,
    },
}

impl Purpose {
    pub fn program(&self) -> usize {
        match self {
            Self::Reserve { program, .. }
            | Self::Append { program, .. }
            | Self::Settle { program, .. }
            | Self::WriteBack { program, .. }
            | Self::Read { program, .. }
            | Self::ReadUnwritten { program } => *program,
        }
    }
}

#[derive(Debug, Clone)]
pub enum StateMachine {
    Write(QuorumWrite),
    Read(ChainRead),
}

#[derive(Debug, Clone)]
pub struct Operation {
    pub gateway: usize,
    pub group: GroupId,
    pub purpose: Purpose,
    pub state_machine: StateMachine,
    pub began: u64,
    pub deadline: u64,
    /// How long the records that it writes are kept.
    pub ttl: u64,
    /// Whether the request was sent before.
    pub is_sent: bool,
}

/// Tokens that a turn reserves.
pub const MAX_TURN_TOKENS: u64 = 10;

pub fn program_id(program: usize) -> ProgramId {
    ProgramId(format!("program-{program}"))
}

impl Operation {
    pub fn set(&self) -> &ReplicaSet {
        match &self.state_machine {
            StateMachine::Write(write) => write.set(),
            StateMachine::Read(read) => read.set(),
        }
    }

    /// The request under the operation's current set.
    pub fn request(&self) -> ReplicaRequest {
        let epoch = self.set().epoch;
        let group = self.group;
        match (&self.purpose, &self.state_machine) {
            (Purpose::Reserve { program, turn }, _) => ReplicaRequest::Charge {
                group,
                epoch,
                program: program_id(*program),
                turn: turn.clone(),
                entry: LedgerEntry {
                    reserved_tokens: MAX_TURN_TOKENS,
                    spent: None,
                },
                ttl_ms: self.ttl,
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
                        reserved_tokens: MAX_TURN_TOKENS,
                        spent: Some(*spent),
                    },
                    ttl_ms: self.ttl,
                }],
            },
            (Purpose::WriteBack { program, entries }, _) => {
                let settlements = entries.iter().map(|(turn, entry)| Settlement {
                    program: program_id(*program),
                    turn: turn.clone(),
                    entry: *entry,
                    ttl_ms: self.ttl,
                });
                ReplicaRequest::Settle {
                    group,
                    epoch,
                    settlements: settlements.collect(),
                }
            }
            (Purpose::Append { record, .. }, _) => ReplicaRequest::Append {
                group,
                epoch,
                record: record.clone(),
                ttl_ms: self.ttl,
            },
            (_, StateMachine::Read(read)) => ReplicaRequest::ReadChain {
                group,
                epoch,
                turn: read.next_turn().clone(),
            },
            (_, StateMachine::Write(_)) => unreachable!("reads use the state machine of a read"),
        }
    }

    /// Restarts the operation under a newer set.
    pub fn restart(&mut self, set: ReplicaSet) {
        self.state_machine = match &self.purpose {
            Purpose::Read { turn, .. } => StateMachine::Read(ChainRead::new(set, turn.clone())),
            Purpose::ReadUnwritten { .. } => StateMachine::Read(ChainRead::new(set, unwritten())),
            _ => StateMachine::Write(QuorumWrite::new(self.group, set)),
        };
    }
}

/// A turn that is never written.
pub fn unwritten() -> TurnId {
    TurnId("invented".to_owned())
}
