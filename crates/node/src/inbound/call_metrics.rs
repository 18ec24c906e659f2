//! Counts one call at the node that its caller asked.

use std::sync::Arc;
use std::time::Instant;

use ridgeworks_domain::Refusal;

use crate::metrics::Metrics;
use crate::metrics::labels::{CallEndLabel, CallKind};

/// A call under way. Dropped before its end is noted, it counts as one whose caller left.
pub struct CallMetrics {
    metrics: Arc<Metrics>,
    kind: CallKind,
    started: Instant,
    first_chunk: bool,
    end: CallEndLabel,
}

impl CallMetrics {
    /// A call that begins now.
    pub fn start(metrics: Arc<Metrics>, kind: CallKind) -> Self {
        Self {
            metrics,
            kind,
            started: Instant::now(),
            first_chunk: false,
            end: CallEndLabel::ClientGone,
        }
    }

    /// Notes that part of the answer came; only the first one counts.
    pub fn chunk(&mut self) {
        if !self.first_chunk {
            self.first_chunk = true;
            let elapsed = self.started.elapsed();
            self.metrics.note_first_chunk(self.kind, elapsed);
        }
    }

    /// Notes that the whole answer was written.
    pub fn answered(&mut self) {
        self.end = CallEndLabel::Answered;
    }

    /// Notes a refusal.
    pub fn refused(&mut self, refusal: &Refusal) {
        self.end = if refusal.is_not_run() {
            CallEndLabel::NotRun
        } else {
            CallEndLabel::Unknown
        };
    }
}

impl Drop for CallMetrics {
    fn drop(&mut self) {
        let elapsed = self.started.elapsed();
        self.metrics.count_call(self.kind, self.end, elapsed);
    }
}

/// A stream under way, counted until it is dropped.
pub struct OpenStream(Arc<Metrics>);

impl OpenStream {
    /// A stream that begins now.
    pub fn start(metrics: Arc<Metrics>) -> Self {
        metrics.open_streams.inc();
        Self(metrics)
    }
}

impl Drop for OpenStream {
    fn drop(&mut self) {
        self.0.open_streams.dec();
    }
}
