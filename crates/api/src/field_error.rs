//! Validation errors of single fields of a request.

use std::fmt;

use crate::v1;
use crate::v1::FieldProblem;

/// A field of a message that is missing or has an invalid value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FieldError {
    /// Path of the field in the request's message, such as `object.metadata.name`.
    pub field: &'static str,
    /// Kind of the error.
    pub problem: FieldProblem,
}

impl FieldError {
    /// Creates an error for the field with this path.
    pub fn new(field: &'static str, problem: FieldProblem) -> Self {
        Self { field, problem }
    }

    /// Converts the error to its message on the wire.
    pub fn to_violation(self) -> v1::FieldViolation {
        v1::FieldViolation {
            field: self.field.to_owned(),
            problem: self.problem.into(),
        }
    }
}

impl fmt::Display for FieldError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let problem = match self.problem {
            FieldProblem::Unspecified => "is invalid",
            FieldProblem::Missing => "is missing",
            FieldProblem::Malformed => "cannot be read",
            FieldProblem::OutOfRange => "is out of range",
            FieldProblem::Contradictory => "contradicts another field",
            FieldProblem::UnknownReference => "names an object that does not exist",
        };
        write!(formatter, "{} {problem}", self.field)
    }
}

impl std::error::Error for FieldError {}
