//! Failure detector: which members this node probes, and when it suspects them or declares them Dead.
//!
//! A member is probed if no message from it arrived for an interval. The first unanswered probe, or
//! other evidence of a failure, starts two timeouts: after the probe timeout the member is suspected
//! and others are asked to probe it; after the confirmation timeout it is declared Dead, unless one of
//! them received an answer. Any message from the member cancels both.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::config::MembershipConfig;

/// Why this node probes a member. An earlier variant takes precedence over a later one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeRole {
    /// This node is one of the member's monitors.
    Monitor,
    /// This node and the member are relays of their zones.
    Relay,
    /// There is evidence that the member has failed; ends with the next message from it.
    Temporary,
}

/// Evidence that a member has failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// Any evidence but a closed link: a ping that is not answered yet, another node's claim that the
    /// member is Dead, or relays of its zone that are suspected or unresponsive.
    Unresponsive,
    /// The link to it was closed.
    LinkClosed,
}

/// An action that [`Detector::poll`] requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DetectorAction {
    /// Send a ping to the member.
    Ping(NodeId),
    /// Ask others to ping the member.
    RequestIndirectPings(NodeId, ProbeRole),
    /// Mark the member as suspected: it did not answer within the probe timeout, or its link was
    /// closed.
    Suspect(NodeId),
    /// Declare the member Dead: it did not answer within the confirmation timeout.
    Dead(NodeId),
}

#[derive(Debug, Clone)]
struct Unresponsive {
    since: MonotonicTime,
    evidence: Evidence,
    suspected: bool,
    indirect_ping_at: MonotonicTime,
}

#[derive(Debug, Clone)]
struct Probe {
    role: ProbeRole,
    ping_at: MonotonicTime,
    unresponsive: Option<Unresponsive>,
}

/// Probing state of one node.
#[derive(Debug, Default)]
pub struct Detector {
    probes: BTreeMap<NodeId, Probe>,
    polled_at: MonotonicTime,
    /// The last message from any member; `heard_other` is the last one from a different member.
    heard_any: Option<(NodeId, MonotonicTime)>,
    heard_other: Option<(NodeId, MonotonicTime)>,
}

impl Detector {
    /// Replaces the probed members, except that unresponsive ones stay. `stagger` returns the time of
    /// a new target's first ping.
    pub fn set_targets(
        &mut self,
        targets: &BTreeMap<NodeId, ProbeRole>,
        mut stagger: impl FnMut() -> MonotonicTime,
    ) {
        // The timeouts of an unresponsive member continue when rings or relays are recomputed.
        self.probes
            .retain(|node, probe| targets.contains_key(node) || probe.unresponsive.is_some());
        for (node, probe) in &mut self.probes {
            probe.role = targets.get(node).copied().unwrap_or(ProbeRole::Temporary);
        }
        for (node, role) in targets {
            self.probes.entry(*node).or_insert_with(|| Probe {
                role: *role,
                ping_at: stagger(),
                unresponsive: None,
            });
        }
    }

    /// Whether the member is currently probed.
    pub fn probes(&self, node: NodeId) -> bool {
        self.probes.contains_key(&node)
    }

    /// Stops probing a member that departed.
    pub fn remove(&mut self, node: NodeId) {
        self.probes.remove(&node);
    }

    /// Records evidence against the member; the next poll pings it. After a closed link it is
    /// suspected without waiting for the probe timeout, and the confirmation timeout is shorter unless
    /// the member is probed only temporarily.
    pub fn add_evidence(&mut self, node: NodeId, evidence: Evidence, now: MonotonicTime) {
        let probe = self.probes.entry(node).or_insert(Probe {
            role: ProbeRole::Temporary,
            ping_at: now,
            unresponsive: None,
        });
        probe.ping_at = now;
        let unresponsive = probe.unresponsive.get_or_insert(Unresponsive {
            since: now,
            evidence,
            suspected: false,
            indirect_ping_at: now,
        });
        if evidence == Evidence::LinkClosed {
            unresponsive.evidence = evidence;
        }
    }

