//! Tracks a request in flight at an engine, and updates the placement's estimates from what is
//! observed.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ridgeworks_resident::traffic::Purpose;
use ridgeworks_routing::{CallMetadata, Engine, EngineKey, Forecast, RequestSample};
use tokio::time::Instant;

use crate::gateway::Gateway;

/// Minimum number of gaps between events from which an engine's step time is estimated.
const MIN_GAPS: usize = 4;
const MS_PER_S: f64 = 1_000.0;
const US_PER_MS: f64 = 1_000.0;

/// A request in flight at an engine. It ends when dropped.
pub struct InFlightRequest {
    gateway: Rc<Gateway>,
    engine: Engine,
    forecast: Forecast,
    sent: Instant,
    first_event_at: Cell<Option<Instant>>,
    last_event_at: Cell<Option<Instant>>,
    events: Cell<u64>,
    /// Bytes of the response body so far.
    bytes: Cell<usize>,
    gaps: RefCell<Vec<u32>>,
}

impl InFlightRequest {
    /// Counts a request as in flight at an engine, and publishes that the engine prefills its
    /// prompt.
    pub fn new(gateway: &Rc<Gateway>, engine: &Engine, metadata: &CallMetadata) -> Self {
        let forecast = gateway.placement.borrow_mut().on_sent(
            metadata.placement_key(),
            engine,
            &metadata.prompt_parts,
        );
        gateway.publish_prefill(engine, &metadata.prompt_parts);
        Self {
            gateway: Rc::clone(gateway),
            engine: engine.clone(),
            forecast,
            sent: Instant::now(),
            first_event_at: Cell::default(),
            last_event_at: Cell::default(),
            events: Cell::default(),
            bytes: Cell::default(),
            gaps: RefCell::default(),
        }
    }

    /// Key of the engine process that the request was sent to.
    pub fn engine(&self) -> EngineKey {
        self.engine.key()
    }

    /// Estimated state of the engine when the request was sent.
    pub fn forecast(&self) -> Forecast {
        self.forecast
    }

    /// Counts bytes of the request's body as sent.
    pub fn on_sent(&self, bytes: usize) {
        self.count(Purpose::EngineRequest, bytes);
    }

    /// Counts received bytes of the response body.
    pub fn on_bytes(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn count(&self, purpose: Purpose, bytes: usize) {
        if let Some(traffic) = &self.gateway.node.traffic {
            traffic.add_for_zone(purpose, &self.engine.zone, bytes);
        }
    }

    /// Records an event of the response; the first one ends the prefill.
    pub fn on_event(&self) {
        let now = Instant::now();
        self.events.set(self.events.get() + 1);
        if let Some(last_event_at) = self.last_event_at.replace(Some(now)) {
            let gap = u32::try_from((now - last_event_at).as_micros()).unwrap_or(u32::MAX);
            self.gaps.borrow_mut().push(gap);
        }
        if self.first_event_at.get().is_none() {
            self.first_event_at.set(Some(now));
            let mut placement = self.gateway.placement.borrow_mut();
            placement.on_first_event(&self.engine, self.forecast, now - self.sent);
        }
    }

    /// When the last event came, or else when the request was sent.
    pub fn last_heard(&self) -> Instant {
        self.last_event_at.get().unwrap_or(self.sent)
    }

    /// Records that the response is complete.
    pub fn on_complete(&self) {
        let sample = RequestSample {
            request_ms: self.sent.elapsed().as_secs_f64() * MS_PER_S,
            step_ms: self.step_ms(),
            events: self.events.get(),
            in_flight: self.forecast.in_flight,
        };
        let mut placement = self.gateway.placement.borrow_mut();
        placement.on_request_sample(&self.engine, sample);
    }

    /// Time per step in milliseconds. The lower quartile of the gaps: longer gaps may include a
    /// prefill of another prompt, and the shortest may separate events that arrived together.
    /// `None` if there are fewer than [`MIN_GAPS`].
    fn step_ms(&self) -> Option<f64> {
        let mut gaps = self.gaps.take();
        if gaps.len() < MIN_GAPS {
            return None;
        }
        let index = gaps.len() / 4;
        let (_, gap, _) = gaps.select_nth_unstable(index);
        Some(f64::from(*gap) / US_PER_MS)
    }
}

impl Drop for InFlightRequest {
    fn drop(&mut self) {
        self.count(Purpose::EngineAnswer, self.bytes.get());
        let is_prefilled = self.first_event_at.get().is_some();
        let remaining_prefill = if is_prefilled {
            0
        } else {
            self.forecast.missing_tokens
        };
        let mut placement = self.gateway.placement.borrow_mut();
        placement.on_ended(self.engine.key(), remaining_prefill);
    }
}
