//! Errors of the operators' interface on the wire: a code, a message and typed details.

use base64::Engine;
use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::connect_code::ConnectCode;
use crate::v1;

/// A typed detail of an error.
#[derive(Debug, Clone, PartialEq)]
pub enum ErrorDetail {
    /// The request expected another version.
    VersionConflict(v1::VersionConflict),
    /// A field holds what is not allowed.
    FieldViolation(v1::FieldViolation),
    /// When to come back.
    RetryAfter(v1::RetryAfter),
    /// Whether the change may have taken effect.
    ChangeOutcome(v1::ChangeOutcome),
}

const VERSION_CONFLICT_TYPE: &str = "ridgeworks.v1.VersionConflict";
const FIELD_VIOLATION_TYPE: &str = "ridgeworks.v1.FieldViolation";
const RETRY_AFTER_TYPE: &str = "ridgeworks.v1.RetryAfter";
const CHANGE_OUTCOME_TYPE: &str = "ridgeworks.v1.ChangeOutcome";

/// A detail on the wire: the name of its message type and the encoded message in base64.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WireDetail {
    /// Full name of the message type.
    #[serde(rename = "type")]
    pub type_name: String,
    /// The encoded message in base64 without padding.
    pub value: String,
}

impl WireDetail {
    fn of(type_name: &str, message: &impl Message) -> Self {
        Self {
            type_name: type_name.to_owned(),
            value: STANDARD_NO_PAD.encode(message.encode_to_vec()),
        }
    }

    /// The typed detail, or `None` for a type that this version does not know or a broken value.
    pub fn decode(&self) -> Option<ErrorDetail> {
        // Some clients pad and some do not; the protocol asks to accept both.
        let bytes = STANDARD_NO_PAD
            .decode(&self.value)
            .or_else(|_| STANDARD.decode(&self.value))
            .ok()?;
        let bytes = bytes.as_slice();
        match self.type_name.as_str() {
            VERSION_CONFLICT_TYPE => v1::VersionConflict::decode(bytes)
                .ok()
                .map(ErrorDetail::VersionConflict),
            FIELD_VIOLATION_TYPE => v1::FieldViolation::decode(bytes)
                .ok()
                .map(ErrorDetail::FieldViolation),
            RETRY_AFTER_TYPE => v1::RetryAfter::decode(bytes)
                .ok()
                .map(ErrorDetail::RetryAfter),
            CHANGE_OUTCOME_TYPE => v1::ChangeOutcome::decode(bytes)
                .ok()
                .map(ErrorDetail::ChangeOutcome),
            _ => None,
        }
    }
}

impl From<&ErrorDetail> for WireDetail {
    fn from(detail: &ErrorDetail) -> Self {
        match detail {
            ErrorDetail::VersionConflict(message) => Self::of(VERSION_CONFLICT_TYPE, message),
            ErrorDetail::FieldViolation(message) => Self::of(FIELD_VIOLATION_TYPE, message),
            ErrorDetail::RetryAfter(message) => Self::of(RETRY_AFTER_TYPE, message),
            ErrorDetail::ChangeOutcome(message) => Self::of(CHANGE_OUTCOME_TYPE, message),
        }
    }
}

/// Body of an error: always JSON, whatever the format of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The code.
    pub code: ConnectCode,
    /// Explanation for a human reader; programs use the code and the details.
    #[serde(default)]
    pub message: String,
    /// Typed details.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<WireDetail>,
}

impl ErrorBody {
    /// The details whose types are known.
    pub fn typed_details(&self) -> impl Iterator<Item = ErrorDetail> {
        self.details.iter().filter_map(WireDetail::decode)
    }

    /// When to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.typed_details().find_map(|detail| match detail {
            ErrorDetail::RetryAfter(retry) => Some(retry.retry_after_ms),
            _ => None,
        })
    }

    /// Whether a change may have taken effect although it failed.
    pub fn is_outcome_unknown(&self) -> bool {
        self.typed_details().any(|detail| match detail {
            ErrorDetail::ChangeOutcome(outcome) => outcome.unknown,
            _ => false,
        })
    }
}
