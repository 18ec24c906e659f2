//! The part of the simulation at the engines: steps, the ends of calls, caches and reports.

use ridgeworks_domain::RunId;
use ridgeworks_scheduling::{
    AttemptEnd, AttemptOutcome, CacheChange, CacheEvent, CacheListing, CachedContext, Event,
    LoadReport, Ticket, TokenUsage,
};

use crate::agenda::Happening;
use crate::engine::{EndedCall, EngineCall};
use crate::law::unit;
use crate::simulation::Simulation;

impl Simulation<'_> {
    /// A call reaches an engine.
    pub(crate) fn submit(&mut self, engine: usize, call: EngineCall) {
        self.engines[engine].submit(call);
        self.begin_step(engine);
    }

    /// Begins the next step of an engine that has work and no step under way.
    pub(crate) fn begin_step(&mut self, engine: usize) {
        let Some(step) = self.engines[engine].begin_step(self.now) else {
            return;
        };
        self.publish_evictions(engine);
        for ticket in &step.admitted {
            self.record_wait(*ticket);
        }
        self.measures.steps.push(step.takes.as_micros() as f64);
        let at = self.now + step.takes.as_micros() as u64;
        self.agenda.enter(at, Happening::StepEnd(engine));
    }

    fn record_wait(&mut self, ticket: Ticket) {
        let Some(open) = self.tickets.get(&ticket) else {
            return;
        };
        let program = &self.programs[self.agents[open.agent].program];
        let measured = program.arrived_at as f64 >= self.workload.warm_up_seconds * 1.0e6;
        if !measured {
            return;
        }
        let wait = (self.now - open.asked_at) as f64;
        if self.workload.programs[program.law].urgent {
            self.measures.urgent_waits.push(wait);
        } else {
            self.measures.routine_waits.push(wait);
        }
    }

    /// Ends a step of an engine and begins the next.
    pub(crate) fn step_end(&mut self, engine: usize) {
        for ended in self.engines[engine].end_step(self.now) {
            self.call_ended(engine, &ended);
        }
        self.publish_evictions(engine);
        self.begin_step(engine);
    }

    fn call_ended(&mut self, engine: usize, ended: &EndedCall) {
        let ticket = ended.call.ticket;
        let Some(open) = self.close_ticket(ticket) else {
            return;
        };
        let tokens = ended.usage.prompt + ended.usage.output;
        self.publish(engine, CacheChange::Stored, ended.call.run, tokens);
        self.tell_later(Event::AttemptEnded(AttemptEnd {
            ticket,
            usage: ended.usage,
            outcome: AttemptOutcome::Completed,
        }));
        self.answered(open.agent, ended.usage);
    }

    /// The order to cancel a call reaches an engine.
    pub(crate) fn cancel_at(&mut self, engine: usize, ticket: Ticket) {
        if !self.engines[engine].cancel(ticket, self.now) {
            return;
        }
        self.measures.preemptions += 1;
        self.tell_later(Event::AttemptEnded(AttemptEnd {
            ticket,
            usage: TokenUsage::default(),
            outcome: AttemptOutcome::Preempted,
        }));
        if let Some(open) = self.close_ticket(ticket) {
            self.ask(open.agent);
        }
    }

    fn publish_evictions(&mut self, engine: usize) {
        for run in self.engines[engine].cache.take_evicted() {
            self.publish(engine, CacheChange::Evicted, run, 0);
        }
    }

    fn publish(&mut self, engine: usize, change: CacheChange, run: RunId, tokens: u64) {
        self.engines[engine].last_event += 1;
        if unit(&mut self.random) < self.workload.network.event_loss {
            return;
        }
        let event = CacheEvent {
            backend: self.engine_names[engine].clone(),
            number: self.engines[engine].last_event,
            change,
            run,
            tokens,
        };
        let at = self.now + self.workload.network.event_lag_millis * 1_000;
        let told = Happening::Tell(Box::new(Event::CacheEvent(event)));
        self.agenda.enter(at, told);
    }

    /// An engine lists the contexts that it holds.
    pub(crate) fn list(&mut self, engine: usize) {
        let held = self.engines[engine].cache.list().into_iter();
        let contexts = held.map(|(run, tokens)| CachedContext { run, tokens });
        let listing = CacheListing {
            backend: self.engine_names[engine].clone(),
            number: self.engines[engine].last_event,
            contexts: contexts.collect(),
        };
        self.tell_later(Event::CacheListing(listing));
    }

    /// A context that was moved reaches its new engine, if the old one still held it.
    pub(crate) fn moved(&mut self, run: RunId, from: usize, to: usize) {
        let tokens = self.engines[from].cache.tokens_of(run);
        let arrived = tokens > 0 && self.engines[to].cache.store(run, tokens, None, self.now);
        if arrived {
            self.engines[from].cache.touch(run, self.now);
            self.engines[from].cache.release(run, self.now);
            self.measures.moves += 1;
        }
        self.publish_evictions(to);
        let to = self.engine_names[to].clone();
        let tokens = if arrived { tokens } else { 0 };
        self.tell_later(Event::ContextMoved { run, to, tokens });
    }

    /// All engines report their load, and will again.
    pub(crate) fn report_load(&mut self) {
        let interval = self.workload.network.report_millis * 1_000;
        for index in 0..self.engines.len() {
            let (running, waiting) = self.engines[index].load();
            let report = LoadReport {
                backend: self.engine_names[index].clone(),
                running,
                waiting,
                cache_capacity_tokens: self.workload.engines.cache_tokens,
            };
            let told = Happening::Tell(Box::new(Event::LoadReport(report)));
            self.agenda.enter(self.now + interval, told);
        }
        self.agenda.enter(self.now + interval, Happening::Report);
    }
}