    /// Pings a probed member at the next poll.
    pub fn ping_now(&mut self, node: NodeId, now: MonotonicTime) {
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.ping_at = probe.ping_at.min(now);
        }
    }

    /// Records a message from the member. Returns whether it was suspected.
    pub fn heard(&mut self, node: NodeId, now: MonotonicTime, config: &MembershipConfig) -> bool {
        match self.heard_any {
            Some((last, _)) if last != node => self.heard_other = self.heard_any,
            _ => {}
        }
        self.heard_any = Some((node, now));
        self.clear_suspicion(node, now, config)
    }

    /// Cancels the member's timeouts, since this or another node received a message from it.
    /// Returns whether it was suspected.
    pub fn clear_suspicion(
        &mut self,
        node: NodeId,
        now: MonotonicTime,
        config: &MembershipConfig,
    ) -> bool {
        let Some(probe) = self.probes.get_mut(&node) else {
            return false;
        };
        let unresponsive = probe.unresponsive.take();
        probe.ping_at = now + interval(probe.role, config);
        if probe.role == ProbeRole::Temporary {
            self.probes.remove(&node);
        }
        unresponsive.is_some_and(|unresponsive| unresponsive.suspected)
    }

    /// Restarts all timeouts after a pause of this process, during which no answer could be received.
    pub fn restart_timeouts(&mut self, now: MonotonicTime) {
        for probe in self.probes.values_mut() {
            probe.ping_at = now;
            if let Some(unresponsive) = &mut probe.unresponsive {
                unresponsive.since = now;
            }
        }
    }

    /// Since when the member has not answered probes; `None` if it is responsive or not probed.
    pub fn unresponsive_since(&self, node: NodeId) -> Option<MonotonicTime> {
        let unresponsive = self.probes.get(&node)?.unresponsive.as_ref()?;
        Some(unresponsive.since)
    }

    /// Returns the actions that are due. `others` is the number of other present members.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        others: usize,
        config: &MembershipConfig,
    ) -> Vec<DetectorAction> {
        let mut actions = Vec::new();
        self.polled_at = now;
        let (heard_any, heard_other) = (self.heard_any, self.heard_other);
        for (node, probe) in &mut self.probes {
            let heard_from_another_since = |since: MonotonicTime| {
                let heard = [heard_any, heard_other];
                let mut recent = heard.iter().flatten();
                recent.any(|(from, at)| from != node && *at >= since)
            };
            let role = probe.role;
            if let Some(unresponsive) = &mut probe.unresponsive {
                let is_isolated = others > 1 && !heard_from_another_since(unresponsive.since);
                if now >= unresponsive.deadline(role, is_isolated, config) {
                    actions.push(DetectorAction::Dead(*node));
                    continue;
                }
                if unresponsive.suspected || now >= unresponsive.suspect_at(config) {
                    unresponsive.advance_suspicion(*node, role, now, config, &mut actions);
                }
            }
            if now >= probe.ping_at {
                actions.push(DetectorAction::Ping(*node));
                probe.ping_at = now + config.suspect_probe_interval;
                probe.unresponsive.get_or_insert(Unresponsive {
                    since: now,
                    evidence: Evidence::Unresponsive,
                    suspected: false,
                    indirect_ping_at: now,
                });
            }
        }
        actions
    }

    /// When [`Detector::poll`] is due next; `None` if no member is probed.
    pub fn next_timer(&self, config: &MembershipConfig) -> Option<MonotonicTime> {
        let timers = self.probes.values().map(|probe| match &probe.unresponsive {
            Some(unresponsive) => {
                probe
                    .ping_at
                    .min(self.unresponsive_timer(unresponsive, probe.role, config))
            }
            None => probe.ping_at,
        });
        timers.min()
    }

    fn unresponsive_timer(
        &self,
        unresponsive: &Unresponsive,
        role: ProbeRole,
        config: &MembershipConfig,
    ) -> MonotonicTime {
        if !unresponsive.suspected {
            return unresponsive.suspect_at(config);
        }
        let deadline = unresponsive.deadline(role, false, config);
        // The deadline has passed only if this node is isolated; it is checked again with every
        // indirect ping.
        if deadline > self.polled_at {
            unresponsive.indirect_ping_at.min(deadline)
        } else {
            unresponsive.indirect_ping_at
        }
    }
}

impl Unresponsive {
    fn suspect_at(&self, config: &MembershipConfig) -> MonotonicTime {
        match self.evidence {
            Evidence::Unresponsive => self.since + config.probe_timeout,
            Evidence::LinkClosed => self.since,
        }
    }

    fn confirm_timeout(&self, role: ProbeRole, config: &MembershipConfig) -> Duration {
        match (role, self.evidence) {
            (ProbeRole::Temporary, Evidence::LinkClosed) => config.confirm_timeout,
            (_, Evidence::LinkClosed) => config.link_closed_confirm_timeout,
            (_, Evidence::Unresponsive) => config.confirm_timeout,
        }
    }

    /// A node that receives no messages at all is probably isolated itself, so its timeout is longer.
    fn deadline(
        &self,
        role: ProbeRole,
        is_isolated: bool,
        config: &MembershipConfig,
    ) -> MonotonicTime {
        let timeout = self.confirm_timeout(role, config);
        let factor = if is_isolated {
            config.isolation_factor
        } else {
            1
        };
        self.since + timeout * factor
    }

    fn advance_suspicion(
        &mut self,
        node: NodeId,
        role: ProbeRole,
        now: MonotonicTime,
        config: &MembershipConfig,
        actions: &mut Vec<DetectorAction>,
    ) {
        if !self.suspected {
            self.suspected = true;
            self.indirect_ping_at = now;
            actions.push(DetectorAction::Suspect(node));
        }
        if now >= self.indirect_ping_at {
            self.indirect_ping_at = now + config.indirect_probe_interval;
            actions.push(DetectorAction::RequestIndirectPings(node, role));
        }
    }
}

fn interval(role: ProbeRole, config: &MembershipConfig) -> Duration {
    match role {
        ProbeRole::Relay => config.relay_probe_interval,
        ProbeRole::Monitor | ProbeRole::Temporary => config.probe_interval,
    }
}
