//! Logs and counts the end of a request.

use ridgeworks_platform::refusal_status;
use ridgeworks_resident::clock::whole_ms;
use ridgeworks_routing::{Engine, Refusal};
use tokio::time::Instant;

use super::Exchange;
use super::engine_ends::digest_text;

#[derive(Debug, Clone, Copy)]
pub(super) enum Ending {
    /// An engine's response with this status was forwarded.
    Answered(u16),
    /// The gateway refused the request.
    Refused(Refusal),
    /// A stream was aborted for this reason.
    Aborted(&'static str),
    /// The client disconnected.
    ClientDisconnected,
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::Aborted(_) => "broken_off",
            Self::ClientDisconnected => "client_gone",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason.name(),
            Self::Aborted(reason) => reason,
            Self::Answered(_) | Self::ClientDisconnected => "",
        }
    }
}

impl Exchange {
    /// Name in metrics of how a stream that the client resumed has ended.
    fn resumption_outcome(&self, ending: Ending) -> &'static str {
        match ending {
            Ending::Refused(_) => "refused",
            _ if self.forwarded.events > 0 => "continued",
            _ => "failed",
        }
    }

    /// Logs that a stream, which an earlier attempt of the client or of this gateway began, is sent to an engine.
    pub(super) fn log_resumed(&self, engine: &Engine) {
        log::info!(
            target: "attempt",
            request = self.call.metadata.request_id.as_str(),
            resumes = self.call.metadata.resumes.as_deref().unwrap_or_default(),
            resumes_after = self.forwarded.last_event_id.unwrap_or_default(),
            engine = engine.instance.as_str(),
            born_ms = engine.born_ms,
            service = engine.service.as_str(),
            software = engine.software.as_str(),
            engines_at = self.gateway.node.view.with_engines(|engines| engines.at());
            "stream resumed at an engine"
        );
    }

    pub(super) fn report(&self, ending: Ending) {
        let call = &self.call;
        let metrics = &self.gateway.metrics;
        metrics.on_ended(ending.name(), call.received.elapsed());
        if call.is_resumed_stream() {
            metrics.on_resumed_stream(self.resumption_outcome(ending));
        }
        let first_event = self.forwarded.first_at.map(|at| at - call.received);
        if let Some(first_event) = first_event {
            metrics
                .first_event_seconds
                .observe(first_event.as_secs_f64());
        }
        let status = match ending {
            Ending::Answered(status) => status,
            Ending::Refused(refusal) => refusal_status(refusal.reason).as_u16(),
            Ending::Aborted(_) | Ending::ClientDisconnected => 0,
        };
        let failed_engine = self
            .history
            .may_have_run_on
            .last()
            .or(self.history.excluded.last());
        log::info!(
            target: "request",
            request = call.metadata.request_id.as_str(),
            program = call.metadata.program.as_deref().unwrap_or_default(),
            session = call.metadata.session.as_deref().unwrap_or_default(),
            tenant = call.owner().unwrap_or_default(),
            route = call.route.name.as_str(),
            service = call.service.as_str(),
            version = call.version(),
            version_age_ms = self.gateway.version_age_ms(),
            epoch = self.gateway.node.view.epoch().0,
            group = self.gateway.records.group_of(call.program().as_ref()).0,
            outcome = ending.name(),
            reason = ending.reason(),
            status = status,
            engines_tried = self.history.excluded.len(),
            rejections = self.history.rejections,
            passed_over = self.history.passed_over,
            failed_engine = failed_engine.map(String::as_str).unwrap_or_default(),
            engine = self.history.last_chosen.as_str(),
            software = self.history.last_software.as_str(),
            resumes = call.metadata.resumes.as_deref().unwrap_or_default(),
            resumes_after = call.metadata.last_event_id.unwrap_or_default(),
            digest = digest_text(call.digest).as_str(),
            ends = self.ends.count(),
            expected_ms = self.history.cost_ms as i64,
            missing_tokens = self.history.forecast.missing_tokens,
            ahead_tokens = self.history.forecast.pending_tokens,
            open_there = self.history.forecast.in_flight,
            left_of_program_ms = call.metadata.finish_in.map_or(-1, |left| whole_ms(left) as i64),
            events = self.forwarded.events,
            reserve_ms = self.reserve_time.map_or(0, whole_ms),
            first_event_ms = first_event.map_or(0, whole_ms),
            took_ms = whole_ms(call.received.elapsed()),
            left_ms = whole_ms(call.deadline.saturating_duration_since(Instant::now()));
            "request ended"
        );
    }
}
