//! What becomes of one change, and what its operator hears.

use std::sync::Arc;

use crate::change::{ChangeRequest, apply_change};
use crate::effect::{OperatorAnswer, Unavailable};
use crate::revision::Revision;
use crate::set::ConfigurationSet;
use crate::update::Update;

/// Reads the platform's document; an absent one is the empty configuration.
pub(crate) fn read_document(document: &[u8]) -> Result<ConfigurationSet, Unavailable> {
    if document.is_empty() {
        return Ok(ConfigurationSet::default());
    }
    let update = Update::from_document(document).map_err(|_| Unavailable::UnreadableDocument)?;
    Ok(ConfigurationSet::from_whole(&update))
}

/// Applies one change, or finds it done already.
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

/// Whether a change is allowed only thanks to another one in the same write. Such a change waits for
/// the next write: every change in a write must be allowed at the version that the write expects,
/// or a second coordinator that is asked for the same operation could reject it at that version
/// while the first one's write is still on its way.
pub(super) fn leans_on_batch(
    base: &Arc<ConfigurationSet>,
    next: &Arc<ConfigurationSet>,
    request: &ChangeRequest,
) -> bool {
    !Arc::ptr_eq(base, next)
        && next.operation(request.operation).is_none()
        && apply_change(next, request).is_ok()
        && apply_change(base, request).is_err()
}

/// The revision that an answer gives away.
pub(super) fn needs(answer: &OperatorAnswer, set: &ConfigurationSet) -> Revision {
    match answer {
        OperatorAnswer::Accepted { revision } => *revision,
        _ => set.revision(),
    }
}

/// What an operator hears whose answer no majority came to hold. An accepted change stands in the
/// platform's store and may still be heard of; a rejected one has no effect in any case.
pub(super) fn without_quorum(answer: &OperatorAnswer) -> OperatorAnswer {
    match answer {
        OperatorAnswer::Accepted { .. } => OperatorAnswer::Unknown,
        _ => OperatorAnswer::Refused(Unavailable::NoQuorum),
    }
}
