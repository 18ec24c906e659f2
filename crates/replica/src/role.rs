//! The replica as a process: start, reload, stop.

use std::cell::Cell;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use prometheus_client::registry::Registry;
use ridgeworks_platform::ObjectKind;
use ridgeworks_resident::actors::ActorRuntime;
use ridgeworks_resident::clock::Clock;
use ridgeworks_resident::http_server::{self, ShortAnswer};
use ridgeworks_resident::logging::LogCounters;
use ridgeworks_resident::metrics::{self, LogCollector};
use ridgeworks_resident::node::{Node, ReloadReason as Reason};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::shutdown::{Order, Orders};
use ridgeworks_resident::watching::follow;
use stakker::{ActorOwn, actor, ret_nop};
use tokio::sync::mpsc;

use crate::actor::{ReplicaActor, ReplicaParts};
use crate::coordinator::Coordinator;
use crate::copying;
use crate::handle::ReplicaHandle;
use crate::metrics::ReplicaMetrics;
use crate::retirements::Retirements;

/// Part of the process's memory that turns may take, in percent.
const TURN_PERCENT: u64 = 45;
const BYTES_PER_MB: u64 = 1024 * 1024;
/// How often the settings file is looked at; it may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(5);
/// Requests that came before the order to stop are answered.
const STOP_TIME: Duration = Duration::from_millis(300);

/// Why a replica could not run.
#[derive(Debug)]
pub enum ReplicaError {
    /// A socket could not be bound, or signals not received.
    Io(io::Error),
    /// The settings lack the folder for records.
    NoFolder,
}

impl fmt::Display for ReplicaError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(formatter, "{error}"),
            Self::NoFolder => write!(formatter, "the settings lack the folder for records"),
        }
    }
}

impl std::error::Error for ReplicaError {}

impl From<io::Error> for ReplicaError {
    fn from(error: io::Error) -> Self {
        Self::Io(error)
    }
}

/// Runs a replica until the platform stops it. Must be called inside a local set of tasks.
pub async fn run(
    settings: NodeSettings,
    settings_path: PathBuf,
    log_counters: Arc<LogCounters>,
) -> Result<(), ReplicaError> {
    let folder = settings.data_folder.clone().ok_or(ReplicaError::NoFolder)?;
    let mut orders = Orders::listen()?;
    let mut registry = metrics::registry();
    registry.register_collector(Box::new(LogCollector(log_counters)));
    let replica_metrics = Rc::new(ReplicaMetrics::register(&mut registry));
    let node = Node::bind(settings, Clock::start()).await?;
    let replica = start_actor(&node, folder, replica_metrics);
    node.start(Rc::clone(&replica), Rc::clone(&replica)).await?;
    serve_metrics(&replica, registry).await?;
    let retirements = Retirements::default();
    let store = Rc::clone(&node.store);
    let following = follow(store, ObjectKind::Retirements, retirements.clone());
    tokio::task::spawn_local(following);
    tokio::task::spawn_local(Rc::clone(&replica).pass_sets());
    tokio::task::spawn_local(copying::run(Rc::clone(&replica)));
    tokio::task::spawn_local(Coordinator::new(replica, retirements).run());
    log::info!(target: "process", node = node.settings.name.as_str(), role = "replica"; "started");
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
    log::info!(target: "process", role = "replica"; "stopping");
    tokio::time::sleep(STOP_TIME).await;
    log::info!(target: "process", role = "replica"; "stopped");
    Ok(())
}

fn start_actor(node: &Rc<Node>, folder: PathBuf, metrics: Rc<ReplicaMetrics>) -> Rc<ReplicaHandle> {
    let memory = node.settings.limits.memory_mb * BYTES_PER_MB;
    let max_turn_bytes = memory * TURN_PERCENT / 100;
    let (news, received) = mpsc::unbounded_channel();
    let status = Rc::new(Cell::new(None));
    let parts = ReplicaParts {
        folder,
        node_name: node.settings.name.clone(),
        max_turn_bytes: usize::try_from(max_turn_bytes).unwrap_or(usize::MAX),
        view: Rc::clone(&node.view),
        metrics: Rc::clone(&metrics),
        news,
        status: Rc::clone(&status),
    };
    let actors = ActorRuntime::default();
    let actor: ActorOwn<ReplicaActor> =
        actors.with(|stakker| actor!(stakker, ReplicaActor::init(parts), ret_nop!()));
    let node = Rc::clone(node);
    let handle = ReplicaHandle::new(node, metrics, actors.clone(), actor, status);
    let handle = Rc::new(handle);
    tokio::task::spawn_local(actors.run());
    tokio::task::spawn_local(Rc::clone(&handle).pass_news(received));
    handle
}

async fn serve_metrics(replica: &Rc<ReplicaHandle>, registry: Registry) -> io::Result<()> {
    let Some((port, metrics_path)) = replica.node.settings.metrics() else {
        return Ok(());
    };
    let address = SocketAddr::new(replica.node.settings.address, port);
    let replica = Rc::clone(replica);
    let answer = move |path: &str| {
        if path != metrics_path {
            return ShortAnswer::empty(StatusCode::NOT_FOUND);
        }
        let epoch = i64::try_from(replica.node.view.epoch().0).unwrap_or(i64::MAX);
        replica.metrics.replica_set_epoch.set(epoch);
        metrics::answer(&registry)
    };
    http_server::serve(address, answer).await
}
