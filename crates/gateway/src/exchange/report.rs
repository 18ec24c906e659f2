//! How a request ended, for logs and metrics.

use ridgeworks_resident::clock::whole_ms;
use ridgeworks_routing::Refusal;
use tokio::time::Instant;

use super::Exchange;

/// How a request ended.
#[derive(Debug, Clone, Copy)]
pub(super) enum Ending {
    /// An engine's answer with this status was passed on.
    Answered(u16),
    /// The client got an answer without an engine's.
    Refused(Refusal),
    /// A stream was broken off, for this reason.
    BrokenOff(&'static str),
    /// The client went away.
    ClientGone,
}

impl Ending {
    fn name(self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::BrokenOff(_) => "broken_off",
            Self::ClientGone => "client_gone",
        }
    }

    fn reason(self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.reason.name(),
            Self::BrokenOff(reason) => reason,
            Self::Answered(_) | Self::ClientGone => "",
        }
    }
}

impl Exchange {
    pub(super) fn report(&self, ending: Ending) {
        let call = &self.call;
        let metrics = &self.gateway.metrics;
        metrics.on_ended(ending.name(), call.received.elapsed());
        let first_event = self.passed.first_at.map(|at| at - call.received);
        if let Some(first_event) = first_event {
            metrics
                .first_event_seconds
                .observe(first_event.as_secs_f64());
        }
        let status = match ending {
            Ending::Answered(status) => status,
            _ => 0,
        };
        let failed_engine = self.tried.ran_on.last().or(self.tried.excluded.last());
        log::info!(
            target: "request",
            request = call.metadata.request_id.as_str(),
            program = call.metadata.program.as_deref().unwrap_or_default(),
            session = call.metadata.session.as_deref().unwrap_or_default(),
            tenant = call.owner().unwrap_or_default(),
            route = call.route.name.as_str(),
            service = call.service.as_str(),
            version = call.version,
            version_age_ms = self.gateway.version_age_ms(),
            epoch = self.gateway.node.view.epoch().0,
            group = self.gateway.records.group_of(call.program().as_ref()).0,
            outcome = ending.name(),
            reason = ending.reason(),
            status = status,
            engines_tried = self.tried.excluded.len(),
            rejections = self.tried.rejections,
            passed_over = self.tried.passed_over,
            failed_engine = failed_engine.map(String::as_str).unwrap_or_default(),
            engine = self.tried.asked_last.as_str(),
            expected_ms = self.tried.cost_ms as i64,
            missing_tokens = self.tried.forecast.missing,
            ahead_tokens = self.tried.forecast.ahead,
            open_there = self.tried.forecast.open,
            left_of_program_ms = call.metadata.finish_in.map_or(-1, |left| whole_ms(left) as i64),
            events = self.passed.events,
            reserve_ms = self.reserved.map_or(0, whole_ms),
            first_event_ms = first_event.map_or(0, whole_ms),
            took_ms = whole_ms(call.received.elapsed()),
            left_ms = whole_ms(call.limit.saturating_duration_since(Instant::now()));
            "request ended"
        );
    }
}
