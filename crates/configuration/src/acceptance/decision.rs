//! Decides one change and computes the answer for its operator.

use std::sync::Arc;

use crate::change::{ChangeRequest, apply_change};
use crate::effect::{OperatorAnswer, Unavailable};
use crate::revision::Revision;
use crate::set::ConfigurationSet;
use crate::update::Update;

/// Parses the platform's document; an empty document is the empty configuration.
pub(crate) fn read_document(document: &[u8]) -> Result<ConfigurationSet, Unavailable> {
    if document.is_empty() {
        return Ok(ConfigurationSet::default());
    }
    let update = Update::from_document(document).map_err(|_| Unavailable::UnreadableDocument)?;
    Ok(ConfigurationSet::from_snapshot(&update))
}

/// Applies one change to `next`. An operation that was already applied is answered with its recorded
/// revision and changes nothing.
pub(super) fn decide(next: &mut Arc<ConfigurationSet>, request: &ChangeRequest) -> OperatorAnswer {
    if let Some(record) = next.operation(request.operation) {
        let revision = record.revision;
        return OperatorAnswer::Accepted { revision };
    }
    match apply_change(next, request) {
        Ok(set) => {
            let revision = set.revision();
            *next = Arc::new(set);
            OperatorAnswer::Accepted { revision }
        }
        Err(error) => OperatorAnswer::Rejected(error),
    }
}

/// Whether a change is allowed only because of another change in the same write. Such a change is
/// deferred to the next write: every change in a write must be allowed at the version that the write
/// expects. Otherwise a second coordinator that receives the same operation could reject it at that
/// version while the write of the first one is still in flight.
pub(super) fn depends_on_batch(
    base: &Arc<ConfigurationSet>,
    next: &Arc<ConfigurationSet>,
    request: &ChangeRequest,
) -> bool {
    !Arc::ptr_eq(base, next)
        && next.operation(request.operation).is_none()
        && apply_change(next, request).is_ok()
        && apply_change(base, request).is_err()
}

/// The revision that a majority must hold before the answer may be sent.
pub(super) fn required_revision(answer: &OperatorAnswer, set: &ConfigurationSet) -> Revision {
    match answer {
        OperatorAnswer::Accepted { revision } => *revision,
        _ => set.revision(),
    }
}

/// The answer when no majority acknowledged the required revision in time. An accepted change is in
/// the platform's store and may still take effect; a rejected one has no effect in any case.
pub(super) fn answer_without_quorum(answer: &OperatorAnswer) -> OperatorAnswer {
    match answer {
        OperatorAnswer::Accepted { .. } => OperatorAnswer::Unknown,
        _ => OperatorAnswer::Refused(Unavailable::NoQuorum),
    }
}
