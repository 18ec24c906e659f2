//! Wire format of the errors of the operators' interface: a code, a message and typed details.

use base64::Engine;
use base64::engine::general_purpose::{STANDARD, STANDARD_NO_PAD};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::connect_code::ConnectCode;
use crate::v1;

/// A typed detail of an error.
#[derive(Debug, Clone, PartialEq)]
pub enum ErrorDetail {
    /// The version of the object differs from the expected one.
    VersionConflict(v1::VersionConflict),
    /// A field is missing or has an invalid value.
    FieldViolation(v1::FieldViolation),
    /// Delay after which a retry may succeed.
    RetryAfter(v1::RetryAfter),
    /// Whether the outcome of the change is unknown.
    ChangeOutcome(v1::ChangeOutcome),
}

const VERSION_CONFLICT_TYPE: &str = "ridgeworks.v1.VersionConflict";
const FIELD_VIOLATION_TYPE: &str = "ridgeworks.v1.FieldViolation";
const RETRY_AFTER_TYPE: &str = "ridgeworks.v1.RetryAfter";
const CHANGE_OUTCOME_TYPE: &str = "ridgeworks.v1.ChangeOutcome";

/// Wire format of a detail.
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

    /// Decodes the detail; returns `None` for an unknown type or a malformed value.
    pub fn decode(&self) -> Option<ErrorDetail> {
        // The protocol requires accepting base64 both with and without padding.
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

/// Body of an error, encoded as JSON regardless of the format of the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// Connect code of the error.
    pub code: ConnectCode,
    /// Human-readable message; programs should use the code and the details.
    #[serde(default)]
    pub message: String,
    /// Details in their wire format.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub details: Vec<WireDetail>,
}

impl ErrorBody {
    /// Returns the decoded details, without those of unknown types.
    pub fn typed_details(&self) -> impl Iterator<Item = ErrorDetail> {
        self.details.iter().filter_map(WireDetail::decode)
    }

    /// Returns the retry delay in milliseconds, if the error has one.
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.typed_details().find_map(|detail| match detail {
            ErrorDetail::RetryAfter(retry) => Some(retry.retry_after_ms),
            _ => None,
        })
    }

    /// Returns whether a change may have taken effect despite the error.
    pub fn is_outcome_unknown(&self) -> bool {
        self.typed_details().any(|detail| match detail {
            ErrorDetail::ChangeOutcome(outcome) => outcome.unknown,
            _ => false,
        })
    }
}
