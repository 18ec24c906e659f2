//! Operations of gateways, and the checks of their reads.

use super::*;

impl World {
    pub(super) fn start_turn(&mut self, gateway: usize) {
        let pause = self.random.random_range(30..200);
        self.schedule(pause, Event::StartTurn { gateway });
        if self.known[gateway].is_none() || self.random.random_bool(0.1) {
            self.known[gateway] = self.register.clone();
        }
        let slot = self.random.random_range(0..PROGRAMS);
        if self.now > self.programs[self.current[slot]].active_at + self.profile.retention {
            self.begin_program(slot);
        }
        let program = self.current[slot];
        let number = self.next_number();
        let purpose = match self.random.random_range(0..10) {
            0..=5 => Purpose::Reserve {
                program,
                turn: TurnId(format!("turn-{number}")),
            },
            6..=8 => match self.programs[program].kept_turn(self.now, self.profile.retention) {
                Some(turn) => Purpose::Read { program, turn },
                None => return,
            },
            _ => Purpose::ReadUnwritten { program },
        };
        self.begin(gateway, purpose);
    }

    pub(super) fn begin_program(&mut self, slot: usize) {
        let (fewest, most) = self.profile.budget_turns;
        let turns = self.random.random_range(fewest..=most);
        self.current[slot] = self.programs.len();
        self.programs.push(Program {
            budget: turns * MAX_TURN_TOKENS,
            generated_tokens: 0,
            newest: None,
            active_at: self.now,
        });
    }

    pub(super) fn begin(&mut self, gateway: usize, purpose: Purpose) {
        let Some(groups) = self.known[gateway].clone() else {
            return;
        };
        let number = self.next_number();
        let group = groups.group_of(Some(&program_id(purpose.program())));
        let set = groups.set(group).expect("the group exists").clone();
        let state_machine = StateMachine::Write(QuorumWrite::new(group, set.clone()));
        let deadline = self.now + self.profile.operation_timeout;
        let mut operation = Operation {
            gateway,
            group,
            purpose,
            state_machine,
            began: self.now,
            deadline,
            ttl: self.profile.ttl,
            is_sent: false,
        };
        operation.restart(set);
        self.operations.insert(number, operation);
        self.retry(number);
    }

    /// Sends an operation's request and schedules the next attempt; drops the operation after its
    /// deadline. The first attempt of a write to a ledger goes to a write quorum only. All other
    /// attempts go to every member (writes) or every candidate (reads).
    pub(super) fn retry(&mut self, number: u64) {
        let Some(operation) = self.operations.get_mut(&number) else {
            return;
        };
        let is_first = !std::mem::replace(&mut operation.is_sent, true);
        let is_hedged = !is_first && self.now > operation.began + self.profile.hedge_delay;
        if self.now > operation.deadline {
            self.operations.remove(&number);
            return;
        }
        let request = operation.request();
        let is_ledger = !matches!(operation.purpose, Purpose::Append { .. });
        let replicas = match &operation.state_machine {
            StateMachine::Write(write) => {
                let set = write.set();
                let mut members: Vec<_> = set.members().into_iter().cloned().collect();
                // As gateways do: requests about ledgers go to a majority of each set first, mostly
                // preferring replicas that count in both, and to all when repeated; records of
                // turns go to all.
                if !is_hedged && is_ledger {
                    let begin = match self.profile.preference_period {
                        Some(period) => self.now / period + operation.purpose.program() as u64,
                        None => number,
                    };
                    let begin = usize::try_from(begin).unwrap_or(0) % members.len();
                    members.rotate_left(begin);
                    if self.random.random_bool(0.7) {
                        members.sort_by_key(|member| !set.counts_in_every_majority(member.id));
                    }
                    members = set.split_for_write(members).0;
                }
                members
            }
            StateMachine::Read(read) => read.candidates(),
        };
        let from = Address::Gateway(operation.gateway);
        for replica in replicas {
            let node = replica.address.parse().expect("addresses are node indices");
            let (to, request) = (replica.id, request.clone());
            self.send(Event::ToStorage {
                node,
                from,
                operation: number,
                to,
                request,
            });
        }
        self.schedule(RETRY_INTERVAL, Event::Retry { operation: number });
    }

    pub(super) fn gateway_reply(&mut self, from: ReplicaId, number: u64, reply: ReplicaReply) {
        let Some(mut operation) = self.operations.remove(&number) else {
            return;
        };
        let ended = match &mut operation.state_machine {
            StateMachine::Write(write) => {
                let reply_ledger = match &reply {
                    ReplicaReply::Charged { ledger } => Some(ledger.clone()),
                    _ => None,
                };
                let progress = write.on_reply(from, reply);
                self.write_progress(&mut operation, from, progress, reply_ledger)
            }
            StateMachine::Read(_) => self.read_reply(&mut operation, from, reply),
        };
        if !ended {
            self.operations.insert(number, operation);
        }
    }

    pub(super) fn write_progress(
        &mut self,
        operation: &mut Operation,
        from: ReplicaId,
        progress: WriteProgress,
        reply_ledger: Option<ProgramLedger>,
    ) -> bool {
        match progress {
            WriteProgress::Durable(Written { ledger, lagging }) => {
                let is_disabled = self.disabled == DisabledMechanism::NoUnion;
                let ledger = reply_ledger.filter(|_| is_disabled).unwrap_or(ledger);
                self.write_back(operation, lagging);
                self.written_durably(operation, &ledger);
                true
            }
            WriteProgress::Restart(groups) => {
                self.restart(operation, groups);
                false
            }
            WriteProgress::SendReplicaSets => {
                self.send_replica_sets(operation, from);
                false
            }
            WriteProgress::Waiting | WriteProgress::RetryLater => false,
        }
    }

