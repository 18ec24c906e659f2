//! Scripted conversations: what a program asks, calls and hands to sub-agents, in order.

use std::str::FromStr;
use std::time::{Duration, Instant};

use ridgeworks_api::caller::RunHistoryResponse;
use ridgeworks_domain::{ProgramName, ServiceName};
use serde::Deserialize;
use serde_json::Value;

use crate::client::{CallFailure, CallOptions, CallerClient, ChatCall, RunClient};

const DEMO: &str = include_str!("../presets/demo.toml");

/// Conversations of a file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The conversations.
    pub conversations: Vec<Conversation>,
}

/// One conversation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Conversation {
    /// What it is about.
    pub title: String,
    /// The partner whose caller it is.
    pub partner: String,
    /// The program that its run is opened from.
    pub program: ProgramName,
    /// What it does.
    pub steps: Vec<Step>,
}

/// One step of a conversation.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Step {
    /// Asks a model and streams its answer.
    Ask {
        /// The model.
        service: ServiceName,
        /// What is asked.
        text: String,
    },
    /// Calls a tool or notice service.
    Call {
        /// The service.
        service: ServiceName,
        /// Its arguments.
        arguments: Value,
        /// Whether a second execution does no harm.
        repeatable: bool,
    },
    /// Opens a run for a sub-agent, carries its steps out and closes it.
    SubAgent {
        /// The program that the run is opened from.
        program: ProgramName,
        /// What it does.
        steps: Vec<Step>,
    },
}

impl FromStr for Script {
    type Err = toml::de::Error;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        toml::from_str(text)
    }
}

impl Script {
    /// The conversations of the demo.
    ///
    /// # Errors
    /// A file of the crate that cannot be read; a test reads it.
    pub fn demo() -> Result<Self, toml::de::Error> {
        DEMO.parse()
    }
}

/// What happens while a conversation is carried out.
pub trait Observer {
    /// A run was opened; sub-agents have a depth above zero.
    fn opened(&mut self, run: &RunClient<'_>, depth: usize);
    /// A model is asked.
    fn asked(&mut self, service: &ServiceName, text: &str);
    /// A piece of an answer arrived.
    fn text(&mut self, piece: &str);
    /// A call is made of a tool or notice service.
    fn called(&mut self, service: &ServiceName, arguments: &Value);
    /// A tool or notice service answered.
    fn result(&mut self, result: &str);
    /// A call ended.
    fn ended(&mut self, latency: Duration, failure: Option<&CallFailure>);
    /// A run's history, before it is closed.
    fn history(&mut self, history: &RunHistoryResponse, depth: usize);
}

/// Carries a conversation out and closes its run.
///
/// # Errors
/// The first request that has no answer; later steps are not tried.
pub fn carry_out(
    client: &CallerClient,
    conversation: &Conversation,
    observer: &mut dyn Observer,
) -> Result<(), CallFailure> {
    let run = client.open_run(&conversation.program)?;
    let mut player = Player { client, observer };
    player.run(run, &conversation.steps, 0)
}

struct Player<'a> {
    client: &'a CallerClient,
    observer: &'a mut dyn Observer,
}

impl Player<'_> {
    fn run(
        &mut self,
        mut run: RunClient<'_>,
        steps: &[Step],
        depth: usize,
    ) -> Result<(), CallFailure> {
        self.observer.opened(&run, depth);
        for step in steps {
            self.step(&mut run, step, depth)?;
        }
        self.observer.history(&run.history()?, depth);
        run.close().map(drop)
    }

    fn step(
        &mut self,
        run: &mut RunClient<'_>,
        step: &Step,
        depth: usize,
    ) -> Result<(), CallFailure> {
        match step {
            Step::Ask { service, text } => self.ask(run, service, text),
            Step::Call {
                service,
                arguments,
                repeatable,
            } => self.call(run, service, arguments, *repeatable),
            Step::SubAgent { program, steps } => {
                let child = self.client.open_child(program, run.id())?;
                self.run(child, steps, depth + 1)
            }
        }
    }

    fn ask(
        &mut self,
        run: &mut RunClient<'_>,
        service: &ServiceName,
        text: &str,
    ) -> Result<(), CallFailure> {
        self.observer.asked(service, text);
        let started = Instant::now();
        let call = ChatCall::of_user(service.clone(), text);
        let observer = &mut *self.observer;
        let answer = run.chat_streamed(&call, &mut |piece| observer.text(piece));
        self.end(started, answer.map(drop))
    }

    fn call(
        &mut self,
        run: &mut RunClient<'_>,
        service: &ServiceName,
        arguments: &Value,
        repeatable: bool,
    ) -> Result<(), CallFailure> {
        self.observer.called(service, arguments);
        let started = Instant::now();
        let options = CallOptions {
            repeatable,
            deadline: None,
        };
        let result = run.call_service(service, arguments, options);
        if let Ok(result) = &result {
            self.observer.result(result.get());
        }
        self.end(started, result.map(drop))
    }

    fn end(
        &mut self,
        started: Instant,
        result: Result<(), CallFailure>,
    ) -> Result<(), CallFailure> {
        let latency = started.elapsed();
        let failure = result.as_ref().err();
        self.observer.ended(latency, failure);
        result
    }
}
