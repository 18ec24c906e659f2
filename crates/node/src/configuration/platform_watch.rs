//! Watches the platform: one thread streams object changes, another polls the list of machines.

use std::io::{BufRead, BufReader};
use std::thread;
use std::time::Duration;

use ridgeworks_configuration::effect::DOCUMENT_KEY;
use ridgeworks_configuration::{PlatformVersion, WatchEvent};
use ridgeworks_worker_pool::spawn_detached;
use serde::Deserialize;
use serde_json::value::RawValue;

use super::platform_client::{OBJECT_KIND, PlatformClient, PlatformEvent};

const MACHINE_POLL_INTERVAL: Duration = Duration::from_millis(250);
const LISTING_TIMEOUT: Duration = Duration::from_secs(2);
/// Status of a watch whose start version has been compacted.
const HTTP_GONE: u16 = 410;
const THREAD_STACK_BYTES: usize = 256 * 1024;

#[derive(Deserialize)]
struct ObjectListing {
    store_version: u64,
    objects: Vec<ListedObject>,
}

#[derive(Deserialize)]
struct ListedObject {
    name: String,
    version: u64,
    document: Box<RawValue>,
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
enum WatchLine {
    Changed {
        kind: String,
        name: String,
        version: u64,
        document: Box<RawValue>,
    },
    Deleted {},
    Progress {},
    Compacted {},
}

/// Watches the document and the list of machines. Returns when the object listing or stream fails,
/// the stream ends, or a line arrives after a later watch has replaced this one; at once if the
/// thread for the list of machines cannot be started. Before it returns, posts `Closed` unless this
/// watch has been replaced. The thread for the list of machines continues until a later watch
/// starts.
pub(super) fn run(client: &PlatformClient, generation: u64) {
    let machines_client = client.clone();
    let started = spawn_detached("platform-machines", THREAD_STACK_BYTES, move || {
        follow_machines(&machines_client, generation);
    });
    if started.is_ok() {
        follow_objects(client, generation);
    }
    if client.is_current_watch(generation) {
        client.post(PlatformEvent::Watch(WatchEvent::Closed));
    }
}

fn follow_objects(client: &PlatformClient, generation: u64) {
    let Some(from) = report_objects(client) else {
        return;
    };
    let url = client.url(&format!("/watch?after={from}"));
    let Ok(response) = client.agent().get(url).call() else {
        return;
    };
    if response.status().as_u16() == HTTP_GONE {
        client.post(PlatformEvent::Watch(WatchEvent::Gap));
    }
    if !response.status().is_success() {
        return;
    }
    let reader = BufReader::new(response.into_body().into_reader());
    for line in reader.lines() {
        let Ok(line) = line else {
            return;
        };
        if !client.is_current_watch(generation) {
            return;
        }
        let Ok(line) = serde_json::from_str::<WatchLine>(&line) else {
            continue;
        };
        if let Some(event) = watch_event(line) {
            client.post(PlatformEvent::Watch(event));
        }
    }
}

/// Posts the current document and returns the store version to watch from, or `None` on failure.
fn report_objects(client: &PlatformClient) -> Option<u64> {
    let url = client.url(&format!("/objects?kind={OBJECT_KIND}"));
    let request = client.agent().get(url).config();
    let request = request.timeout_global(Some(LISTING_TIMEOUT)).build();
    let mut response = request.call().ok()?;
    if !response.status().is_success() {
        return None;
    }
    let listing: ObjectListing = response.body_mut().read_json().ok()?;
    for object in listing.objects {
        if object.name == DOCUMENT_KEY {
            client.post(PlatformEvent::Watch(WatchEvent::Document {
                version: PlatformVersion(object.version),
                document: object.document.get().as_bytes().to_vec(),
            }));
        }
    }
    Some(listing.store_version)
}

fn watch_event(line: WatchLine) -> Option<WatchEvent> {
    match line {
        WatchLine::Changed {
            kind,
            name,
            version,
            document,
        } if kind == OBJECT_KIND && name == DOCUMENT_KEY => Some(WatchEvent::Document {
            version: PlatformVersion(version),
            document: document.get().as_bytes().to_vec(),
        }),
        WatchLine::Compacted {} => Some(WatchEvent::Gap),
        WatchLine::Changed { .. } | WatchLine::Deleted {} | WatchLine::Progress {} => None,
    }
}

fn follow_machines(client: &PlatformClient, generation: u64) {
    let mut reported = None;
    while client.is_current_watch(generation) {
        if let Some(listing) = client.list_machines_unless(reported) {
            reported = Some(listing.version);
            client.post(PlatformEvent::Watch(WatchEvent::Machines {
                version: listing.version,
                machines: listing.machines,
            }));
        }
        thread::sleep(MACHINE_POLL_INTERVAL);
    }
}
