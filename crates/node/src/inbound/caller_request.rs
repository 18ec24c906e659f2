//! What a caller asks for, read from HTTP and not yet authenticated.

use std::time::Instant;

use ridgeworks_domain::{CallRequest, ProgramName, RunId};

/// What is asked.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerCommand {
    /// Opens a run.
    OpenRun {
        /// The program.
        program: ProgramName,
        /// The run that it is a sub-agent of.
        parent: Option<RunId>,
    },
    /// Makes a call.
    Call {
        /// The run.
        run: RunId,
        /// The call.
        call: CallRequest,
    },
    /// Ends a run.
    CloseRun {
        /// The run.
        run: RunId,
    },
    /// Reads a run's history.
    ReadHistory {
        /// The run.
        run: RunId,
    },
}

/// A caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// SHA-256 of the token that came with it, in lower-case hexadecimal.
    pub token_sha256: String,
    /// What is asked.
    pub command: CallerCommand,
    /// When the caller stops waiting.
    pub deadline: Instant,
}
