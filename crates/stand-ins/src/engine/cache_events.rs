//! The numbered events by which an engine tells what its cache stores and evicts: published late,
//! and some of them never.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use ridgeworks_domain::RunId;
use serde::Serialize;

/// Events kept for readers.
const EVENTS_KEPT: usize = 10_000;

/// What an event tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheEventKind {
    /// The context of a run is held.
    Stored,
    /// The context of a run is gone, for room or on request.
    Evicted,
}

/// One event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
pub struct CacheEvent {
    /// Its number; numbers grow by one, so a missing one shows a gap.
    pub number: u64,
    /// What happened.
    pub kind: CacheEventKind,
    /// To the context of this run.
    pub run: RunId,
    /// Size of the context.
    pub tokens: u64,
}

/// Answer to `GET /cache/events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct CacheEventPage {
    /// The events, in order.
    pub events: Vec<CacheEvent>,
    /// Where to read on.
    pub next: u64,
}

/// The event log.
#[derive(Debug)]
pub struct CacheEventLog {
    lag: Duration,
    gap_every: Option<u64>,
    next_number: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl CacheEventLog {
    /// A log that publishes events `lag` late and drops each one whose number divides by
    /// `gap_every`.
    pub fn new(lag: Duration, gap_every: Option<u64>) -> Self {
        Self {
            lag,
            gap_every: gap_every.filter(|every| *every > 0),
            next_number: 1,
            events: VecDeque::new(),
        }
    }

    /// Adds an event.
    pub fn add(&mut self, kind: CacheEventKind, run: RunId, tokens: u64, now: Instant) {
        let event = CacheEvent {
            number: self.next_number,
            kind,
            run,
            tokens,
        };
        self.next_number += 1;
        self.events.push_back((now + self.lag, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }

    /// Events from number `from` on that are published at `now`.
    pub fn read(&self, from: u64, now: Instant) -> CacheEventPage {
        let published = self.events.iter().take_while(|(due, _)| *due <= now);
        let wanted = published.filter(|(_, event)| event.number >= from);
        let mut page = CacheEventPage {
            events: Vec::new(),
            next: from,
        };
        for (_, event) in wanted {
            page.next = event.number + 1;
            if !self.is_dropped(event.number) {
                page.events.push(*event);
            }
        }
        page
    }

    fn is_dropped(&self, number: u64) -> bool {
        self.gap_every
            .is_some_and(|every| number.is_multiple_of(every))
    }
}
