//! The gateway as a process: start, reload, stop.

use std::fmt;
use std::io;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use ridgeworks_platform::{READY_PATH, unavailable};
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::http_server::{self, ShortAnswer};
use ridgeworks_resident::logging::LogCounters;
use ridgeworks_resident::metrics::{self, LogCollector};
use ridgeworks_resident::node::{Node, ReloadReason as Reason};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::shutdown::{Order, Orders};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::listener;
use crate::metrics::GatewayMetrics;

/// After an order to stop, the platform sends new clients for as long as it takes to notice.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time kept back before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
const STOP_CHECK: Duration = Duration::from_millis(50);
/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);

/// Why a gateway could not run.
#[derive(Debug)]
pub enum GatewayError {
    /// A socket could not be bound, or signals not received.
    Io(io::Error),
    /// The settings lack an address to listen on.
    NoAddress,
}

impl fmt::Display for GatewayError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::NoAddress => write!(formatter, "the settings lack an address to listen on"),
        }
    }
}

impl std::error::Error for GatewayError {}

impl From<io::Error> for GatewayError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs a gateway until the platform stops it. Must be called inside a local set of tasks.
pub async fn run(
    settings: NodeSettings,
    settings_path: PathBuf,
    log_counters: Arc<LogCounters>,
) -> Result<(), GatewayError> {
    let callers = settings.listen.callers.ok_or(GatewayError::NoAddress)?;
    let readiness = settings.listen.readiness.ok_or(GatewayError::NoAddress)?;
    let mut orders = Orders::listen()?;
    let mut registry = metrics::registry();
    registry.register_collector(Box::new(LogCollector(log_counters)));
    let gateway_metrics = GatewayMetrics::register(&mut registry);
    let node = Node::bind(settings, Clock::start()).await?;
    let gateway = Gateway::new(Rc::clone(&node), gateway_metrics);
    let (drain, draining) = watch::channel(false);
    node.start(Rc::clone(&gateway), Rc::clone(&gateway)).await?;
    node.follow_traffic();
    serve_readiness(&gateway, readiness).await?;
    serve_metrics(&gateway, registry).await?;
    listener::listen(Rc::clone(&gateway), callers, draining).await?;
    tokio::task::spawn_local(Rc::clone(&gateway).tidy());
    tokio::task::spawn_local(Rc::clone(&gateway.records).run_settlements());
    log::info!(target: "process", node = node.settings.name.as_str(), role = "gateway"; "started");
    loop {
        tokio::select! {
            order = orders.next() => match order {
                Order::Reload => node.reload(&settings_path, Reason::Signal),
                Order::Stop => break,
            },
            () = tokio::time::sleep(SETTINGS_INTERVAL) => {
                node.reload(&settings_path, Reason::Interval);
            }
        }
    }
    stop(&gateway, &drain).await;
    Ok(())
}

async fn serve_readiness(gateway: &Rc<Gateway>, address: std::net::SocketAddr) -> io::Result<()> {
    let gateway = Rc::clone(gateway);
    let answer = move |path: &str| {
        let is_ready = path == READY_PATH && gateway.is_ready();
        ShortAnswer::empty(if is_ready {
            StatusCode::OK
        } else {
            unavailable()
        })
    };
    http_server::serve(address, answer).await
}

async fn serve_metrics(
    gateway: &Rc<Gateway>,
    registry: prometheus_client::registry::Registry,
) -> io::Result<()> {
    let Some((port, metrics_path)) = gateway.node.settings.metrics() else {
        return Ok(());
    };
    let address = std::net::SocketAddr::new(gateway.node.settings.address, port);
    let gateway = Rc::clone(gateway);
    let answer = move |path: &str| {
        if path != metrics_path {
            return ShortAnswer::empty(StatusCode::NOT_FOUND);
        }
        gateway.update_gauges();
        metrics::answer(&registry)
    };
    http_server::serve(address, answer).await
}

/// Serves on until the platform has noticed and all requests have their answers.
async fn stop(gateway: &Gateway, drain: &watch::Sender<bool>) {
    let began = Instant::now();
    let grace = gateway.node.settings.bounds.grace();
    let latest = began + grace.saturating_sub(STOP_MARGIN);
    let open = gateway.open_requests();
    log::info!(target: "process", open_requests = open; "stopping");
    gateway.drain();
    drain.send_replace(true);
    while Instant::now() < latest {
        let noticed = began.elapsed() >= NOTICE_TIME;
        if noticed && gateway.open_requests() == 0 {
            break;
        }
        tokio::time::sleep(STOP_CHECK).await;
    }
    gateway.records.finish_settlements(latest).await;
    let open = gateway.open_requests();
    log::info!(target: "process", open_requests = open; "stopped");
}
