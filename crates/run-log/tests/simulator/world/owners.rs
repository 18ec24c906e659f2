//! Owners, their effects, and the back ends.

use std::net::SocketAddr;

use rand::RngExt;
use ridgeworks_domain::{
    BackendName, CallRequest, Cost, NodeId, Refusal, RefusalReason, RunId, Sequence,
};
use ridgeworks_run_log::{
    AttemptOutcome, AttemptResolution, LogIndex, OwnerEffect, OwnerEvent, Reply, Request,
};

use super::super::Weakening;
use super::super::backend::{Arrival, AttemptKey};
use super::super::checks::Violation;
use super::event::Event;
use super::{BACKENDS, REPLICAS, TICK, World};

impl World {
    pub(super) fn deliver_event(&mut self, node: usize, run: RunId, event: OwnerEvent) {
        let now = self.time();
        let effects = self.nodes[node].handle(run, event, now, &mut self.record);
        self.schedule(node, run, effects);
    }

    pub(super) fn schedule_input(
        &mut self,
        node: usize,
        incarnation: u32,
        run: RunId,
        event: OwnerEvent,
    ) {
        let delay = self.delay();
        self.after(
            delay,
            Event::Input {
                node,
                incarnation,
                run,
                event,
            },
        );
    }

    pub(super) fn ensure_owner(&mut self, node: usize, run: RunId) {
        let contacts: Vec<NodeId> = self.nodes[..REPLICAS].iter().map(|node| node.id).collect();
        let instance = self.rng.random_range(1..u64::MAX);
        let now = self.time();
        let effects = self.nodes[node].ensure_owner(run, instance, &contacts, now);
        self.schedule(node, run, effects);
    }

    pub(super) fn tick(&mut self, node: usize, incarnation: u32) {
        let runs: Vec<RunId> = self.nodes[node].owners.keys().copied().collect();
        for run in runs {
            self.deliver_event(node, run, OwnerEvent::Tick);
        }
        self.after(TICK, Event::Tick { node, incarnation });
    }

    /// Schedules effects with a short delay, in which the node may be paused or crash.
    pub(super) fn schedule(&mut self, node: usize, run: RunId, effects: Vec<OwnerEffect>) {
        let incarnation = self.nodes[node].incarnation;
        for effect in effects {
            let delay = self.rng.random_range(1..50);
            self.after(
                delay,
                Event::Effect {
                    node,
                    incarnation,
                    run,
                    effect,
                },
            );
        }
    }

    pub(super) fn execute_effect(&mut self, node: usize, run: RunId, effect: OwnerEffect) {
        let incarnation = self.nodes[node].incarnation;
        match effect {
            OwnerEffect::SendToReplica { to, request } => self.send_request(node, to, request),
            OwnerEffect::RequestGrant {
                call,
                attempt,
                request,
            } => {
                self.grant(node, run, (call, attempt), request);
            }
            OwnerEffect::StartAttempt {
                call,
                attempt,
                backend,
                request,
                ..
            } => {
                if self.weakening != Some(Weakening::SentBeforeDispatched) {
                    let backend = backend_index(&backend);
                    self.start(node, backend, (run, call, attempt), request);
                }
            }
            OwnerEffect::FenceAttempt {
                call,
                attempt,
                backend,
                ..
            } => {
                let key = (run, call, attempt);
                if self.weakening == Some(Weakening::NotFenced) {
                    let resolution = AttemptResolution::NeverStarted;
                    let event = OwnerEvent::Fenced {
                        call,
                        attempt,
                        resolution,
                    };
                    return self.schedule_input(node, incarnation, run, event);
                }
                let backend = backend_index(&backend);
                for _ in 0..self.copies() {
                    let delay = self.delay();
                    self.after(
                        delay,
                        Event::Fence {
                            backend,
                            key,
                            node,
                            incarnation,
                        },
                    );
                }
            }
            OwnerEffect::AnswerCaller { caller, answer } => {
                let Some((client, number)) = self.nodes[node].callers.remove(&caller) else {
                    return;
                };
                let delay = self.delay();
                self.after(
                    delay,
                    Event::Answer {
                        client,
                        number,
                        answer,
                    },
                );
            }
            OwnerEffect::InvalidLog { error, .. } => {
                self.record
                    .violations
                    .push(Violation::InvalidLog(run, error));
            }
            OwnerEffect::Ready { .. } => self.opened(node, run),
            OwnerEffect::ReturnGrant { .. }
            | OwnerEffect::ReleaseContext { .. }
            | OwnerEffect::SteppedDown { .. }
            | OwnerEffect::RunUnknown => {}
        }
    }

