//! Human-readable messages of refusals.

use ridgeworks_domain::{InvalidRequest, RefusalReason};

/// Returns the message for the body of a refusal.
pub fn refusal_message(reason: &RefusalReason) -> String {
    match reason {
        RefusalReason::InvalidRequest(invalid) => invalid_message(invalid),
        RefusalReason::SequenceGap { expected } => {
            format!("calls before this one are missing, the run expects {expected}")
        }
        RefusalReason::SequencePassed { expected } => {
            format!("a later call went out already, the run expects {expected}")
        }
        RefusalReason::BudgetExceeded { remaining } => {
            format!("the call does not fit in what is left of the budget, {remaining}")
        }
        RefusalReason::Unauthenticated => "the token is missing or matches no partner".to_owned(),
        RefusalReason::Forbidden => "the object belongs to the other partner".to_owned(),
        RefusalReason::UnknownProgram => "no such program".to_owned(),
        RefusalReason::UnknownService => "no such service".to_owned(),
        RefusalReason::UnknownRun => "no such run".to_owned(),
        RefusalReason::RunClosed => "the run is closed".to_owned(),
        RefusalReason::CallKeyConflict => "the call key was used for another request".to_owned(),
        RefusalReason::DeadlineCannotBeMet => "the deadline cannot be met".to_owned(),
        RefusalReason::QueueFull => "the queue of the service is full".to_owned(),
        RefusalReason::NoBackend => "no back end serves the service now".to_owned(),
        RefusalReason::BackendRefused => "the back end refused the call".to_owned(),
        RefusalReason::NodeStopping => "the node is stopping".to_owned(),
        RefusalReason::ConfigurationStale => {
            "the node cannot prove that its configuration is the newest".to_owned()
        }
        RefusalReason::NoQuorum => "no majority of the run's replicas answered".to_owned(),
        RefusalReason::NotOwner => "another node owns the run now".to_owned(),
        RefusalReason::TooManyRequests => "too many requests are open on this node".to_owned(),
        RefusalReason::Unknown => "the call may have run, its end is not known".to_owned(),
    }
}

fn invalid_message(invalid: &InvalidRequest) -> String {
    match invalid {
        InvalidRequest::BodyTooLarge { limit_bytes } => {
            format!("the body is longer than {limit_bytes} bytes")
        }
        InvalidRequest::BodyIncomplete => "the body ended early or came too slowly".to_owned(),
        InvalidRequest::Malformed => "the body cannot be read".to_owned(),
        InvalidRequest::MissingField { field } => format!("{field} is missing"),
        InvalidRequest::InvalidField { field } => format!("{field} holds an invalid value"),
        InvalidRequest::UnknownRoute => "no such path or method".to_owned(),
    }
}
