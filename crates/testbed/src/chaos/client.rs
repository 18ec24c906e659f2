//! A client: opens runs, makes their calls, reads their histories and closes or abandons them.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_api::caller::{
    CallOutcome, CallerRoute, CloseRunResponse, OpenRunRequest, OpenRunResponse, RunHistoryResponse,
};
use ridgeworks_domain::{CallKey, RunId, Sequence};
use ridgeworks_history::Event;
use serde::de::DeserializeOwned;

use super::call::{Call, CallEnd, Waiting, carry_out, draw_call};
use super::error::ChaosError;
use super::recorder::Recorder;
use super::sending::{AnswerForm, Request, SendFailure, Sender};
use super::tally::Tally;
use super::workload::{RunnableProgram, Workload};

/// How long a client tries to open, read or close a run.
const PATIENCE: Duration = Duration::from_secs(15);
const TIMEOUT: Duration = Duration::from_secs(5);
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(100);
const LONGEST_PAUSE: Duration = Duration::from_secs(1);
const DUPLICATE_SHARE: f64 = 0.15;
/// Share of calls that are sent together with the one that follows.
const AHEAD_SHARE: f64 = 0.05;
const READ_SHARE: f64 = 0.25;
const CHILD_SHARE: f64 = 0.1;
const ABANDONED_SHARE: f64 = 0.1;
const DEEPEST_CHILD: usize = 2;
/// Calls refused in a row after which a client leaves a run.
const MOST_REFUSALS: usize = 8;

/// What a client is started with.
#[derive(Debug, Clone)]
pub struct ClientPlan {
    /// Its name in the history.
    pub name: String,
    /// Seed of what it does.
    pub seed: u64,
    /// The nodes.
    pub nodes: Vec<SocketAddr>,
    /// Token of its partner.
    pub token: String,
    /// What it can do.
    pub workload: Workload,
    /// How long it waits.
    pub waiting: Waiting,
}

/// A client at work.
#[derive(Debug)]
pub struct Client {
    plan: ClientPlan,
    tally: Arc<Tally>,
    random: ChaCha8Rng,
    sender: Sender,
    recorder: Recorder,
    /// Sends the second of two requests of one call that go out at once.
    duplicate: Recorder,
    calls: u64,
}

/// A run under way.
struct OpenRun {
    run: RunId,
    next: Sequence,
    refusals: usize,
}

/// Whether a run goes on.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Progress {
    Goes,
    Stuck,
}

impl Client {
    /// A client that records in `folder`.
    pub fn new(plan: ClientPlan, folder: &Path, tally: Arc<Tally>) -> Result<Self, ChaosError> {
        Ok(Self {
            tally,
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            sender: Sender::new(&plan.token),
            recorder: Recorder::open(folder, &plan.name)?,
            duplicate: Recorder::open(folder, &format!("{}-duplicate", plan.name))?,
            plan,
            calls: 0,
        })
    }

