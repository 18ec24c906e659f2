//! Labels of the counters: closed sets of words, so that no request can add a series.

use std::fmt::{self, Write};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use ridgeworks_api::caller::CallerRoute;
use ridgeworks_api::caller_error::ErrorCode;

macro_rules! label_values {
    ($(#[$documentation:meta])* $name:ident {
        $($(#[$variant_documentation:meta])* $variant:ident => $text:literal,)*
    }) => {
        $(#[$documentation])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
        pub enum $name {
            $($(#[$variant_documentation])* $variant,)*
        }

        impl EncodeLabelValue for $name {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
                encoder.write_str(match self {
                    $(Self::$variant => $text,)*
                })
            }
        }
    };
}

label_values! {
    /// Route of a request.
    Route {
        /// Opening of a run.
        OpenRun => "open_run",
        /// Closing of a run.
        CloseRun => "close_run",
        /// History of a run.
        RunHistory => "run_history",
        /// Chat completion.
        ChatCompletions => "chat_completions",
        /// Call of a tool or notice service.
        ServiceCall => "service_call",
        /// Any method of the operators' interface.
        Operator => "operator",
        /// Health of the node.
        Health => "health",
        /// These counters.
        Metrics => "metrics",
        /// No known route.
        Unknown => "unknown",
    }
}

impl From<&CallerRoute> for Route {
    fn from(route: &CallerRoute) -> Self {
        match route {
            CallerRoute::OpenRun => Self::OpenRun,
            CallerRoute::CloseRun(_) => Self::CloseRun,
            CallerRoute::RunHistory(_) => Self::RunHistory,
            CallerRoute::ChatCompletions => Self::ChatCompletions,
            CallerRoute::ServiceCall(_) => Self::ServiceCall,
        }
    }
}

label_values! {
    /// First digit of an HTTP status.
    StatusClass {
        /// 2xx.
        Success => "2xx",
        /// 4xx.
        ClientError => "4xx",
        /// 5xx.
        ServerError => "5xx",
        /// Any other status, or none because the client had left.
        Other => "other",
    }
}

impl StatusClass {
    /// The class of a status.
    pub fn of(status: u16) -> Self {
        match status / 100 {
            2 => Self::Success,
            4 => Self::ClientError,
            5 => Self::ServerError,
            _ => Self::Other,
        }
    }
}

label_values! {
    /// Kind of a call.
    CallKind {
        /// A chat completion whose answer comes in one piece.
        Chat => "chat",
        /// A streamed chat completion.
        ChatStream => "chat_stream",
        /// A call of a tool or notice service.
        Service => "service",
    }
}

label_values! {
    /// What a caller heard of its call.
    CallEndLabel {
        /// The whole answer.
        Answered => "answered",
        /// That the call did not run.
        NotRun => "not_run",
        /// That the end of the call is not known.
        Unknown => "unknown",
        /// Nothing more: it left before the end.
        ClientGone => "client_gone",
    }
}

label_values! {
    /// How an attempt at a back end ended.
    AttemptEnd {
        /// With an answer.
        Answered => "answered",
        /// It never started.
        NeverStarted => "never_started",
        /// The connection broke or timed out.
        InDoubt => "in_doubt",
    }
}

label_values! {
    /// What a back end answered to a fence.
    FenceEnd {
        /// The attempt had ended with an answer.
        Finished => "finished",
        /// The attempt had not started, and will not.
        NeverStarted => "never_started",
        /// The attempt was running and was cancelled.
        Cancelled => "cancelled",
        /// No answer.
        Unreachable => "unreachable",
    }
}

label_values! {
    /// State of a member.
    MemberStateLabel {
        /// Serving.
        Alive => "alive",
        /// Suspected to have failed.
        Suspect => "suspect",
        /// Stopping as planned.
        Leaving => "leaving",
        /// Stopped as planned.
        Left => "left",
        /// Failed.
        Dead => "dead",
    }
}

/// Code of a refusal, as its body names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CodeLabel(pub ErrorCode);

impl EncodeLabelValue for CodeLabel {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), fmt::Error> {
        // The name on the wire is the one that serde gives.
        let value = serde_json::to_value(self.0).map_err(|_| fmt::Error)?;
        encoder.write_str(value.as_str().ok_or(fmt::Error)?)
    }
}

/// Labels of a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Its route.
    pub route: Route,
    /// Class of its status.
    pub status: StatusClass,
}

/// Labels of a refusal.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RefusalLabels {
    /// Its code.
    pub code: CodeLabel,
}

/// Labels of a call.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallLabels {
    /// Its kind.
    pub kind: CallKind,
    /// What its caller heard.
    pub outcome: CallEndLabel,
}

/// Labels of a call's times.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CallKindLabels {
    /// Its kind.
    pub kind: CallKind,
}

/// Labels of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AttemptLabels {
    /// How it ended.
    pub end: AttemptEnd,
}

/// Labels of a fence.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct FenceLabels {
    /// What the back end answered.
    pub end: FenceEnd,
}

/// Labels of a member count.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct MemberLabels {
    /// State of the members.
    pub state: MemberStateLabel,
}

/// Labels of a service's queue. Only configured services have one.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ServiceLabels {
    /// Name of the service.
    pub service: String,
}
