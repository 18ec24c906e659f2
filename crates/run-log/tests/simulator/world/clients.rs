//! Requests of the clients, and their handling of answers.

use std::collections::BTreeMap;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use ridgeworks_domain::{CallEnd, CallRequest, Cost, RunId};
use ridgeworks_run_log::{CallerAnswer, Opening, OwnerEvent, OwnerSettings, RunOwner};

use super::super::Weakening;
use super::super::checks::{Answered, HistoryRead, Violation};
use super::super::client::{Client, ClientAction, ClientRequest, Sent, Stage, request};
use super::event::Event;
use super::{CALLS, MILLISECOND, NODES, REPLICAS, World};

impl World {
    pub(super) fn send(&mut self, client: usize) {
        let Some(client_request) = self.clients[client].client_request() else {
            return;
        };
        let number = self.send_to_node(client, self.clients[client].node, client_request.clone());
        self.clients[client].current_request = number;
        let timeout = self.rng.random_range(80..300) * MILLISECOND;
        self.after(timeout, Event::Timeout { client, number });
        if client_request == ClientRequest::Open {
            return;
        }
        let other_node = self.rng.random_range(0..NODES);
        if self.in_fault_period() && self.rng.random_bool(0.1) {
            self.send_to_node(client, other_node, client_request);
        } else if let Stage::Calling(call) = self.clients[client].stage
            && self.rng.random_bool(0.05)
            && let Some(early) = self.clients[client].calls.get(call as usize).cloned()
        {
            self.send_to_node(client, other_node, ClientRequest::Call(early));
        }
    }

    pub(super) fn send_to_node(
        &mut self,
        client: usize,
        node: usize,
        client_request: ClientRequest,
    ) -> u64 {
        let at = self.now;
        let sender = &mut self.clients[client];
        sender.next_number += 1;
        let number = sender.next_number;
        sender.sent.insert(
            number,
            Sent {
                client_request: client_request.clone(),
                at,
            },
        );
        let weak = self.weakening == Some(Weakening::NothingReserved);
        let client_request = match client_request {
            ClientRequest::Call(mut request) if weak => {
                request.reserve = Cost::ZERO;
                ClientRequest::Call(request)
            }
            client_request => client_request,
        };
        if self.copies() > 0 {
            let delay = self.delay();
            self.after(
                delay,
                Event::ClientRequest {
                    node,
                    client,
                    number,
                    client_request,
                },
            );
        }
        number
    }

    pub(super) fn handle_client_request(
        &mut self,
        node: usize,
        client: usize,
        number: u64,
        client_request: ClientRequest,
    ) {
        let run = self.clients[client].run;
        if client_request == ClientRequest::Open {
            return self.open(node, client);
        }
        self.ensure_owner(node, run);
        if let Some(event) = self.nodes[node].event_of(client, number, client_request) {
            self.deliver_event(node, run, event);
        }
    }

    pub(super) fn open(&mut self, node: usize, client: usize) {
        let replicas = self.nodes[..REPLICAS].iter();
        let replicas = replicas.filter_map(|node| Some(node.replica.as_ref()?.replica.identity()));
        let opening = Opening {
            partner: ridgeworks_domain::PartnerName::new("partner").unwrap(),
            program: ridgeworks_domain::ProgramName::new("program").unwrap(),
            class: ridgeworks_domain::ClassName::new("class").unwrap(),
            budget: self.clients[client].budget,
            max_calls: CALLS,
            parent: None,
            replicas: replicas.collect(),
        };
        let run = self.clients[client].run;
        let (settings, now) = (OwnerSettings::default(), self.time());
        let id = self.nodes[node].id;
        let (owner, effects) = RunOwner::open(run, id, opening, settings, now);
        self.nodes[node].owners.insert(run, owner);
        self.schedule(node, run, effects);
    }

    pub(super) fn opened(&mut self, node: usize, run: RunId) {
        let opener = self.clients.iter().position(|client| client.run == run);
        if let Some(client) = opener.filter(|c| self.clients[*c].stage == Stage::Opening) {
            self.clients[client].node = node;
            self.clients[client].stage = self.clients[client].stage_after_opening();
            self.after(MILLISECOND, Event::Send { client });
        }
    }

    /// Switches to a random node. An opening is never repeated: the other node takes the run over, if it exists.
    pub(super) fn switch_node(&mut self, client: usize) {
        let node = self.rng.random_range(0..NODES);
        let client = &mut self.clients[client];
        client.node = node;
        if client.stage == Stage::Opening {
            client.stage = client.stage_after_opening();
        }
    }

