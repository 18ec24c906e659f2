//! Operators of the partners: they change and read objects, and race for the same ones.
//!
//! Each program that they write has a budget of its own, which is the value of the register that
//! the checker sees. Of the pool split it sees the parts proposed last: a consent leaves them as they
//! are, and is recorded under a key of its own, so that its revision counts.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ridgeworks_api::ConnectCode;
use ridgeworks_api::client::{ClientError, ClientSettings, OperatorClient};
use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;
use ridgeworks_history::Event;
use ridgeworks_history::record::ConfigOutcome;

use super::error::ChaosError;
use super::recorder::Recorder;
use super::workload::Workload;

const POOL_SPLIT_NAME: &str = "pool";
const POOL_SPLIT_KEY: &str = "pool-split";
const CONSENT_KEY: &str = "pool-split-consent";
const ANSWER_TIMEOUT: Duration = Duration::from_secs(6);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const NODES_ASKED: usize = 2;
const OBJECTS_OF_PARTNER: usize = 3;
const REPEATED_SHARE: f64 = 0.8;
const MOST_REPETITIONS: usize = 4;
const PAUSE_MS: std::ops::Range<u64> = 100..600;
const RACE_PAUSE_MS: std::ops::Range<u64> = 0..20;
const WHOLE_POOL: u32 = 1_000;
/// Above the budgets of the preset's programs, so that no value of an operator is one of theirs.
static NEXT_BUDGET: AtomicU64 = AtomicU64::new(1_000_000);

/// What an operator is started with.
#[derive(Debug, Clone)]
pub struct OperatorPlan {
    /// Its name in the history.
    pub name: String,
    /// Seed of what it does.
    pub seed: u64,
    /// The nodes.
    pub nodes: Vec<SocketAddr>,
    /// Token of its partner.
    pub token: String,
    /// Programs of its partner.
    pub workload: Workload,
    /// Class of the partner that its programs use.
    pub class: String,
    /// Both partners, the own one first.
    pub partners: Vec<String>,
}

/// An operator at work.
#[derive(Debug)]
pub struct Operator {
    plan: OperatorPlan,
    random: ChaCha8Rng,
    recorder: Recorder,
}

/// What is read of an object.
struct Shown {
    value: Option<String>,
    version: u64,
    revision: Option<u64>,
}

impl Operator {
    /// An operator that records in `folder`.
    pub fn new(plan: OperatorPlan, folder: &Path) -> Result<Self, ChaosError> {
        Ok(Self {
            random: ChaCha8Rng::seed_from_u64(plan.seed),
            recorder: Recorder::open(folder, &plan.name)?,
            plan,
        })
    }

