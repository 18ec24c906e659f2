//! A request while it is at an engine: the placement counts it there, and learns from what is seen of it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use ridgeworks_resident::traffic::Purpose;
use ridgeworks_routing::{CallMetadata, Engine, EngineKey, Forecast, Turn};
use tokio::time::Instant;

use crate::gateway::Gateway;

/// Fewest gaps that tell an engine's step.
const LEAST_GAPS: usize = 4;
const MS_PER_S: f64 = 1_000.0;
const US_PER_MS: f64 = 1_000.0;

/// A request that is at an engine; has left it when dropped.
pub struct AtEngine {
    gateway: Rc<Gateway>,
    engine: Engine,
    forecast: Forecast,
    sent: Instant,
    first: Cell<Option<Instant>>,
    last: Cell<Option<Instant>>,
    events: Cell<u64>,
    /// Bytes of the answer's body so far.
    bytes: Cell<usize>,
    /// Times between events, in microseconds.
    gaps: RefCell<Vec<u32>>,
}

impl AtEngine {
    /// A request goes to an engine.
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
            first: Cell::default(),
            last: Cell::default(),
            events: Cell::default(),
            bytes: Cell::default(),
            gaps: RefCell::default(),
        }
    }

    /// The engine, in the run that it was asked in.
    pub fn engine(&self) -> EngineKey {
        self.engine.key()
    }

    /// What was believed of the engine.
    pub fn forecast(&self) -> Forecast {
        self.forecast
    }

    /// Bytes of the request's body go out.
    pub fn on_sent(&self, bytes: usize) {
        self.count(Purpose::EngineRequest, bytes);
    }

    /// Bytes of the answer's body have come.
    pub fn on_bytes(&self, bytes: usize) {
        self.bytes.set(self.bytes.get() + bytes);
    }

    fn count(&self, purpose: Purpose, bytes: usize) {
        if let Some(traffic) = &self.gateway.node.traffic {
            traffic.add_for_zone(purpose, &self.engine.zone, bytes);
        }
    }

    /// An event of the answer has come.
    pub fn on_event(&self) {
        let now = Instant::now();
        self.events.set(self.events.get() + 1);
        if let Some(last) = self.last.replace(Some(now)) {
            let gap = u32::try_from((now - last).as_micros()).unwrap_or(u32::MAX);
            self.gaps.borrow_mut().push(gap);
        }
        if self.first.get().is_none() {
            self.first.set(Some(now));
            let mut placement = self.gateway.placement.borrow_mut();
            placement.on_first_event(&self.engine, self.forecast, now - self.sent);
        }
    }

    /// The answer has come whole.
    pub fn on_whole(&self) {
        let turn = Turn {
            turn_ms: self.sent.elapsed().as_secs_f64() * MS_PER_S,
            step_ms: self.step_ms(),
            events: self.events.get(),
            open: self.forecast.open,
        };
        let mut placement = self.gateway.placement.borrow_mut();
        placement.on_turn(&self.engine, turn);
    }

    /// Gaps in which the engine read no prompt are the short ones; the shortest may be two events that
    /// came together.
    fn step_ms(&self) -> Option<f64> {
        let mut gaps = self.gaps.take();
        if gaps.len() < LEAST_GAPS {
            return None;
        }
        let place = gaps.len() / 4;
        let (_, gap, _) = gaps.select_nth_unstable(place);
        Some(f64::from(*gap) / US_PER_MS)
    }
}

impl Drop for AtEngine {
    fn drop(&mut self) {
        self.count(Purpose::EngineAnswer, self.bytes.get());
        let is_read = self.first.get().is_some();
        let unread = if is_read { 0 } else { self.forecast.missing };
        let mut placement = self.gateway.placement.borrow_mut();
        placement.on_ended(self.engine.key(), unread);
    }
}
