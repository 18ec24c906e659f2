//! A client's request after parsing and routing.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use ridgeworks_records::{ProgramId, RequestDigest, TurnId};
use ridgeworks_routing::{CallMetadata, RequestKind, Residency, Route, RouteTable, Tenant};
use tokio::time::Instant;

use crate::gateway::OpenRequestGuard;
use crate::memory_budget::MemoryReservation;

/// Priority of turns of programs that are already late.
const LATE_PRIORITY: u8 = 8;

/// One request of a client, ready to be executed. A retry by the client is another call.
pub struct Call {
    pub method: Method,
    /// Host name, without a port if it came in the request's URI.
    pub host: String,
    /// Path and query, unchanged.
    pub path: String,
    pub headers: HeaderMap,
    pub body: Bytes,
    /// Digest of what all tries of the request have in common.
    pub digest: RequestDigest,
    /// Metadata parsed from the headers.
    pub metadata: CallMetadata,
    pub route: Arc<Route>,
    /// `None` if the route requires no key.
    pub tenant: Option<Arc<Tenant>>,
    /// Where the call may be served according to the configuration at its entry.
    pub residency: Residency,
    pub service: String,
    /// The configuration that selected route and service.
    pub routes: Rc<RouteTable>,
    /// When the request's head was received.
    pub received: Instant,
    /// When the response has to be complete.
    pub deadline: Instant,
    /// Keeps the memory of the body reserved.
    pub _body_reservation: MemoryReservation,
    /// Keeps the request counted as open.
    pub _open_request: OpenRequestGuard,
}

impl Call {
    /// Version of the configuration that selected route and service.
    pub fn version(&self) -> u64 {
        self.routes.version()
    }

    /// Name of the tenant that owns the request's turns and ledgers.
    pub fn owner(&self) -> Option<&str> {
        self.tenant.as_ref().map(|tenant| tenant.name.as_str())
    }

    pub fn turn(&self) -> TurnId {
        TurnId::of(self.owner(), &self.metadata.request_id)
    }

    /// Whether the client resumes a stream of which it received events in an earlier attempt.
    pub fn is_resumed_stream(&self) -> bool {
        self.route.resumable && self.metadata.last_event_id.is_some_and(|last| last > 0)
    }

    /// The turn that this one continues.
    pub fn previous_turn(&self) -> Option<TurnId> {
        let previous = self.metadata.previous_turn.as_deref()?;
        Some(TurnId::of(self.owner(), previous))
    }

    pub fn program(&self) -> Option<ProgramId> {
        let program = self.metadata.program.as_deref()?;
        Some(ProgramId::of(self.owner(), program))
    }

    /// Priority at engines, 0 being the highest: the tenant's, or else the route's. A turn of a
    /// program that is already late gets a low priority, so that other programs can still finish in
    /// time.
    pub fn priority(&self) -> u8 {
        let is_turn = self.route.kind == RequestKind::Stream;
        if is_turn && self.metadata.is_late() {
            LATE_PRIORITY
        } else {
            let own = self.tenant.as_ref().and_then(|tenant| tenant.priority);
            own.unwrap_or(self.route.priority)
        }
    }
}
