//! The replica process: start, reload and shutdown.

use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_platform::ObjectKind;
use ridgeworks_resident::actors::ActorRuntime;
use ridgeworks_resident::build;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::logging::LogCounters;
use ridgeworks_resident::metrics::{self, LogCollector, RejectedMessageCollector};
use ridgeworks_resident::node::Node;
use ridgeworks_resident::process::{RoleError, run_until_stopped, serve_metrics};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::shutdown::{EarlyReloads, Signals};
use ridgeworks_resident::store_watch::watch_objects;
use ridgeworks_resident::watch_policy::{WatchControl, WatchTimings};
use stakker::{ActorOwn, actor, ret_nop};
use tokio::sync::mpsc;

use crate::actor::{ReplicaActor, ReplicaParts};
use crate::chain_repair::{self, RepairJob};
use crate::coordinator::Coordinator;
use crate::copying;
use crate::handle::ReplicaHandle;
use crate::metrics::ReplicaMetrics;
use crate::retirements::Retirements;

/// Share of the process's memory that turns may take, in percent.
const TURN_MEMORY_PERCENT: u64 = 60;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// Time to reply to requests that arrived before shutdown.
const SHUTDOWN_TIME: Duration = Duration::from_millis(300);

/// Runs a replica until the platform stops it. Must be called inside a `LocalSet`.
pub async fn run(
    settings: NodeSettings,
    settings_path: PathBuf,
    log_counters: Arc<LogCounters>,
    early_reloads: &EarlyReloads,
) -> Result<(), RoleError> {
    let mut signals = Signals::listen(early_reloads)?;
    let started = tokio::select! {
        started = start(settings, log_counters) => started,
        () = signals.stop() => {
            log::info!(target: "process", role = "replica"; "stopped before it had started");
            return Ok(());
        }
    };
    let node = started?;
    run_until_stopped(&node, &settings_path, &mut signals).await;
    log::info!(target: "process", role = "replica"; "stopping");
    tokio::time::sleep(SHUTDOWN_TIME).await;
    log::info!(target: "process", role = "replica"; "stopped");
    Ok(())
}

/// Starts all that a replica does.
async fn start(
    settings: NodeSettings,
    log_counters: Arc<LogCounters>,
) -> Result<Rc<Node>, RoleError> {
    let folder = settings
        .data_folder
        .clone()
        .ok_or(RoleError::MissingSetting("data_folder"))?;
    let mut registry = metrics::registry();
    registry.register_collector(Box::new(LogCollector(log_counters)));
    registry.register_collector(Box::new(RejectedMessageCollector));
    build::register(&mut registry);
    let replica_metrics = Rc::new(ReplicaMetrics::register(&mut registry));
    let node = Node::bind(settings, Clock::start()).await?;
    let (repairs, repair_jobs) = mpsc::unbounded_channel();
    let replica = start_actor(&node, folder, replica_metrics, repairs);
    node.start(Rc::clone(&replica), Rc::clone(&replica)).await?;
    let gauge_source = Rc::clone(&replica);
    serve_metrics(&node, registry, move || gauge_source.update_gauges()).await?;
    let retirements = Retirements::default();
    let store = Rc::clone(&node.store);
    let store_watch = Rc::new(WatchControl::new(WatchTimings::RETIREMENTS));
    let retirement_watch = watch_objects(
        store,
        ObjectKind::Retirements,
        retirements.clone(),
        Rc::clone(&store_watch),
    );
    tokio::task::spawn_local(retirement_watch);
    tokio::task::spawn_local(Rc::clone(&replica).forward_sets());
    tokio::task::spawn_local(Rc::clone(&replica).clean_up_limiters());
    tokio::task::spawn_local(copying::run(Rc::clone(&replica)));
    tokio::task::spawn_local(chain_repair::run(Rc::clone(&replica), repair_jobs));
    tokio::task::spawn_local(Coordinator::new(replica, retirements, store_watch).run());
    Ok(node)
}

fn start_actor(
    node: &Rc<Node>,
    folder: PathBuf,
    metrics: Rc<ReplicaMetrics>,
    repairs: mpsc::UnboundedSender<RepairJob>,
) -> Rc<ReplicaHandle> {
    let memory_limit_bytes = node.settings.limits.memory_mb * BYTES_PER_MB;
    let max_total_turn_bytes = memory_limit_bytes * TURN_MEMORY_PERCENT / 100;
    let (disk_events, event_receiver) = mpsc::unbounded_channel();
    let status = Rc::new(Cell::new(None));
    let parts = ReplicaParts {
        folder,
        node_name: node.settings.name.clone(),
        max_total_turn_bytes: usize::try_from(max_total_turn_bytes).unwrap_or(usize::MAX),
        clock: node.clock,
        view: Rc::clone(&node.view),
        metrics: Rc::clone(&metrics),
        disk_events,
        repairs,
        status: Rc::clone(&status),
    };
    let actors = ActorRuntime::default();
    let actor: ActorOwn<ReplicaActor> =
        actors.with(|stakker| actor!(stakker, ReplicaActor::init(parts), ret_nop!()));
    let node = Rc::clone(node);
    let handle = ReplicaHandle::new(node, metrics, actors.clone(), actor, status);
    let handle = Rc::new(handle);
    tokio::task::spawn_local(actors.run());
    tokio::task::spawn_local(Rc::clone(&handle).forward_disk_events(event_receiver));
    handle
}
