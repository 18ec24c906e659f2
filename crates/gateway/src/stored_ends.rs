//! Ends of engines in the platform's store, while no majority of the replicas takes them.
//!
//! What only gateways know is gone when all of them start again. So an end that the replicas did not take is written to the store
//! too, and a gateway that starts reads those before it sends calls. Sends are not: they are too many for the store.

use std::rc::Rc;
use std::time::Duration;

use rand::RngExt;
use ridgeworks_platform::{
    Object, ObjectKind, StoreOutcome, check_format_version, create, remove as remove_object,
};
use ridgeworks_records::{MARK_ENTRY, ProgramId, TurnId};
use ridgeworks_resident::store_client::StoreClient;
use ridgeworks_resident::store_watch::list_once;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::exchange::END_LIFETIME;
use crate::gateway::Gateway;

/// Short, because the request waits.
const WRITE_TIMEOUT: Duration = Duration::from_millis(300);
/// Delay before the first retry to read. Each further one is twice as long, so that many gateways that start do not load a store
/// that has just come back.
const FIRST_READ_RETRY: Duration = Duration::from_millis(300);
const MAX_READ_RETRY: Duration = Duration::from_secs(5);
/// How long after its start a gateway lets calls wait for the stored ends. The store may be away.
const MAX_READ_TIME: Duration = Duration::from_secs(2);
/// Ends that one gateway writes at a time, so that many at once leave the store to others. More are kept by gateways only.
const MAX_WRITES: usize = 16;

/// An end in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredEnd {
    /// The ledger of all requests that are alike.
    ledger: String,
    /// Key of the end's mark.
    mark: String,
}

impl StoredEnd {
    fn read(object: &Object) -> Option<Self> {
        check_format_version(&object.spec).ok()?;
        let end = Self::deserialize(&object.spec).ok()?;
        let is_end = TurnId(end.mark.clone()).ended_at_s().is_some();
        is_end.then_some(end)
    }

    /// The same for all gateways that write it.
    fn name(&self) -> String {
        format!("{:016x}", xxh3_64(self.mark.as_bytes()))
    }
}

impl Gateway {
    /// Writes an end to the store, from which it is removed when it counts no longer.
    pub async fn store_end(&self, ledger: &ProgramId, mark: &TurnId) {
        if mark.ended_at_s().is_none() {
            return;
        }
        let end = StoredEnd {
            ledger: ledger.0.clone(),
            mark: mark.0.clone(),
        };
        let name = end.name();
        let writes = &self.stored_end_writes;
        let is_stored = if writes.get() < MAX_WRITES {
            writes.set(writes.get() + 1);
            let call = create(ObjectKind::EngineEnds, &name, &end);
            let outcome = self.node.store.call(call, WRITE_TIMEOUT).await;
            writes.set(writes.get() - 1);
            let outcome = outcome.map(|answer| answer.outcome);
            matches!(outcome, Ok(StoreOutcome::Done | StoreOutcome::Conflict))
        } else {
            false
        };
        log::info!(
            target: "records",
            request = mark.request(),
            is_stored = is_stored;
            "end of an engine written to the platform store"
        );
        let store = Rc::clone(&self.node.store);
        tokio::task::spawn_local(remove_when_expired(store, vec![name]));
    }

    /// Reads the ends in the store, once, after the start. Nothing is there if nothing has run before.
    pub async fn read_stored_ends(self: Rc<Self>) {
        if !self.node.settings.bootstrap
            && let Some(objects) = self.list_stored_ends().await
        {
            self.adopt_stored_ends(&objects);
            let names: Vec<String> = objects.into_iter().map(|object| object.name).collect();
            let store = Rc::clone(&self.node.store);
            tokio::task::spawn_local(remove_when_expired(store, names));
        }
        self.stored_ends_read.send_replace(true);
    }

    /// The ends in the store; `None` if it could not be read before they count no longer.
    async fn list_stored_ends(&self) -> Option<Vec<Object>> {
        let mut delay = FIRST_READ_RETRY;
        while self.now() < END_LIFETIME {
            let listed = list_once(&self.node.store, ObjectKind::EngineEnds).await;
            if listed.is_some() {
                return listed;
            }
            let jitter = rand::rng().random_range(0.5..1.5);
            tokio::time::sleep(delay.mul_f64(jitter)).await;
            delay = MAX_READ_RETRY.min(2 * delay);
        }
        log::warn!(target: "dependency", "ends of engines in the platform store could not be read");
        None
    }

    fn adopt_stored_ends(&self, objects: &[Object]) {
        let ends: Vec<StoredEnd> = objects.iter().filter_map(StoredEnd::read).collect();
        log::info!(
            target: "belief",
            ends = ends.len(),
            unreadable = objects.len() - ends.len();
            "ends of engines read from the platform store"
        );
        let now = self.now();
        let mut witnessed = self.witnessed.borrow_mut();
        for StoredEnd { ledger, mark } in ends {
            witnessed.merge(&ProgramId(ledger), &TurnId(mark), MARK_ENTRY, now);
        }
    }

    /// Waits until the stored ends have been read, or cannot be waited for any longer.
    pub async fn wait_for_stored_ends(&self) {
        let mut is_read = self.stored_ends_read.subscribe();
        let left = MAX_READ_TIME.saturating_sub(self.now());
        // After a timeout the store is away, and what is known otherwise has to do.
        let _ = tokio::time::timeout(left, is_read.wait_for(|is_read| *is_read)).await;
    }
}

/// Removes ends when they count no longer, also those of gateways that are gone.
async fn remove_when_expired(store: Rc<StoreClient>, names: Vec<String>) {
    if names.is_empty() {
        return;
    }
    tokio::time::sleep(END_LIFETIME).await;
    for name in names {
        let call = remove_object(ObjectKind::EngineEnds, &name);
        // Another gateway removes what is left when it starts.
        let _ = store.call(call, WRITE_TIMEOUT).await;
    }
}