    fn restart(&mut self, operation: &mut Operation, groups: ReplicaGroups) {
        let set = groups.set(operation.group).expect("the group exists");
        operation.restart(set.clone());
        let known = &mut self.known[operation.gateway];
        if known
            .as_ref()
            .is_none_or(|known| known.epoch() < groups.epoch())
        {
            *known = Some(groups);
        }
    }

    pub(super) fn send_replica_sets(&mut self, operation: &Operation, to: ReplicaId) {
        let Some(groups) = self.known[operation.gateway].clone() else {
            return;
        };
        let set = operation.set();
        let member = set
            .members()
            .into_iter()
            .find(|member| member.id == to)
            .cloned();
        let Some(member) = member else {
            return;
        };
        let node = member.address.parse().expect("addresses are node indices");
        let from = Address::Gateway(operation.gateway);
        let request = ReplicaRequest::Adopt { groups };
        self.send(Event::ToStorage {
            node,
            from,
            operation: 0,
            to,
            request,
        });
    }

    fn write_back(&mut self, operation: &Operation, entries: BTreeMap<TurnId, LedgerEntry>) {
        if entries.is_empty() || self.disabled == DisabledMechanism::NoWriteBack {
            return;
        }
        self.outcome.written_back += entries.len() as u64;
        let program = operation.purpose.program();
        self.begin(operation.gateway, Purpose::WriteBack { program, entries });
    }

    pub(super) fn written_durably(&mut self, operation: &Operation, ledger: &ProgramLedger) {
        match operation.purpose.clone() {
            Purpose::Reserve { program, turn } => {
                self.programs[program].active_at = self.now;
                let budget = self.programs[program].budget;
                if !ledger.admits(&turn, MAX_TURN_TOKENS, budget) {
                    let settle = Purpose::Settle {
                        program,
                        turn,
                        spent: 0,
                    };
                    self.begin(operation.gateway, settle);
                    return;
                }
                self.run_turn(operation.gateway, program, turn);
            }
            Purpose::Append { program, record } => {
                self.outcome.answered += 1;
                self.programs[program].newest = Some((record.turn.clone(), self.now));
                self.programs[program].active_at = self.now;
            }
            _ => {}
        }
    }

    /// Simulates the engine; the gateway may crash after each step.
    pub(super) fn run_turn(&mut self, gateway: usize, program: usize, turn: TurnId) {
        let spent = self.random.random_range(1..=MAX_TURN_TOKENS);
        let state = &mut self.programs[program];
        state.generated_tokens += spent;
        if state.generated_tokens > state.budget + MAX_TURN_TOKENS {
            self.outcome.overspent += 1;
        }
        let record = TurnRecord {
            turn: turn.clone(),
            previous: state.kept_turn(self.now, self.profile.retention),
            input: turn.0.clone().into_bytes(),
            output: vec![spent as u8; 8],
        };
        self.written.insert(turn.clone(), record.clone());
        if self.random.random_bool(0.9) {
            self.begin(gateway, Purpose::Append { program, record });
        }
        if self.random.random_bool(0.8) {
            self.begin(
                gateway,
                Purpose::Settle {
                    program,
                    turn,
                    spent,
                },
            );
        }
    }

    pub(super) fn read_reply(
        &mut self,
        operation: &mut Operation,
        from: ReplicaId,
        reply: ReplicaReply,
    ) -> bool {
        let StateMachine::Read(read) = &mut operation.state_machine else {
            return true;
        };
        match reply {
            ReplicaReply::Chain { records, missing } => {
                let starts_here = match (records.first(), &missing) {
                    (Some(record), _) => record.turn == *read.next_turn(),
                    (None, Some(missing)) => missing == read.next_turn(),
                    (None, None) => false,
                };
                if !starts_here {
                    return false;
                }
                let is_disabled = self.disabled == DisabledMechanism::NoReadMajority;
                let outcome = read.on_chain(from, records, missing.clone());
                let outcome = match (outcome, missing) {
                    (None, Some(missing)) if is_disabled => Some(ChainOutcome::NoSuchTurn(missing)),
                    (outcome, _) => outcome,
                };
                let Some(outcome) = outcome else {
                    return false;
                };
                self.check_read(&operation.purpose, outcome);
                true
            }
            ReplicaReply::Stale { groups } => {
                self.restart(operation, groups);
                false
            }
            ReplicaReply::Behind => {
                self.send_replica_sets(operation, from);
                false
            }
            _ => false,
        }
    }

    pub(super) fn check_read(&mut self, purpose: &Purpose, outcome: ChainOutcome) {
        self.outcome.chains_read += 1;
        match (purpose, outcome) {
            (Purpose::Read { turn, .. }, ChainOutcome::Complete(chain)) => {
                let is_expected = chain == self.expected_chain(turn);
                self.outcome.lost_turns += u64::from(!is_expected);
            }
            (Purpose::Read { .. }, ChainOutcome::NoSuchTurn(_)) => self.outcome.lost_turns += 1,
            (Purpose::ReadUnwritten { .. }, ChainOutcome::Complete(_)) => {
                self.outcome.invented_turns += 1
            }
            _ => {}
        }
    }

    pub(super) fn expected_chain(&self, newest: &TurnId) -> Vec<TurnRecord> {
        let mut chain = Vec::new();
        let mut next = Some(newest.clone());
        while let Some(turn) = next {
            let record = self.written[&turn].clone();
            next = record.previous.clone();
            chain.push(record);
        }
        chain.reverse();
        chain
    }
}
