//! Where a load goes: through the system, or straight to engines.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use ridgeworks_domain::{ProgramName, ServiceName};
use serde_json::json;
use ureq::Agent;

use crate::client::{CallFailure, CallerClient, ChatCall, EventReader, StreamEvent};
use crate::client::{RunClient, TransportFailure};

const MAX_IDLE_CONNECTIONS: usize = 1_024;
const DIRECT_TIMEOUT: Duration = Duration::from_secs(60);

/// When the pieces of one answer arrived.
#[derive(Debug, Clone, Default)]
pub struct Arrivals {
    /// From the request to the first piece.
    pub first: Option<Duration>,
    /// Between one piece and the next.
    pub gaps: Vec<Duration>,
}

/// Notes arrivals of one answer.
struct Stopwatch {
    last: Instant,
    arrivals: Arrivals,
}

impl Stopwatch {
    fn start() -> Self {
        Self {
            last: Instant::now(),
            arrivals: Arrivals::default(),
        }
    }

    fn lap(&mut self) {
        let now = Instant::now();
        let elapsed = now - self.last;
        self.last = now;
        match self.arrivals.first {
            None => self.arrivals.first = Some(elapsed),
            Some(_) => self.arrivals.gaps.push(elapsed),
        }
    }
}

/// Something that streams answers.
pub trait StreamTarget: Sync {
    /// Streams one answer of at most `max_tokens` tokens to a text.
    fn stream(&self, text: &str, max_tokens: u64) -> Result<Arrivals, CallFailure>;
}

/// The system. Each answer belongs to a run of its own, which is opened before the time counts.
pub struct SystemTarget {
    /// The caller.
    pub client: CallerClient,
    /// Program of the runs.
    pub program: ProgramName,
    /// The model service.
    pub service: ServiceName,
}

impl StreamTarget for SystemTarget {
    fn stream(&self, text: &str, max_tokens: u64) -> Result<Arrivals, CallFailure> {
        let mut run = self.client.open_run(&self.program)?;
        let arrivals = stream_call(&mut run, &self.service, text, max_tokens)?;
        run.close()?;
        Ok(arrivals)
    }
}

fn stream_call(
    run: &mut RunClient<'_>,
    service: &ServiceName,
    text: &str,
    max_tokens: u64,
) -> Result<Arrivals, CallFailure> {
    let mut call = ChatCall::of_user(service.clone(), text);
    call.max_tokens = Some(max_tokens);
    let mut stopwatch = Stopwatch::start();
    run.chat_streamed(&call, &mut |_| stopwatch.lap())?;
    Ok(stopwatch.arrivals)
}

/// Engines, asked in turn without the system in between.
pub struct DirectTarget {
    agent: Agent,
    engines: Vec<SocketAddr>,
    next: AtomicUsize,
    service: ServiceName,
}

impl DirectTarget {
    /// A target over these engines of a service.
    pub fn new(engines: Vec<SocketAddr>, service: ServiceName) -> Self {
        let configuration = Agent::config_builder()
            .proxy(None)
            .max_idle_connections(MAX_IDLE_CONNECTIONS)
            .max_idle_connections_per_host(MAX_IDLE_CONNECTIONS)
            .timeout_global(Some(DIRECT_TIMEOUT))
            .build();
        Self {
            agent: Agent::new_with_config(configuration),
            engines,
            next: AtomicUsize::new(0),
            service,
        }
    }

    fn engine(&self) -> SocketAddr {
        let index = self.next.fetch_add(1, Ordering::Relaxed);
        self.engines[index % self.engines.len()]
    }
}

impl StreamTarget for DirectTarget {
    fn stream(&self, text: &str, max_tokens: u64) -> Result<Arrivals, CallFailure> {
        let url = format!("http://{}/v1/chat/completions", self.engine());
        let body = json!({
            "model": self.service,
            "messages": [{"role": "user", "content": text}],
            "max_tokens": max_tokens,
            "stream": true,
        });
        let mut stopwatch = Stopwatch::start();
        let response = self.agent.post(&url).send_json(&body);
        let response = response.map_err(|_| broken(TransportFailure::Broken))?;
        let mut events = EventReader::new(response.into_body().into_reader());
        loop {
            match events.next_event().map_err(broken)? {
                StreamEvent::Text(_) => stopwatch.lap(),
                StreamEvent::Finished(_) => {}
                StreamEvent::Refused(_) => return Err(broken(TransportFailure::Malformed)),
                StreamEvent::End => return Ok(stopwatch.arrivals),
            }
        }
    }
}

fn broken(last: TransportFailure) -> CallFailure {
    CallFailure::Unreachable {
        last,
        may_have_run: true,
    }
}
