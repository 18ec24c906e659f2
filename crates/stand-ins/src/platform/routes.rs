//! The platform's HTTP paths.

use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use serde_json::{Value, json};
use tiny_http::Method;

use crate::failure::Failure;
use crate::http::{ChunkWriter, Reply};
use crate::incoming::Incoming;
use crate::platform::PlatformState;
use crate::platform::machines::MachineState;
use crate::platform::store::{ObjectKey, WatchLine};

const JSON_LINES: &str = "application/x-ndjson";

/// How often a watch without changes shows that it is alive, so that a vanished watcher is noticed.
const WATCH_PROGRESS_INTERVAL: Duration = Duration::from_millis(500);

/// How often a watch looks whether the platform went down.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Answers one request.
pub fn handle(platform: &Arc<PlatformState>, incoming: &Incoming) -> Result<Reply, Failure> {
    let segments = incoming.segments();
    match (&incoming.method, segments.as_slice()) {
        (Method::Post, ["fault"]) => {
            return Ok(Reply::json(&platform.faults.set(incoming.json()?)));
        }
        (Method::Get, ["health"]) => return Ok(health(platform)),
        (Method::Get, ["metrics"]) => return Ok(Reply::Text(metrics(platform))),
        _ => {}
    }
    platform.faults.wait_while_slow();
    if platform.faults.is_down() {
        return Ok(closed(platform, incoming));
    }
    match (&incoming.method, segments.as_slice()) {
        (Method::Get, ["objects"]) => Ok(Reply::json(&platform.store.list(incoming.query("kind")))),
        (Method::Get, ["objects", kind, name]) => {
            let object = platform.store.get(&object_key(kind, name))?;
            Ok(Reply::json(&object))
        }
        (Method::Put, ["objects", kind, name]) => {
            let document: Value = incoming.json()?;
            let expected = expected_version(incoming)?;
            let version = platform
                .store
                .put(object_key(kind, name), document, expected)?;
            Ok(changed(platform, incoming, version))
        }
        (Method::Delete, ["objects", kind, name]) => {
            let expected = expected_version(incoming)?;
            let version = platform.store.delete(object_key(kind, name), expected)?;
            Ok(changed(platform, incoming, version))
        }
        (Method::Get, ["watch"]) => watch(platform, incoming),
        (Method::Get, ["machines"]) => Ok(Reply::json(&platform.machines.published())),
        (Method::Put, ["machines", name]) => {
            let version = platform.machines.register(name, incoming.json()?);
            Ok(Reply::json(&json!({"version": version})))
        }
        (Method::Post, ["machines", name, "leave"]) => {
            machine_state(platform, name, MachineState::Leaving)
        }
        (Method::Delete, ["machines", name]) => machine_state(platform, name, MachineState::Gone),
        (Method::Post, ["weights", model]) => weights(platform, model, incoming),
        _ => Err(Failure::UnknownRoute),
    }
}

fn object_key(kind: &str, name: &str) -> ObjectKey {
    ObjectKey {
        kind: kind.to_owned(),
        name: name.to_owned(),
    }
}

fn expected_version(incoming: &Incoming) -> Result<u64, Failure> {
    let text = incoming
        .header("If-Match")
        .ok_or(Failure::InvalidField("If-Match"))?;
    let version = text.trim().trim_matches('"').parse();
    version.map_err(|_| Failure::InvalidField("If-Match"))
}

/// Answers a change that took effect, unless its answer is to be lost.
fn changed(platform: &PlatformState, incoming: &Incoming, version: u64) -> Reply {
    if platform.faults.takes_answer() {
        return closed(platform, incoming);
    }
    Reply::json(&json!({"version": version}))
}

fn closed(platform: &PlatformState, incoming: &Incoming) -> Reply {
    platform.close_connection(incoming.peer);
    Reply::Nothing
}

fn machine_state(
    platform: &PlatformState,
    name: &str,
    state: MachineState,
) -> Result<Reply, Failure> {
    let version = platform.machines.set_state(name, state)?;
    Ok(Reply::json(&json!({"version": version})))
}

/// Counts an open watch for as long as it lives.
struct WatcherSlot {
    platform: Arc<PlatformState>,
}

impl WatcherSlot {
    fn take(platform: &Arc<PlatformState>) -> Result<Self, Failure> {
        let slot = Self {
            platform: Arc::clone(platform),
        };
        let before = platform.watchers.fetch_add(1, Ordering::SeqCst);
        if before >= platform.options.max_watchers {
            return Err(Failure::TooManyWatchers);
        }
        Ok(slot)
    }
}

impl Drop for WatcherSlot {
    fn drop(&mut self) {
        self.platform.watchers.fetch_sub(1, Ordering::SeqCst);
    }
}

fn watch(platform: &Arc<PlatformState>, incoming: &Incoming) -> Result<Reply, Failure> {
    let after = incoming.query_number("after", 0)?;
    platform.store.check_watch(after)?;
    let slot = WatcherSlot::take(platform)?;
    let peer = incoming.peer;
    let body = move |writer: &mut ChunkWriter| {
        write_watch(&slot.platform, after, writer)?;
        if slot.platform.faults.is_down() {
            slot.platform.close_connection(peer);
        }
        Ok(())
    };
    Ok(Reply::Stream {
        content_type: JSON_LINES,
        body: Box::new(body),
    })
}

fn write_watch(platform: &PlatformState, after: u64, writer: &mut ChunkWriter) -> io::Result<()> {
    let mut after = after;
    let mut silent_for = WATCH_PROGRESS_INTERVAL;
    while !platform.is_stopping() && !platform.faults.is_down() {
        let (next, lines) = platform.store.wait_for_changes(after, WATCH_POLL_INTERVAL);
        after = next;
        silent_for += WATCH_POLL_INTERVAL;
        let is_silent = matches!(lines.as_slice(), [WatchLine::Progress { .. }]);
        if is_silent && silent_for < WATCH_PROGRESS_INTERVAL {
            continue;
        }
        silent_for = Duration::ZERO;
        for line in &lines {
            let mut bytes = serde_json::to_vec(line)?;
            bytes.push(b'\n');
            writer.send(&bytes)?;
        }
        if matches!(lines.as_slice(), [WatchLine::Compacted { .. }]) {
            return Ok(());
        }
    }
    Ok(())
}

#[derive(Default, Deserialize)]
struct WeightsRequest {
    bytes: Option<u64>,
}

fn weights(platform: &PlatformState, model: &str, incoming: &Incoming) -> Result<Reply, Failure> {
    let request = if incoming.body.is_empty() {
        WeightsRequest::default()
    } else {
        incoming.json()?
    };
    let bytes = request.bytes.unwrap_or(platform.options.weights_bytes);
    platform.weights.transfer(bytes);
    Ok(Reply::json(&json!({"model": model, "bytes": bytes})))
}

fn health(platform: &PlatformState) -> Reply {
    Reply::json(&json!({
        "status": "live",
        "name": platform.options.name,
        "zone": platform.options.zone,
    }))
}

fn metrics(platform: &PlatformState) -> String {
    let watchers = platform.watchers.load(Ordering::SeqCst);
    let version = platform.store.list(Some("")).store_version;
    format!(
        "# TYPE ridgeworks_platform_watchers gauge\nridgeworks_platform_watchers {watchers}\n\
         # TYPE ridgeworks_platform_store_version gauge\n\
         ridgeworks_platform_store_version {version}\n# EOF\n"
    )
}