    pub(super) fn answered(&mut self, index: usize, number: u64, answer: CallerAnswer) {
        let reads = self.rng.random_bool(0.5);
        let client = &mut self.clients[index];
        let Some(sent) = client.sent.get(&number).cloned() else {
            return;
        };
        let run = client.run;
        if let CallerAnswer::History(turns) = &answer {
            let turns = turns.clone();
            let invoked = sent.at;
            self.record.reads.push(HistoryRead {
                run,
                invoked,
                turns,
            });
        }
        if let ClientRequest::Call(request) = &sent.client_request {
            self.record_answer(index, request, sent.at, &answer);
        }
        let client = &mut self.clients[index];
        if client.current_request != number {
            return;
        }
        let next = client.take(&answer, reads);
        self.advance_child(index, &answer);
        let client = &mut self.clients[index];
        match next {
            ClientAction::Nothing => {}
            ClientAction::Continue => {
                client.current_request = 0;
                // Reads then often go to another node than the one that answered.
                if self.in_fault_period() && self.rng.random_bool(0.2) {
                    self.switch_node(index);
                }
                self.after(MILLISECOND, Event::Send { client: index });
            }
            ClientAction::TryOtherNode => {
                client.current_request = 0;
                self.switch_node(index);
                let delay = self.rng.random_range(1..30) * MILLISECOND;
                self.after(delay, Event::Send { client: index });
            }
        }
    }

    /// Starts the child run once its budget is reserved, or ends it if the reserve is refused. Informs the parent when
    /// the child is closed.
    pub(super) fn advance_child(&mut self, index: usize, answer: &CallerAnswer) {
        let run = self.clients[index].run;
        let undecided = matches!(
            self.clients[index].stage,
            Stage::Opening | Stage::OpeningChild
        );
        let child = self.clients[index].child.map(|(child, _)| child);
        let starts = |client: &Client| Some(client.run) == child && client.stage == Stage::Waiting;
        if let Some(client) = self.clients.iter().position(starts).filter(|_| !undecided) {
            let reserved = *answer == CallerAnswer::ChildOpened;
            let stage = if reserved {
                Stage::Opening
            } else {
                Stage::Done
            };
            self.clients[client].stage = stage;
            self.after(MILLISECOND, Event::Send { client });
        }
        let is_parent = |client: &&Client| client.child.is_some_and(|(child, _)| child == run);
        if let (Some(parent), CallerAnswer::Closed { spent }) =
            (self.clients.iter().find(is_parent), answer)
        {
            let (node, parent, spent) = (parent.node, parent.run, *spent);
            let incarnation = self.nodes[node].incarnation;
            let event = OwnerEvent::ChildClosed { run, spent };
            self.schedule_input(node, incarnation, parent, event);
        }
    }

    pub(super) fn record_answer(
        &mut self,
        index: usize,
        asked: &CallRequest,
        at: u64,
        answer: &CallerAnswer,
    ) {
        let client = &self.clients[index];
        let (run, call) = (client.run, asked.sequence);
        if let CallerAnswer::Ended(CallEnd::Finished { answer, .. }) = answer
            && client
                .acknowledged
                .get(&call)
                .is_some_and(|known| known != answer)
        {
            self.record.violations.push(Violation::Answer(run, call));
        }
        self.record.answered.push(Answered {
            run,
            call,
            invoked: at,
            at: self.now,
            answer: answer.clone(),
            only_request: false,
        });
    }
}

pub(super) fn new_client(index: usize, rng: &mut ChaCha8Rng) -> Client {
    let run = RunId(index as u128 + 1);
    let calls = (1..=CALLS).map(|number| {
        let (repeatable, reserve) = (rng.random_bool(0.5), rng.random_range(10..40));
        request(run, number, repeatable, reserve)
    });
    Client {
        run,
        calls: calls.collect(),
        budget: Cost(rng.random_range(60..220)),
        child: None,
        stage: Stage::Opening,
        node: rng.random_range(0..NODES),
        current_request: 0,
        sent: BTreeMap::new(),
        acknowledged: BTreeMap::new(),
        next_number: 0,
    }
}

/// Makes the second client's run a child of the first client's run.
pub(super) fn make_child(
    clients: &mut [Client],
    weakening: Option<Weakening>,
    rng: &mut ChaCha8Rng,
) {
    let [parent, child, ..] = clients else {
        return;
    };
    child.budget = Cost(rng.random_range(20..=parent.budget.0));
    parent.child = Some((child.run, child.budget));
    if weakening == Some(Weakening::ChildBudgetNotReserved) {
        parent.child = None;
    } else {
        child.stage = Stage::Waiting;
    }
}