    /// Makes one operation after the other until it is told to stop; without pauses and on the same
    /// objects while there is a race.
    pub fn work(&mut self, stop: &AtomicBool, race: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            let racing = race.load(Ordering::SeqCst);
            self.step(racing);
            let pause = if racing { RACE_PAUSE_MS } else { PAUSE_MS };
            thread::sleep(Duration::from_millis(self.random.random_range(pause)));
        }
    }

    fn step(&mut self, racing: bool) {
        let object = match racing {
            true => 0,
            false => self.random.random_range(0..OBJECTS_OF_PARTNER),
        };
        let name = format!("{}-tried-{object}", self.plan.workload.partner);
        match self.random.random_range(0..10) {
            0..5 => self.apply(&name),
            5 => self.delete(&name),
            6..8 => drop(self.read_program(&name)),
            8 => self.propose(),
            _ => self.consent(),
        }
    }

    fn apply(&mut self, name: &str) {
        let Some(shown) = self.read_program(name) else {
            return;
        };
        let budget = NEXT_BUDGET.fetch_add(1, Ordering::SeqCst);
        let object = self.program(name, budget);
        let operation = self.operation("apply");
        let request = v1::ApplyRequest {
            object: Some(object),
            expected_version: shown.version,
            operation_id: operation.clone(),
        };
        self.change(&operation, name, Some(budget.to_string()), |client| {
            client.apply(&request).map(|answer| answer.revision)
        });
    }

    fn delete(&mut self, name: &str) {
        let Some(shown) = self.read_program(name) else {
            return;
        };
        let operation = self.operation("delete");
        let request = v1::DeleteRequest {
            kind: v1::ObjectKind::Program.into(),
            name: name.to_owned(),
            expected_version: shown.version,
            operation_id: operation.clone(),
        };
        self.change(&operation, name, None, |client| {
            client.delete(&request).map(|answer| answer.revision)
        });
    }

    fn propose(&mut self) {
        let Some(shown) = self.read_split() else {
            return;
        };
        let own = self.random.random_range(1..WHOLE_POOL);
        let parts = [own, WHOLE_POOL - own];
        let names = self.plan.partners.iter();
        let shares: Vec<v1::Share> = names
            .zip(parts)
            .map(|(partner, permille)| v1::Share {
                partner: partner.clone(),
                permille,
            })
            .collect();
        let value = shares_text(&shares);
        let operation = self.operation("propose");
        let request = v1::ProposeSharesRequest {
            shares,
            expected_version: shown.version,
            operation_id: operation.clone(),
        };
        self.change(&operation, POOL_SPLIT_KEY, Some(value), |client| {
            client
                .propose_shares(&request)
                .map(|answer| answer.revision)
        });
    }

    fn consent(&mut self) {
        let Some(shown) = self.read_split() else {
            return;
        };
        let operation = self.operation("consent");
        let request = v1::ConsentSharesRequest {
            proposal_version: shown.version,
            operation_id: operation.clone(),
        };
        let value = Some(operation.clone());
        self.change(&operation, CONSENT_KEY, value, |client| {
            client
                .consent_shares(&request)
                .map(|answer| answer.revision)
        });
    }

    fn operation(&mut self, kind: &str) -> String {
        format!("{kind}-{:016x}", self.random.random::<u64>())
    }

    fn program(&self, name: &str, budget: u64) -> v1::Object {
        let first = self.plan.workload.programs.first();
        let services = first.iter().flat_map(|program| &program.services);
        v1::Object {
            metadata: Some(v1::Metadata {
                kind: v1::ObjectKind::Program.into(),
                name: name.to_owned(),
                partner: self.plan.workload.partner.to_string(),
                ..v1::Metadata::default()
            }),
            specification: Some(Specification::Program(v1::Program {
                class: self.plan.class.clone(),
                services: services.map(|service| service.name.to_string()).collect(),
                budget,
                max_calls: 1,
            })),
        }
    }

    fn read_program(&mut self, name: &str) -> Option<Shown> {
        self.read(name, v1::ObjectKind::Program, name)
    }

    fn read_split(&mut self) -> Option<Shown> {
        self.read(POOL_SPLIT_KEY, v1::ObjectKind::PoolSplit, POOL_SPLIT_NAME)
    }

    fn read(&mut self, key: &str, kind: v1::ObjectKind, name: &str) -> Option<Shown> {
        let operation = self.operation("read");
        let request = v1::GetRequest {
            kind: kind.into(),
            name: name.to_owned(),
        };
        self.invoked(&operation, key, None);
        let (outcome, shown) = match self.client().get(&request) {
            Ok(answer) => (ConfigOutcome::Accepted, Some(shown_of(answer.object))),
            Err(ClientError::Refused(body)) if body.code == ConnectCode::NotFound => {
                (ConfigOutcome::Accepted, Some(shown_of(None)))
            }
            Err(_) => (ConfigOutcome::Rejected, None),
        };
        let value = shown.as_ref().and_then(|shown| shown.value.clone());
        let revision = shown.as_ref().and_then(|shown| shown.revision);
        self.answered(&operation, key, value, outcome, revision);
        shown
    }

    /// Sends a change, most often again under the same identifier while its end is unknown.
    fn change(
        &mut self,
        operation: &str,
        key: &str,
        value: Option<String>,
        send: impl Fn(&OperatorClient) -> Result<u64, ClientError>,
    ) {
        for _ in 0..MOST_REPETITIONS {
            self.invoked(operation, key, value.clone());
            let client = self.client();
            let (outcome, revision) = match send(&client) {
                Ok(revision) => (ConfigOutcome::Accepted, Some(revision)),
                Err(error) if error.is_outcome_unknown() => (ConfigOutcome::Unknown, None),
                Err(_) => (ConfigOutcome::Rejected, None),
            };
            self.answered(operation, key, value.clone(), outcome, revision);
            if outcome != ConfigOutcome::Unknown || !self.random.random_bool(REPEATED_SHARE) {
                return;
            }
        }
    }

    /// A client of a few nodes of its own choice, each asked once.
    fn client(&mut self) -> OperatorClient {
        let mut nodes = self.plan.nodes.clone();
        nodes.shuffle(&mut self.random);
        nodes.truncate(NODES_ASKED);
        let servers = nodes.iter().map(|node| format!("http://{node}")).collect();
        OperatorClient::new(ClientSettings {
            response_timeout: ANSWER_TIMEOUT,
            connect_timeout: CONNECT_TIMEOUT,
            rounds: 1,
            ..ClientSettings::new(servers, self.plan.token.clone())
        })
    }

    fn invoked(&self, operation: &str, key: &str, value: Option<String>) {
        self.recorder.write(Event::ConfigInvoked {
            operation: operation.to_owned(),
            key: key.to_owned(),
            value,
        });
    }

    fn answered(
        &self,
        operation: &str,
        key: &str,
        value: Option<String>,
        outcome: ConfigOutcome,
        revision: Option<u64>,
    ) {
        self.recorder.write(Event::ConfigAnswered {
            operation: operation.to_owned(),
            key: key.to_owned(),
            value,
            outcome,
            revision,
        });
    }
}

fn shown_of(object: Option<v1::Object>) -> Shown {
    let metadata = object.as_ref().and_then(|object| object.metadata.clone());
    let metadata = metadata.unwrap_or_default();
    let value = match object.and_then(|object| object.specification) {
        Some(Specification::Program(program)) => Some(program.budget.to_string()),
        Some(Specification::PoolSplit(split)) if split.proposed.is_empty() => {
            Some(shares_text(&split.shares))
        }
        Some(Specification::PoolSplit(split)) => Some(shares_text(&split.proposed)),
        _ => None,
    };
    Shown {
        value,
        version: metadata.version,
        revision: (metadata.revision > 0).then_some(metadata.revision),
    }
}

/// The parts in order of the partners' names.
fn shares_text(shares: &[v1::Share]) -> String {
    let mut parts: Vec<String> = shares
        .iter()
        .map(|share| format!("{}={}", share.partner, share.permille))
        .collect();
    parts.sort();
    parts.join(" ")
}
