//! The operators' changes: through the published interface of the full processes.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::client::{ClientError, OperatorClient};
use ridgeworks_api::v1;
use ridgeworks_api::v1::object::Specification;

use super::error::ScaleError;
use super::wall_clock::wall_clock_us;
use crate::cluster::{PartnerToken, operation_id, operator_client};

/// Objects that are changed, and changes of a burst.
pub const OBJECTS: usize = 50;
const RANKS: u32 = 200;
/// The changes of a burst are spread over this time.
const BURST_TIME: Duration = Duration::from_secs(1);

/// An accepted change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accepted {
    /// Its revision.
    pub revision: u64,
    /// When the operator knew, in microseconds of the wall clock.
    pub at_us: u64,
    /// How long the operator waited.
    pub took: Duration,
}

/// The operators of one partner, who change priority classes in turn.
pub struct Changes {
    clients: Vec<OperatorClient>,
    partner: String,
    /// Version of each object; an object is changed by one operator at a time.
    versions: Vec<Mutex<u64>>,
    next: AtomicUsize,
}

impl Changes {
    /// Operators at all these nodes.
    pub fn new(nodes: &[SocketAddr], token: &PartnerToken) -> Self {
        let client = |node: &SocketAddr| operator_client(&[*node], token);
        Self {
            clients: nodes.iter().map(client).collect(),
            partner: token.partner.clone(),
            versions: (0..OBJECTS).map(|_| Mutex::new(0)).collect(),
            next: AtomicUsize::new(0),
        }
    }

    /// Changes all objects, spread over a second.
    pub fn burst(&self) -> Result<Vec<Accepted>, ScaleError> {
        let start = Instant::now();
        thread::scope(|scope| {
            let operators: Vec<_> = (0..OBJECTS)
                .map(|order| {
                    let at = start + BURST_TIME * order as u32 / OBJECTS as u32;
                    scope.spawn(move || {
                        thread::sleep(at.saturating_duration_since(Instant::now()));
                        self.change_next()
                    })
                })
                .collect();
            let outcomes = operators.into_iter();
            outcomes
                .map(|operator| operator.join().expect("operators do not panic"))
                .collect()
        })
    }

    /// Makes so many changes at even distances over a window.
    pub fn spread(&self, count: usize, window: Duration) -> Result<Vec<Accepted>, ScaleError> {
        let start = Instant::now();
        let mut accepted = Vec::with_capacity(count);
        for order in 0..count {
            let at = start + window.mul_f64(order as f64 / count as f64);
            thread::sleep(at.saturating_duration_since(Instant::now()));
            accepted.push(self.change_next()?);
        }
        Ok(accepted)
    }

    fn change_next(&self) -> Result<Accepted, ScaleError> {
        let number = self.next.fetch_add(1, Ordering::Relaxed);
        let object = number % OBJECTS;
        let mut version = self.versions[object]
            .lock()
            .expect("no holder of this lock panics");
        let client = &self.clients[number % self.clients.len()];
        let request = self.request(object, number as u32 % RANKS, *version);
        let asked = Instant::now();
        let answer = apply(client, &request).map_err(ScaleError::Change)?;
        *version = answer.version;
        Ok(Accepted {
            revision: answer.revision,
            at_us: wall_clock_us(),
            took: asked.elapsed(),
        })
    }

    fn request(&self, object: usize, rank: u32, expected_version: u64) -> v1::ApplyRequest {
        let class = v1::PriorityClass {
            urgent: false,
            rank,
        };
        v1::ApplyRequest {
            object: Some(v1::Object {
                metadata: Some(v1::Metadata {
                    kind: v1::ObjectKind::PriorityClass.into(),
                    name: format!("scale-class-{object}"),
                    partner: self.partner.clone(),
                    ..v1::Metadata::default()
                }),
                specification: Some(Specification::PriorityClass(class)),
            }),
            expected_version,
            operation_id: operation_id(),
        }
    }
}

/// Repeats a change once under the same operation identifier where a node is not ready for it.
fn apply(
    client: &OperatorClient,
    request: &v1::ApplyRequest,
) -> Result<v1::ApplyResponse, ClientError> {
    match client.apply(request) {
        Err(ClientError::Unavailable { .. } | ClientError::Unreachable { .. }) => {
            client.apply(request)
        }
        answer => answer,
    }
}
