//! The gateway as a process: start, reload, stop.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use ridgeworks_platform::{READY_PATH, unavailable};
use ridgeworks_resident::build;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::http_server::{self, TextResponse};
use ridgeworks_resident::logging::LogCounters;
use ridgeworks_resident::metrics::{self, LogCollector, RejectedMessageCollector};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::process::{RoleError, run_until_stopped, serve_metrics};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::shutdown::Signals;
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::listener::{self, StopPhase};
use crate::metrics::GatewayMetrics;

/// After an order to stop, the platform sends new clients for as long as it takes to notice.
const NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Time kept back before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
const STOP_CHECK: Duration = Duration::from_millis(50);
/// A request that has ended has its last bytes on their way to the client for a moment.
const LAST_ANSWERS: Duration = Duration::from_millis(60);

/// Runs a gateway until the platform stops it. Must be called inside a local set of tasks.
pub async fn run(
    settings: NodeSettings,
    settings_path: PathBuf,
    log_counters: Arc<LogCounters>,
) -> Result<(), RoleError> {
    let callers = settings
        .listen
        .callers
        .ok_or(RoleError::MissingSetting("listen.callers"))?;
    let readiness = settings
        .listen
        .readiness
        .ok_or(RoleError::MissingSetting("listen.readiness"))?;
    let mut orders = Signals::listen()?;
    let mut registry = metrics::registry();
    registry.register_collector(Box::new(LogCollector(log_counters)));
    registry.register_collector(Box::new(RejectedMessageCollector));
    build::register(&mut registry);
    let gateway_metrics = GatewayMetrics::register(&mut registry);
    let node = Node::bind(settings, Clock::start()).await?;
    let gateway = Gateway::new(Rc::clone(&node), gateway_metrics);
    let (stopping, phase) = watch::channel(StopPhase::Serving);
    node.start(Rc::clone(&gateway), Rc::clone(&gateway)).await?;
    node.watch_store();
    serve_readiness(&gateway, readiness).await?;
    let updated = Rc::clone(&gateway);
    serve_metrics(&node, registry, move || updated.update_gauges()).await?;
    listener::listen(Rc::clone(&gateway), callers, phase).await?;
    tokio::task::spawn_local(Rc::clone(&gateway).clean_up());
    tokio::task::spawn_local(Rc::clone(&gateway.records).run_settlements());
    tokio::task::spawn_local(Rc::clone(&gateway.records).run_searches());
    run_until_stopped(&node, &settings_path, &mut orders).await;
    stop(&gateway, &stopping).await;
    Ok(())
}

async fn serve_readiness(gateway: &Rc<Gateway>, address: SocketAddr) -> io::Result<()> {
    let gateway = Rc::clone(gateway);
    let answer = move |path: &str| {
        let is_ready = path == READY_PATH && gateway.is_ready();
        TextResponse::empty(if is_ready {
            StatusCode::OK
        } else {
            unavailable()
        })
    };
    http_server::serve(address, answer).await
}

/// Serves on until the platform has noticed and all requests have their answers.
async fn stop(gateway: &Rc<Gateway>, stopping: &watch::Sender<StopPhase>) {
    let began = Instant::now();
    let grace = gateway.node.settings.bounds.grace();
    let latest = began + grace.saturating_sub(STOP_MARGIN);
    let open = gateway.open_requests();
    log::info!(target: "process", open_requests = open; "stopping");
    gateway.drain();
    stopping.send_replace(StopPhase::Draining);
    tokio::time::sleep_until(latest.min(began + NOTICE_TIME)).await;
    stopping.send_replace(StopPhase::Closed);
    finish(gateway, latest).await;
    let open = gateway.open_requests();
    log::info!(target: "process", open_requests = open; "stopped");
}

/// Waits until all requests are answered and settled. Connections that were taken before may bring another
/// request at any moment, so that the end has to find the gateway quiet for a while: what is read is answered.
async fn finish(gateway: &Rc<Gateway>, latest: Instant) {
    while Instant::now() < latest {
        if gateway.open_requests() > 0 {
            tokio::time::sleep(STOP_CHECK).await;
            continue;
        }
        let before = gateway.metrics.requests.get();
        gateway.records.finish_settlements(latest).await;
        tokio::time::sleep(LAST_ANSWERS).await;
        if gateway.open_requests() == 0 && gateway.metrics.requests.get() == before {
            return;
        }
    }
}
