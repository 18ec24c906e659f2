//! The membership state machine.

use std::net::SocketAddr;

use ridgeworks_domain::MonotonicTime;

use crate::config::MembershipConfig;
use crate::event::{Effect, Event};
use crate::member::Member;

/// One node's view of the cluster, and its part in keeping the others' views right.
pub struct Membership {
    config: MembershipConfig,
    own: Member,
    seeds: Vec<SocketAddr>,
}

impl Membership {
    /// A node that knows itself and the addresses of some others. `seed` starts its generator of
    /// random numbers.
    pub fn new(
        config: MembershipConfig,
        own: Member,
        seeds: Vec<SocketAddr>,
        seed: u64,
        now: MonotonicTime,
    ) -> Self {
        let _ = (seed, now);
        Self { config, own, seeds }
    }

    /// Takes an event in and returns what must be done.
    pub fn handle(&mut self, event: Event, now: MonotonicTime) -> Vec<Effect> {
        let _ = (event, now, &self.config, &self.seeds);
        Vec::new()
    }

    /// When [`Event::Timer`] is due next.
    pub fn next_timer(&self) -> MonotonicTime {
        MonotonicTime::ZERO
    }

    /// This node's own record.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// All known members, this node among them, by node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        std::iter::once(&self.own)
    }
}
