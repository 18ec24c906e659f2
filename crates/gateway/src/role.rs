//! Starts, runs and stops the gateway process.

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
use ridgeworks_resident::shutdown::{EarlyReloads, Signals};
use tokio::sync::watch;
use tokio::time::Instant;

use crate::gateway::Gateway;
use crate::listener::{self, StopPhase};
use crate::metrics::GatewayMetrics;
use crate::stop::StopTimes;

/// How long the platform may keep sending new clients after the gateway has become unready.
const READINESS_NOTICE_TIME: Duration = Duration::from_millis(2_600);
/// Stopping ends this long before the platform kills the process.
const STOP_MARGIN: Duration = Duration::from_millis(700);
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Time, after the stop has given up what is open, to send the answers that say so.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(300);
/// Time for the last bytes of a response to reach the client.
const FLUSH_TIME: Duration = Duration::from_millis(60);

/// Runs a gateway until the platform stops it. Must be called inside a `LocalSet`. Fails if a
/// listen address is not set or cannot be bound.
pub async fn run(
    settings: NodeSettings,
    settings_path: PathBuf,
    log_counters: Arc<LogCounters>,
    early_reloads: &EarlyReloads,
) -> Result<(), RoleError> {
    let mut signals = Signals::listen(early_reloads)?;
    let (stopping, phase) = watch::channel(StopPhase::Serving);
    let started = tokio::select! {
        started = start(settings, log_counters, phase) => started,
        () = signals.stop() => {
            log::info!(target: "process", role = "gateway"; "stopped before it had started");
            return Ok(());
        }
    };
    let gateway = started?;
    run_until_stopped(&gateway.node, &settings_path, &mut signals).await;
    stop(&gateway, &stopping).await;
    Ok(())
}

/// Starts all that a gateway does. It answers probes of its readiness only once clients can connect.
async fn start(
    settings: NodeSettings,
    log_counters: Arc<LogCounters>,
    phase: watch::Receiver<StopPhase>,
) -> Result<Rc<Gateway>, RoleError> {
    let client_address = settings
        .listen
        .callers
        .ok_or(RoleError::MissingSetting("listen.callers"))?;
    let readiness = settings
        .listen
        .readiness
        .ok_or(RoleError::MissingSetting("listen.readiness"))?;
    let mut registry = metrics::registry();
    registry.register_collector(Box::new(LogCollector(log_counters)));
    registry.register_collector(Box::new(RejectedMessageCollector));
    build::register(&mut registry);
    let gateway_metrics = GatewayMetrics::register(&mut registry);
    let node = Node::bind(settings, Clock::start()).await?;
    let gateway = Gateway::new(Rc::clone(&node), gateway_metrics);
    node.start(Rc::clone(&gateway), Rc::clone(&gateway)).await?;
    node.watch_store();
    tokio::task::spawn_local(Rc::clone(&gateway).read_stored_ends());
    let metrics_source = Rc::clone(&gateway);
    serve_metrics(&node, registry, move || metrics_source.update_gauges()).await?;
    listener::listen(Rc::clone(&gateway), client_address, phase).await?;
    serve_readiness(&gateway, readiness).await?;
    tokio::task::spawn_local(Rc::clone(&gateway).run_maintenance());
    tokio::task::spawn_local(Rc::clone(&gateway.records).run_settlements());
    tokio::task::spawn_local(Rc::clone(&gateway.records).run_probes());
    Ok(gateway)
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

/// Keeps serving until the platform has noticed the stop, then drains open requests.
async fn stop(gateway: &Rc<Gateway>, stopping: &watch::Sender<StopPhase>) {
    let began = Instant::now();
    let grace = gateway.node.settings.bounds.grace();
    let deadline = began + grace.saturating_sub(STOP_MARGIN);
    let open = gateway.open_requests();
    log::info!(target: "process", open_requests = open; "stopping");
    let closes_at = deadline.min(began + READINESS_NOTICE_TIME);
    gateway.stop.begin(StopTimes {
        refuses_from: closes_at,
        gives_up_at: deadline,
    });
    stopping.send_replace(StopPhase::Draining);
    tokio::time::sleep_until(closes_at).await;
    stopping.send_replace(StopPhase::Closed);
    finish(gateway, deadline).await;
    wait_until_answered(gateway, deadline + LAST_ANSWERS_TIME).await;
    log::info!(
        target: "process",
        open_requests = gateway.open_requests(),
        unanswered_connections = gateway.used_connections();
        "stopped"
    );
}

/// Waits until all requests are answered and settled, their clients have been sent the answers, and all permits are settled. Open
/// connections may still bring requests, so the gateway has to be idle for a moment before it stops.
async fn finish(gateway: &Rc<Gateway>, deadline: Instant) {
    while Instant::now() < deadline {
        if !is_answered(gateway) {
            tokio::time::sleep(STOP_POLL_INTERVAL).await;
            continue;
        }
        let before = gateway.metrics.requests.get();
        gateway.records.finish_settlements(deadline).await;
        tokio::time::sleep(FLUSH_TIME).await;
        // Other gateways would count a permit until they find out by themselves what became of its send.
        let is_settled = gateway.held_permits() == 0;
        if is_answered(gateway) && is_settled && gateway.metrics.requests.get() == before {
            return;
        }
    }
}

/// Whether no request is open and no client is still being sent an answer.
fn is_answered(gateway: &Gateway) -> bool {
    gateway.open_requests() == 0 && gateway.used_connections() == 0
}

/// Waits until those that are given up at the end have their answers.
async fn wait_until_answered(gateway: &Gateway, limit: Instant) {
    while !is_answered(gateway) && Instant::now() < limit {
        tokio::time::sleep(STOP_POLL_INTERVAL).await;
    }
}
