//! Records of a concurrent run and the checkers that judge them.
//!
//! Processes of the testbed write what they did and saw with [`writer::HistoryWriter`]; the files
//! are merged by [`merge`], indexed by [`history::History`] and judged by [`checks`]. The exact
//! rules stand in `docs/design/history-checking.md`.

pub mod checks;
pub mod clock;
pub mod history;
pub mod merge;
pub mod reader;
pub mod record;
pub mod recovery;
pub mod report;
pub mod verify;
pub mod violation;
pub mod writer;

pub use checks::{Bounds, Check, Findings};
pub use clock::HistoryClock;
pub use history::History;
pub use record::{Event, Outcome, Record};
pub use report::Report;
pub use verify::{VerifyArguments, run, verify};
pub use violation::{Violation, ViolationKind};
pub use writer::HistoryWriter;
