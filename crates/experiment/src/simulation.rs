//! One run of a workload under one policy, in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use ridgeworks_domain::{BackendName, MonotonicTime, NodeId, PartnerName, RunId};
use ridgeworks_scheduling::{Dispatcher, Event, Ticket};

use crate::agenda::{Agenda, Happening};
use crate::agent::{Agent, ProgramEnd, ProgramState};
use crate::engine::Engine;
use crate::error::ExperimentError;
use crate::measures::{Figures, Measures, ShareSample};
use crate::naming;
use crate::script::{Arrival, draw_arrivals};
use crate::workload::Workload;

pub(crate) const OWNER: NodeId = NodeId(1);
const TICK_MICROS: u64 = 20_000;
const TICKS_BETWEEN_SAMPLES: u64 = 5;
const MOST_HORIZONS: f64 = 8.0;
const NETWORK_SEED: u64 = 0x5eed;

/// A ticket that has not ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct OpenTicket {
    pub agent: usize,
    pub engine: Option<usize>,
    pub asked_at: u64,
}

/// The simulated world.
#[derive(Debug)]
pub struct Simulation<'a> {
    pub(crate) workload: &'a Workload,
    pub(crate) dispatcher: Dispatcher,
    pub(crate) engines: Vec<Engine>,
    pub(crate) engine_names: Vec<BackendName>,
    pub(crate) engine_index: HashMap<BackendName, usize>,
    pub(crate) partner_names: Vec<PartnerName>,
    pub(crate) arrivals: Vec<Arrival>,
    pub(crate) programs: Vec<ProgramState>,
    pub(crate) agents: Vec<Agent>,
    pub(crate) tickets: HashMap<Ticket, OpenTicket>,
    pub(crate) waiting: Vec<u64>,
    pub(crate) in_use: Vec<u64>,
    pub(crate) agenda: Agenda,
    pub(crate) measures: Measures,
    pub(crate) next_ticket: u64,
    pub(crate) now: u64,
    pub(crate) random: ChaCha8Rng,
    open_programs: usize,
    ticks: u64,
}

impl<'a> Simulation<'a> {
    /// A world before its first program arrives.
    pub fn new(
        workload: &'a Workload,
        dispatcher: Dispatcher,
        offered_load: f64,
        seed: u64,
    ) -> Result<Self, ExperimentError> {
        let engine_names = naming::engine_names(workload)?;
        let engine_index = engine_names.iter().cloned().enumerate();
        let engine_index = engine_index.map(|(index, name)| (name, index)).collect();
        let partners = workload.partners.len();
        let engine = |_: &BackendName| Engine::new(workload.engines);
        Ok(Self {
            workload,
            dispatcher,
            engines: engine_names.iter().map(engine).collect(),
            engine_names,
            engine_index,
            partner_names: naming::partner_names(workload)?,
            arrivals: draw_arrivals(workload, offered_load, seed),
            programs: Vec::new(),
            agents: Vec::new(),
            tickets: HashMap::new(),
            waiting: vec![0; partners],
            in_use: vec![0; partners],
            agenda: Agenda::default(),
            measures: Measures::default(),
            next_ticket: 0,
            now: 0,
            random: ChaCha8Rng::seed_from_u64(seed ^ NETWORK_SEED),
            open_programs: 0,
            ticks: 0,
        })
    }

    /// Runs until all programs have ended.
    pub fn run(mut self) -> Result<Figures, ExperimentError> {
        for backend in naming::backends(self.workload)? {
            self.tell(Event::BackendUp(backend));
        }
        self.report_load();
        self.agenda.enter(0, Happening::Tick);
        self.enter_arrival(0);
        let limit = (self.workload.horizon_seconds * MOST_HORIZONS * 1.0e6) as u64;
        while let Some((at, happening)) = self.agenda.take_next() {
            self.now = at;
            self.happen(happening);
            let all_arrived = self.programs.len() == self.arrivals.len();
            if (all_arrived && self.open_programs == 0) || at > limit {
                break;
            }
        }
        Ok(self.figures())
    }