    pub(super) fn send_request(&mut self, from: usize, to: NodeId, request: Request) {
        if self.weakening == Some(Weakening::NotConfirmed)
            && let Request::Append {
                run,
                ballot,
                replica,
                round,
                ..
            } = &request
        {
            let reply = Reply::Appended {
                run: *run,
                ballot: *ballot,
                replica: *replica,
                last_index: LogIndex::NONE,
                round: *round,
            };
            self.deliver_event(from, *run, OwnerEvent::Reply { from: to, reply });
        }
        let to = to.0 as usize - 1;
        for _ in 0..self.copies() {
            let delay = self.delay();
            self.after(
                delay,
                Event::Request {
                    from,
                    to,
                    request: request.clone(),
                },
            );
        }
    }

    pub(super) fn grant(
        &mut self,
        node: usize,
        run: RunId,
        asked: (Sequence, u32),
        request: CallRequest,
    ) {
        let (call, attempt) = asked;
        let incarnation = self.nodes[node].incarnation;
        if self.in_fault_period() && self.rng.random_bool(0.03) {
            let refusal = Refusal::permanent(RefusalReason::NoBackend);
            let event = OwnerEvent::GrantRefused {
                call,
                attempt,
                refusal,
            };
            return self.schedule_input(node, incarnation, run, event);
        }
        let alive = (0..BACKENDS).filter(|backend| !self.backends[*backend].gone);
        let alive: Vec<usize> = alive.collect();
        let backend = alive[self.rng.random_range(0..alive.len())];
        if self.weakening == Some(Weakening::SentBeforeDispatched) {
            self.start(node, backend, (run, call, attempt), request);
        }
        let event = OwnerEvent::Granted {
            call,
            attempt,
            backend: BackendName::new(format!("backend-{backend}")).unwrap(),
            address: SocketAddr::from(([127, 0, 0, 1], 9)).into(),
        };
        self.schedule_input(node, incarnation, run, event);
    }

    pub(super) fn start(
        &mut self,
        node: usize,
        backend: usize,
        key: AttemptKey,
        request: CallRequest,
    ) {
        let incarnation = self.nodes[node].incarnation;
        if self.copies() == 0 {
            return self.report_lost_attempt(node, incarnation, key);
        }
        let delay = self.delay();
        self.after(
            delay,
            Event::Arrive {
                backend,
                key,
                request,
                node,
                incarnation,
            },
        );
    }

    pub(super) fn report_lost_attempt(&mut self, node: usize, incarnation: u32, key: AttemptKey) {
        let event = OwnerEvent::AttemptFinished {
            call: key.1,
            attempt: key.2,
            outcome: AttemptOutcome::Lost,
        };
        self.schedule_input(node, incarnation, key.0, event);
    }

    pub(super) fn arrive(
        &mut self,
        backend: usize,
        key: AttemptKey,
        request: CallRequest,
        node: usize,
        incarnation: u32,
    ) {
        let client = self
            .clients
            .iter()
            .find(|client| client.run == key.0)
            .unwrap();
        let reserve = client.calls[key.1.0 as usize - 1].reserve.0;
        let cost = Cost(self.rng.random_range(reserve / 2..=reserve));
        let now = self.now;
        let executions = &mut self.record.executions;
        match self.backends[backend].arrive(key, &request, cost, now, executions) {
            Arrival::Started => {
                let delay = self.rng.random_range(1_000..40_000);
                self.after(
                    delay,
                    Event::Finish {
                        backend,
                        key,
                        node,
                        incarnation,
                    },
                );
            }
            Arrival::Refused => {
                let (call, attempt) = (key.1, key.2);
                let outcome = AttemptOutcome::NotRun;
                let event = OwnerEvent::AttemptFinished {
                    call,
                    attempt,
                    outcome,
                };
                self.schedule_input(node, incarnation, key.0, event);
            }
            Arrival::Lost => self.report_lost_attempt(node, incarnation, key),
        }
    }

    pub(super) fn finish(
        &mut self,
        backend: usize,
        key: AttemptKey,
        node: usize,
        incarnation: u32,
    ) {
        let Some((answer, spent)) = self.backends[backend].finish(key) else {
            return self.report_lost_attempt(node, incarnation, key);
        };
        if self.copies() == 0 {
            return self.report_lost_attempt(node, incarnation, key);
        }
        let event = OwnerEvent::AttemptFinished {
            call: key.1,
            attempt: key.2,
            outcome: AttemptOutcome::Finished { answer, spent },
        };
        self.schedule_input(node, incarnation, key.0, event);
    }
}

fn backend_index(name: &BackendName) -> usize {
    let digits = name.as_str().trim_start_matches("backend-");
    digits.parse().unwrap()
}
