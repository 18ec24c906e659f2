//! Starts the threads that call back ends.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_domain::RunId;
use ridgeworks_domain::safeguard::{Safeguard, is_disabled};
use ridgeworks_worker_pool::WorkerPool;
use ureq::Agent;

use super::attempt::{
    AttemptEvent, AttemptId, AttemptOrder, AttemptResolution, AttemptResult, Dispatched,
};
use super::{BackendCall, chat, fence, tool};
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::metrics::labels::{AttemptEnd, AttemptLabels, FenceEnd, FenceLabels};
use crate::thread_message::ThreadMessage;

const THREAD_STACK_BYTES: usize = 256 * 1024;
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const FENCE_TIMEOUT: Duration = Duration::from_secs(2);
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
const MAX_IDLE_CONNECTIONS: usize = 512;
const MAX_IDLE_CONNECTIONS_PER_HOST: usize = 64;
const MAX_IDLE_AGE: Duration = Duration::from_secs(10);

/// Calls back ends over pooled connections.
pub struct BackendClient {
    agent: Agent,
    pool: WorkerPool,
    mailbox: Mailbox<ThreadMessage>,
    metrics: Arc<Metrics>,
}

impl BackendClient {
    /// A client that reports to `mailbox`.
    pub fn new(mailbox: Mailbox<ThreadMessage>, metrics: Arc<Metrics>) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_connect(Some(CONNECT_TIMEOUT))
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS_PER_HOST)
            .max_idle_age(MAX_IDLE_AGE)
            .build()
            .new_agent();
        Self {
            agent,
            mailbox,
            metrics,
            pool: WorkerPool::new("back-end-call", THREAD_STACK_BYTES),
        }
    }

    /// Makes one attempt. Its end is reported in every case.
    pub fn start(&self, order: AttemptOrder) {
        let agent = self.agent.clone();
        let mailbox = self.mailbox.clone();
        let metrics = self.metrics.clone();
        let id = order.id.clone();
        let started = self.pool.run(move || {
            let id = order.id.clone();
            metrics.open_attempts.inc();
            let result = run_attempt(&agent, &mailbox, order);
            metrics.open_attempts.dec();
            count_end(&metrics, &result);
            mailbox.post(ThreadMessage::Attempt(AttemptEvent::Ended { id, result }));
        });
        if started.is_err() {
            let result = AttemptResult::NeverStarted;
            count_end(&self.metrics, &result);
            let event = AttemptEvent::Ended { id, result };
            self.mailbox.post(ThreadMessage::Attempt(event));
        }
    }

    /// Tells the back end to run an attempt no more, and asks how it stands.
    pub fn fence(&self, id: AttemptId, to: Dispatched) {
        let agent = self.agent.clone();
        let mailbox = self.mailbox.clone();
        let metrics = self.metrics.clone();
        // Without a thread no answer comes, and the owner asks again.
        let _ = self.pool.run(move || {
            let resolution = if is_disabled(Safeguard::Fence) {
                AttemptResolution::NeverStarted
            } else {
                fence::fence(&agent, &id, to.address, FENCE_TIMEOUT)
            };
            count_fence(&metrics, &resolution);
            let backend = to.backend;
            mailbox.post(ThreadMessage::Attempt(AttemptEvent::Fenced {
                id,
                backend,
                resolution,
            }));
        });
    }

    /// Tells an engine to keep the context of a run for a time. A lost order costs a rebuild only.
    pub fn retain_context(&self, run: RunId, address: SocketAddr, ttl: Duration) {
        let agent = self.agent.clone();
        let _ = self.pool.run(move || {
            let url = format!("http://{address}/contexts/{run}/retain");
            let body = serde_json::json!({"ttl_ms": ttl.as_millis() as u64});
            let _ = agent
                .post(&url)
                .config()
                .timeout_global(Some(RELEASE_TIMEOUT))
                .build()
                .send_json(body);
        });
    }

    /// Tells an engine to drop the context of a run. Its failure is left to the sweep.
    pub fn release_context(&self, run: RunId, address: SocketAddr) {
        if is_disabled(Safeguard::ContextRelease) {
            return;
        }
        let agent = self.agent.clone();
        let _ = self.pool.run(move || {
            let url = format!("http://{address}/contexts/{run}");
            let _ = agent
                .delete(&url)
                .config()
                .timeout_global(Some(RELEASE_TIMEOUT))
                .build()
                .call();
        });
    }
}

fn count_end(metrics: &Metrics, result: &AttemptResult) {
    let end = match result {
        AttemptResult::Answered { .. } => AttemptEnd::Answered,
        AttemptResult::NeverStarted => AttemptEnd::NeverStarted,
        AttemptResult::InDoubt => AttemptEnd::InDoubt,
    };
    metrics.attempts.get_or_create(&AttemptLabels { end }).inc();
}

fn count_fence(metrics: &Metrics, resolution: &AttemptResolution) {
    let end = match resolution {
        AttemptResolution::Finished { .. } => FenceEnd::Finished,
        AttemptResolution::NeverStarted => FenceEnd::NeverStarted,
        AttemptResolution::Stopped { .. } | AttemptResolution::Cancelled => FenceEnd::Cancelled,
        AttemptResolution::Unreachable => FenceEnd::Unreachable,
    };
    metrics.fences.get_or_create(&FenceLabels { end }).inc();
}

fn run_attempt(
    agent: &Agent,
    mailbox: &Mailbox<ThreadMessage>,
    order: AttemptOrder,
) -> AttemptResult {
    let AttemptOrder {
        id,
        to,
        call,
        timeout,
    } = order;
    match call {
        BackendCall::Chat(body) => {
            let mut report = |text: String| {
                let id = id.clone();
                mailbox.post(ThreadMessage::Attempt(AttemptEvent::Text { id, text }));
            };
            chat::complete(agent, &id, &to, &body, timeout, &mut report)
        }
        BackendCall::Tool {
            service,
            arguments,
            price,
        } => tool::invoke(agent, &id, &to, &service, &arguments, price, timeout),
    }
}