    /// Carries out one run after the other until it is told to stop.
    pub fn work(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let programs = &self.plan.workload.programs;
            let Some(program) = programs.choose(&mut self.random).cloned() else {
                return;
            };
            self.carry_out_run(&program, None, 0, stop);
        }
    }

    fn carry_out_run(
        &mut self,
        program: &RunnableProgram,
        parent: Option<RunId>,
        depth: usize,
        stop: &AtomicBool,
    ) {
        let Some(mut run) = self.open(program, parent) else {
            return;
        };
        for _ in 0..self.random.random_range(1..10) {
            if stop.load(Ordering::SeqCst) {
                break;
            }
            if self.step(&mut run, program, depth, stop) == Progress::Stuck {
                return;
            }
        }
        self.read_history(run.run);
        if self.random.random_bool(ABANDONED_SHARE) {
            return;
        }
        self.close(run.run);
    }

    fn step(
        &mut self,
        run: &mut OpenRun,
        program: &RunnableProgram,
        depth: usize,
        stop: &AtomicBool,
    ) -> Progress {
        if self.random.random_bool(READ_SHARE) {
            self.read_history(run.run);
        }
        if depth < DEEPEST_CHILD && self.random.random_bool(CHILD_SHARE) {
            let programs = &self.plan.workload.programs;
            // The one with the largest budget would take all that is left.
            if let Some(child) = programs[1..].choose(&mut self.random).cloned() {
                self.carry_out_run(&child, Some(run.run), depth + 1, stop);
            }
        }
        let Some(service) = program.services.choose(&mut self.random) else {
            return Progress::Stuck;
        };
        let key = self.new_key();
        let call = draw_call(&mut self.random, run.run, key, run.next, service);
        if self.random.random_bool(AHEAD_SHARE) {
            return self.send_with_next(run, program, &call);
        }
        let end = if self.random.random_bool(DUPLICATE_SHARE) {
            self.send_twice(&call)
        } else {
            self.send(&call)
        };
        run.take(end)
    }

    fn send(&mut self, call: &Call) -> CallEnd {
        carry_out(
            call,
            &self.sender,
            &self.recorder,
            &self.plan.nodes,
            &self.tally,
            &mut self.random,
            self.plan.waiting,
        )
    }

    /// Sends the call that follows at the same time as the call itself: it must wait or be refused.
    fn send_with_next(
        &mut self,
        run: &mut OpenRun,
        program: &RunnableProgram,
        call: &Call,
    ) -> Progress {
        let Some(service) = program.services.choose(&mut self.random) else {
            return Progress::Stuck;
        };
        let key = self.new_key();
        let next = draw_call(
            &mut self.random,
            run.run,
            key,
            call.sequence.next(),
            service,
        );
        match self.send_both(call, &next) {
            (first @ (CallEnd::Answered | CallEnd::Unknown), second) => match run.take(first) {
                Progress::Goes => run.take(second),
                Progress::Stuck => Progress::Stuck,
            },
            // The one that follows may have been taken at the number of the refused one.
            _ => Progress::Stuck,
        }
    }

    /// Sends a call to two nodes at once. An answer of either is the end of the call.
    fn send_twice(&mut self, call: &Call) -> CallEnd {
        match self.send_both(call, call) {
            (CallEnd::Answered, _) | (_, CallEnd::Answered) => CallEnd::Answered,
            (CallEnd::Unknown, _) | (_, CallEnd::Unknown) => CallEnd::Unknown,
            (CallEnd::GivenUp, _) | (_, CallEnd::GivenUp) => CallEnd::GivenUp,
            (refused, _) => refused,
        }
    }

    /// Sends two calls at once, most often to different nodes.
    fn send_both(&mut self, call: &Call, other: &Call) -> (CallEnd, CallEnd) {
        let mut random = ChaCha8Rng::seed_from_u64(self.random.random());
        let (duplicate, sender, plan) = (&self.duplicate, &self.sender, &self.plan);
        let tally = &self.tally;
        thread::scope(|scope| {
            let second = scope.spawn(move || {
                let nodes = &plan.nodes;
                let waiting = plan.waiting;
                carry_out(other, sender, duplicate, nodes, tally, &mut random, waiting)
            });
            let (recorder, nodes) = (&self.recorder, &plan.nodes);
            let first = carry_out(
                call,
                sender,
                recorder,
                nodes,
                tally,
                &mut self.random,
                plan.waiting,
            );
            let second = second.join().expect("sending a call does not panic");
            (first, second)
        })
    }

    /// Keys are numbered over all runs of the client, so that none is used twice.
    fn new_key(&mut self) -> CallKey {
        self.calls += 1;
        let key = CallKey::new(format!("{}-{}", self.plan.name, self.calls));
        key.expect("names of clients hold letters, digits and dashes")
    }

    fn open(&mut self, program: &RunnableProgram, parent: Option<RunId>) -> Option<OpenRun> {
        let body = OpenRunRequest {
            program: program.name.clone(),
            parent,
        };
        let body = serde_json::to_vec(&body).expect("requests have text keys only");
        let kind = match parent {
            None => "open",
            Some(_) => "open child",
        };
        let opened: OpenRunResponse = self.request(kind, CallerRoute::OpenRun, Some(body)).ok()?;
        self.recorder.write(Event::RunOpened {
            run: opened.run,
            partner: self.plan.workload.partner.clone(),
            budget: opened.budget,
        });
        Some(OpenRun {
            run: opened.run,
            next: Sequence::FIRST,
            refusals: 0,
        })
    }

    fn read_history(&mut self, run: RunId) {
        let mut invoked_at_us = self.recorder.now_us();
        let node = self.node();
        let request = request(CallerRoute::RunHistory(run), None);
        let deadline = Instant::now() + TIMEOUT;
        let mut answer: Result<RunHistoryResponse, _> = self.sender.json(node, &request, TIMEOUT);
        while answer.is_err() && Instant::now() < deadline {
            thread::sleep(PAUSE_AFTER_FAILURE);
            let node = self.node();
            invoked_at_us = self.recorder.now_us();
            answer = self.sender.json(node, &request, TIMEOUT);
        }
        let history = match answer {
            Ok(history) => history,
            Err(failure) => return self.tally.add("history", &failure),
        };
        let finished = history.calls.into_iter();
        let (calls, answer_digests) = finished
            .filter(|call| call.outcome == CallOutcome::Finished)
            .map(|call| (call.call, call.answer_digest.unwrap_or_default()))
            .unzip();
        self.recorder.write(Event::HistoryRead {
            run,
            calls,
            answer_digests,
            invoked_at_us,
        });
    }

    fn close(&mut self, run: RunId) {
        let route = CallerRoute::CloseRun(run);
        let closed = self.request::<CloseRunResponse>("close", route, Some(Vec::new()));
        if closed.is_ok() {
            self.recorder.write(Event::RunClosed {
                run,
                partner: self.plan.workload.partner.clone(),
            });
        }
    }

    fn node(&mut self) -> SocketAddr {
        let index = self.random.random_range(0..self.plan.nodes.len());
        self.plan.nodes[index]
    }

    fn request<Answer: DeserializeOwned>(
        &mut self,
        name: &'static str,
        route: CallerRoute,
        body: Option<Vec<u8>>,
    ) -> Result<Answer, SendFailure> {
        let request = request(route, body);
        let deadline = Instant::now() + PATIENCE;
        loop {
            let node = self.node();
            let failure = match self.sender.json(node, &request, TIMEOUT) {
                Ok(answer) => return Ok(answer),
                Err(failure) => failure,
            };
            self.tally.add(name, &failure);
            let pause = match &failure {
                SendFailure::Refused(error) => match error.retry_after_ms {
                    Some(pause) => Duration::from_millis(pause).min(LONGEST_PAUSE),
                    None => return Err(failure),
                },
                _ => PAUSE_AFTER_FAILURE,
            };
            if Instant::now() + pause > deadline {
                return Err(failure);
            }
            thread::sleep(pause);
        }
    }
}

fn request(route: CallerRoute, body: Option<Vec<u8>>) -> Request {
    Request {
        route,
        headers: Vec::new(),
        body,
        form: AnswerForm::Chat,
    }
}

impl OpenRun {
    /// Goes on after a call. A refused call's number is taken by the next one, unless the system says
    /// which number it expects.
    fn take(&mut self, end: CallEnd) -> Progress {
        match end {
            CallEnd::Answered | CallEnd::Unknown => {
                self.next = self.next.next();
                self.refusals = 0;
                Progress::Goes
            }
            CallEnd::GivenUp => Progress::Stuck,
            CallEnd::Refused(error) => {
                self.next = error.expected_sequence.unwrap_or(self.next);
                self.refusals += 1;
                if self.refusals < MOST_REFUSALS {
                    Progress::Goes
                } else {
                    Progress::Stuck
                }
            }
        }
    }
}
