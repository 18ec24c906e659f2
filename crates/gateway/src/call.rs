//! A client's request as it was read, ready to be carried out.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method};
use ridgeworks_records::{ProgramId, TurnId};
use ridgeworks_routing::{CallMetadata, RequestKind, Residency, Route, Tenant};
use tokio::time::Instant;

use crate::gateway::{BodyRoom, OpenRequest};

/// Rank of turns of programs that are late.
const LATE_PRIORITY: u8 = 8;

/// One attempt of a client, ready to be carried out.
pub struct Call {
    /// Its method.
    pub method: Method,
    /// The host that it names.
    pub host: String,
    /// Its path and query, as they came.
    pub path: String,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// What its headers say.
    pub metadata: CallMetadata,
    /// Its route.
    pub route: Arc<Route>,
    /// Who it belongs to; `None` where no key is asked for.
    pub tenant: Option<Arc<Tenant>>,
    /// Where it may be served, by the configuration that decided.
    pub residency: Residency,
    /// The service that is to run it.
    pub service: String,
    /// Version of the configuration that decided.
    pub version: u64,
    /// When its head came.
    pub received: Instant,
    /// When it has to be answered.
    pub limit: Instant,
    /// Held for as long as the request is.
    pub _room: BodyRoom,
    /// Held for as long as the request is.
    pub _open: OpenRequest,
}

impl Call {
    /// Name of the tenant that turns and ledgers of the request belong to.
    pub fn owner(&self) -> Option<&str> {
        self.tenant.as_ref().map(|tenant| tenant.name.as_str())
    }

    /// The request as a turn.
    pub fn turn(&self) -> TurnId {
        TurnId::of(self.owner(), &self.metadata.request_id)
    }

    /// The turn that it goes on from.
    pub fn previous_turn(&self) -> Option<TurnId> {
        let previous = self.metadata.previous_turn.as_deref()?;
        Some(TurnId::of(self.owner(), previous))
    }

    /// The program that it belongs to.
    pub fn program(&self) -> Option<ProgramId> {
        let program = self.metadata.program.as_deref()?;
        Some(ProgramId::of(self.owner(), program))
    }

    /// Rank of the request at engines, 0 first: the tenant's or the route's, and the last one for a turn of a program that
    /// is late already, so that others still come in time.
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