    fn figures(mut self) -> Figures {
        let engines = self.engines.iter();
        let wasted = engines.map(|engine| engine.cache.wasted_token_micros(self.now));
        self.measures.wasted_token_micros = wasted.sum();
        let partners = self.workload.partners.iter();
        let permille: Vec<u16> = partners.map(|partner| partner.permille).collect();
        let warm_up = (self.workload.warm_up_seconds * 1.0e6) as u64;
        Figures::compute(&self.measures, &self.programs, &permille, warm_up, self.now)
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrival(number) => self.arrive(number),
            Happening::Call(agent) => self.call(agent),
            Happening::Retry(agent) => self.ask(agent),
            Happening::ToolAnswered(agent) => self.next_turn(agent),
            Happening::Close(agent) => self.end_agent(agent, ProgramEnd::Abandoned),
            Happening::Tell(event) => self.tell(*event),
            Happening::Submit { engine, call } => self.submit(engine, call),
            Happening::StepEnd(engine) => self.step_end(engine),
            Happening::CancelAt { engine, ticket } => self.cancel_at(engine, ticket),
            Happening::RetainAt { engine, run, until } => {
                self.engines[engine].cache.retain(run, until);
            }
            Happening::ReleaseAt { engine, run } => {
                self.engines[engine].cache.release(run, self.now);
            }
            Happening::ListAt(engine) => self.list(engine),
            Happening::Moved { run, from, to } => self.moved(run, from, to),
            Happening::Report => self.report_load(),
            Happening::Tick => self.tick(),
        }
    }

    /// Tells the dispatcher something and does what it asks for.
    pub(crate) fn tell(&mut self, event: Event) {
        let now = MonotonicTime::from_micros(self.now);
        for effect in self.dispatcher.handle(now, event) {
            self.carry_out(effect);
        }
    }

    /// Tells the dispatcher something one network delay later.
    pub(crate) fn tell_later(&mut self, event: Event) {
        let at = self.now + self.workload.network.one_way_micros;
        self.agenda.enter(at, Happening::Tell(Box::new(event)));
    }

    fn enter_arrival(&mut self, number: usize) {
        if let Some(arrival) = self.arrivals.get(number) {
            let at = arrival.at_micros;
            self.agenda.enter(at, Happening::Arrival(number));
        }
    }

    fn arrive(&mut self, number: usize) {
        self.enter_arrival(number + 1);
        let arrival = self.arrivals[number].clone();
        let law = &self.workload.programs[arrival.program];
        let mut partners = self.workload.partners.iter();
        let partner = partners.position(|partner| partner.name == law.partner);
        let deadline = law.deadline_seconds;
        self.programs.push(ProgramState {
            law: arrival.program,
            partner: partner.unwrap_or(0),
            arrived_at: self.now,
            deadline: deadline.map(|seconds| self.now + (seconds * 1.0e6) as u64),
            alone_micros: arrival.script.alone_micros(&self.workload.engines),
            attained: 0,
            agents: Vec::new(),
            end: None,
        });
        self.open_programs += 1;
        let agent = self.add_agent(self.programs.len() - 1, arrival.script);
        self.call(agent);
    }

    /// Adds an agent and returns its index.
    pub(crate) fn add_agent(&mut self, program: usize, script: crate::script::Script) -> usize {
        let index = self.agents.len();
        let run = RunId(index as u128 + 1);
        self.agents.push(Agent::new(run, program, script));
        self.programs[program].agents.push(index);
        index
    }

    /// Records the end of a program.
    pub(crate) fn end_program(&mut self, program: usize, end: ProgramEnd) {
        let state = &mut self.programs[program];
        if state.end.is_none() {
            state.end = Some((self.now, end));
            self.open_programs -= 1;
        }
    }

    /// Forgets a ticket and gives back what it holds.
    pub(crate) fn close_ticket(&mut self, ticket: Ticket) -> Option<OpenTicket> {
        let open = self.tickets.remove(&ticket)?;
        let agent = &mut self.agents[open.agent];
        agent.ticket = None;
        let partner = self.programs[agent.program].partner;
        match open.engine {
            Some(_) => self.in_use[partner] -= 1,
            None => self.waiting[partner] -= 1,
        }
        Some(open)
    }

    fn tick(&mut self) {
        self.tell(Event::Tick);
        // Leases may have ended that calls in the engines wait for.
        for engine in 0..self.engines.len() {
            self.begin_step(engine);
        }
        self.ticks += 1;
        let horizon = Duration::from_secs_f64(self.workload.horizon_seconds);
        let sampling = self.now < horizon.as_micros() as u64;
        if sampling && self.ticks.is_multiple_of(TICKS_BETWEEN_SAMPLES) {
            self.measures.share_samples.push(ShareSample {
                in_use: self.in_use.clone(),
                waiting: self.waiting.iter().map(|count| *count > 0).collect(),
            });
        }
        self.agenda.enter(self.now + TICK_MICROS, Happening::Tick);
    }
}
