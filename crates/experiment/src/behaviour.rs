//! How simulated agents, owners and the network behave.

use std::time::Duration;

use ridgeworks_domain::{
    BackendName, CallKey, Cost, MonotonicTime, Refusal, RefusalReason, RunId, ServiceName,
};
use ridgeworks_scheduling::{
    Effect, Event, InheritedContext, Priority, QueuedCall, Ticket, TokenUsage,
};

use crate::agenda::Happening;
use crate::agent::ProgramEnd;
use crate::engine::EngineCall;
use crate::script::{Pause, Script};
use crate::simulation::{OWNER, OpenTicket, Simulation};

const MAX_REFUSALS: u32 = 5;
const ABANDONED_CLOSE_MICROS: u64 = 120_000_000;
pub(crate) const MOVE_BASE_MICROS: u64 = 20_000;
pub(crate) const MOVE_NANOS_PER_TOKEN: u64 = 10_000;
const SUB_AGENT_PAUSE: &str = "sub-agents";
const CALL_KEY: &str = "call";

impl Simulation<'_> {
    /// An agent makes its present call.
    pub(crate) fn call(&mut self, agent: usize) {
        self.agents[agent].called_at = self.now;
        self.agents[agent].refusals = 0;
        self.ask(agent);
    }

    /// An agent's owner asks the dispatcher for a slot.
    pub(crate) fn ask(&mut self, index: usize) {
        let Ok(key) = CallKey::new(CALL_KEY) else {
            return;
        };
        if self.programs[self.agents[index].program].end.is_some() {
            return;
        }
        self.next_ticket += 1;
        let ticket = Ticket {
            owner: OWNER,
            number: self.next_ticket,
        };
        let agent = &mut self.agents[index];
        agent.ticket = Some(ticket);
        let program = &self.programs[agent.program];
        let law = &self.workload.programs[program.law];
        let call = QueuedCall {
            ticket,
            run: agent.run,
            key,
            partner: self.partner_names[program.partner].clone(),
            priority: Priority {
                urgent: law.urgent,
                rank: law.rank,
            },
            attained_service: Cost(program.attained),
            prompt_tokens: agent.prompt(),
            max_output_tokens: law.max_output,
            inherited: agent.inherited,
            deadline: program.deadline.map(MonotonicTime::from_micros),
            preemptible: true,
            waited: Duration::from_micros(self.now - agent.called_at),
        };
        self.waiting[program.partner] += 1;
        let open = OpenTicket {
            agent: index,
            engine: None,
            asked_at: self.now,
        };
        self.tickets.insert(ticket, open);
        self.tell_later(Event::Enqueue(call));
    }

    /// Does what the dispatcher asks for.
    pub(crate) fn carry_out(&mut self, effect: Effect) {
        let one_way = self.workload.network.one_way_micros;
        let soon = self.now + one_way;
        match effect {
            Effect::Grant {
                ticket, backend, ..
            } => self.granted(ticket, &backend),
            Effect::Refuse { ticket, refusal } => self.refused(ticket, &refusal),
            Effect::Preempt { ticket, backend } => {
                let engine = self.engine_index[&backend];
                let happening = Happening::CancelAt { engine, ticket };
                self.agenda.enter(soon + one_way, happening);
            }
            Effect::Retain {
                run,
                backend,
                until,
            } => {
                let engine = self.engine_index[&backend];
                let until = until.micros;
                self.agenda
                    .enter(soon, Happening::RetainAt { engine, run, until });
            }
            Effect::Release { run, backend } => {
                let engine = self.engine_index[&backend];
                self.agenda
                    .enter(soon, Happening::ReleaseAt { engine, run });
            }
            Effect::RelistCache { backend } => {
                let engine = self.engine_index[&backend];
                self.agenda.enter(soon, Happening::ListAt(engine));
            }
            Effect::MoveContext { run, from, to } => self.move_context(run, &from, &to),
        }
    }

    fn move_context(&mut self, run: RunId, from: &BackendName, to: &BackendName) {
        let from = self.engine_index[from];
        let to = self.engine_index[to];
        let tokens = self.engines[from].cache.tokens_of(run);
        let takes = MOVE_BASE_MICROS + tokens * MOVE_NANOS_PER_TOKEN / 1_000;
        let happening = Happening::Moved { run, from, to };
        self.agenda.enter(self.now + takes, happening);
    }

    fn granted(&mut self, ticket: Ticket, backend: &BackendName) {
        let engine = self.engine_index[backend];
        let Some(open) = self.tickets.get_mut(&ticket) else {
            return;
        };
        open.engine = Some(engine);
        let agent = &self.agents[open.agent];
        let program = &self.programs[agent.program];
        let law = &self.workload.programs[program.law];
        self.waiting[program.partner] -= 1;
        self.in_use[program.partner] += 1;
        let turn = &agent.script.turns[agent.turn];
        let call = EngineCall {
            ticket,
            run: agent.run,
            urgent: law.urgent,
            prompt: agent.prompt(),
            inherited: agent.inherited,
            output: turn.output,
            max_output: law.max_output,
        };
        let network = self.workload.network;
        let durable_at = self.now + network.one_way_micros + network.durable_micros;
        let arrives = durable_at + network.one_way_micros;
        let started = Happening::Tell(Box::new(Event::AttemptStarted(ticket)));
        self.agenda.enter(arrives, started);
        self.agenda
            .enter(arrives, Happening::Submit { engine, call });
    }

    fn refused(&mut self, ticket: Ticket, refusal: &Refusal) {
        let Some(open) = self.close_ticket(ticket) else {
            return;
        };
        let agent = &mut self.agents[open.agent];
        agent.refusals += 1;
        let hopeless = refusal.reason == RefusalReason::DeadlineCannotBeMet;
        if hopeless || agent.refusals > MAX_REFUSALS {
            self.end_agent(open.agent, ProgramEnd::Refused);
            return;
        }
        let delay = refusal.retry_after_ms.unwrap_or(1_000) * 1_000;
        let retry = Happening::Retry(open.agent);
        self.agenda.enter(self.now + delay, retry);
    }

    /// The engine's answer reaches the agent.
    pub(crate) fn answered(&mut self, index: usize, usage: TokenUsage) {
        let agent = &mut self.agents[index];
        let again = agent.context.saturating_sub(usage.cached);
        agent.context = usage.prompt + usage.output;
        let program = &mut self.programs[agent.program];
        program.attained += usage.prompt + usage.output;
        self.measures.prefilled_again += again;
        self.measures.prefilled += usage.prompt - usage.cached;
        if program.end.is_some() {
            self.end_agent(index, ProgramEnd::Refused);
            return;
        }
        let last = self.agents[index].is_last_turn();
        let abandoned = self.agents[index].script.abandoned;
        if last && !abandoned {
            self.end_agent(index, ProgramEnd::Completed);
            return;
        }
        self.pause(index);
        if last {
            let at = self.now + ABANDONED_CLOSE_MICROS;
            self.agenda.enter(at, Happening::Close(index));
        }
    }

    fn pause(&mut self, index: usize) {
        let agent = &self.agents[index];
        let last = agent.is_last_turn();
        let pause = agent.script.turns[agent.turn].pause.clone();
        let tools = &self.workload.programs[self.programs[agent.program].law].tools;
        let name = match &pause {
            Pause::Tool { tool, .. } => tools.get(*tool).map(|tool| tool.name.as_str()),
            Pause::SubAgents(_) => Some(SUB_AGENT_PAUSE),
        };
        if let Some(Ok(tool)) = name.map(ServiceName::new) {
            let run = agent.run;
            self.tell_later(Event::RunPaused { run, tool });
        }
        match pause {
            _ if last => {}
            Pause::Tool { micros, .. } => {
                let at = self.now + micros;
                self.agenda.enter(at, Happening::ToolAnswered(index));
            }
            Pause::SubAgents(scripts) => self.start_sub_agents(index, scripts),
        }
    }

    fn start_sub_agents(&mut self, parent: usize, scripts: Vec<Script>) {
        self.agents[parent].children_left = scripts.len();
        for script in scripts {
            let (run, program, context) = {
                let agent = &self.agents[parent];
                (agent.run, agent.program, agent.context)
            };
            let child = self.add_agent(program, script);
            let agent = &mut self.agents[child];
            agent.parent = Some(parent);
            agent.context = context;
            agent.inherited = Some(InheritedContext {
                run,
                tokens: context,
            });
            self.call(child);
        }
    }

    /// An agent goes on after a pause.
    pub(crate) fn next_turn(&mut self, index: usize) {
        if self.programs[self.agents[index].program].end.is_some() {
            return;
        }
        self.agents[index].turn += 1;
        self.call(index);
    }

    /// An agent ends, and with the program's first agent the program.
    pub(crate) fn end_agent(&mut self, index: usize, end: ProgramEnd) {
        let (run, program, parent) = {
            let agent = &self.agents[index];
            (agent.run, agent.program, agent.parent)
        };
        self.tell_later(Event::RunEnded(run));
        let ended_before = self.programs[program].end.is_some();
        match parent {
            Some(parent) if end == ProgramEnd::Completed => self.child_ended(parent),
            _ if ended_before => {}
            _ => {
                self.end_program(program, end);
                self.end_rest(index, program);
            }
        }
    }

    fn child_ended(&mut self, parent: usize) {
        let agent = &mut self.agents[parent];
        agent.children_left -= 1;
        if agent.children_left == 0 {
            self.next_turn(parent);
        }
    }

    /// Cancels what the other agents of an ended program still wait for.
    fn end_rest(&mut self, ended: usize, program: usize) {
        for index in self.programs[program].agents.clone() {
            if index == ended {
                continue;
            }
            let agent = &self.agents[index];
            let run = agent.run;
            if let Some(ticket) = agent.ticket {
                let granted = self
                    .tickets
                    .get(&ticket)
                    .is_some_and(|open| open.engine.is_some());
                if granted {
                    continue;
                }
                self.close_ticket(ticket);
                self.tell_later(Event::Cancel(ticket));
            }
            self.tell_later(Event::RunEnded(run));
        }
    }
}
