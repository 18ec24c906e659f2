//! Which members this node probes, and what it concludes from their answers.
//!
//! A member is probed when nothing was heard from it for an interval. The first probe that stays
//! unanswered starts a clock: after the probe timeout the member is suspected and others are asked to
//! probe it; after the confirmation timeout, with no sign of life seen by anybody asked, it is
//! declared Dead. Any message from the member stops the clock.

use std::collections::BTreeMap;
use std::time::Duration;

use ridgeworks_domain::{MonotonicTime, NodeId};

use crate::config::MembershipConfig;

/// Why this node probes a member. A later variant yields to an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum ProbeRole {
    /// It is one of the member's monitors.
    Monitor,
    /// Both are relays of their zones.
    Relay,
    /// Something speaks against the member; ends with its first sign of life.
    Temporary,
}

/// What spoke against a member first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Evidence {
    /// A probe stayed unanswered, or another node holds the member Dead.
    Silence,
    /// The link to it was closed.
    LinkClosed,
}

/// What to do about a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Send it a ping.
    Ping(NodeId),
    /// Ask others to ping it.
    AskOthers(NodeId, ProbeRole),
    /// It did not answer in time.
    Suspect(NodeId),
    /// It did not answer for the whole confirmation time.
    Dead(NodeId),
}

#[derive(Debug, Clone)]
struct Silence {
    since: MonotonicTime,
    evidence: Evidence,
    suspected: bool,
    ask_at: MonotonicTime,
}

#[derive(Debug, Clone)]
struct Probe {
    role: ProbeRole,
    ping_at: MonotonicTime,
    silence: Option<Silence>,
}

/// Probing state of one node.
#[derive(Debug, Default)]
pub struct Detector {
    probes: BTreeMap<NodeId, Probe>,
    polled_at: MonotonicTime,
    /// When a message came last, from any member, and the one before from another member.
    heard_any: Option<(NodeId, MonotonicTime)>,
    heard_other: Option<(NodeId, MonotonicTime)>,
}

impl Detector {
    /// Replaces the standing targets; probes of silent members stay. `stagger` gives each new target the time
    /// of its first ping.
    pub fn set_targets(
        &mut self,
        targets: &BTreeMap<NodeId, ProbeRole>,
        mut stagger: impl FnMut() -> MonotonicTime,
    ) {
        // A member that is silent keeps its clock when rings or relays are worked out anew meanwhile.
        self.probes
            .retain(|node, probe| targets.contains_key(node) || probe.silence.is_some());
        for (node, probe) in &mut self.probes {
            probe.role = targets.get(node).copied().unwrap_or(ProbeRole::Temporary);
        }
        for (node, role) in targets {
            self.probes.entry(*node).or_insert_with(|| Probe {
                role: *role,
                ping_at: stagger(),
                silence: None,
            });
        }
    }

    /// Whether the member is probed at present.
    pub fn probes(&self, node: NodeId) -> bool {
        self.probes.contains_key(&node)
    }

    /// Stops probing a member that departed.
    pub fn remove(&mut self, node: NodeId) {
        self.probes.remove(&node);
    }

    /// Something speaks against the member: probe it at once. A closed link shortens the time to
    /// confirm.
    pub fn doubt(&mut self, node: NodeId, evidence: Evidence, now: MonotonicTime) {
        let probe = self.probes.entry(node).or_insert(Probe {
            role: ProbeRole::Temporary,
            ping_at: now,
            silence: None,
        });
        probe.ping_at = now;
        let silence = probe.silence.get_or_insert(Silence {
            since: now,
            evidence,
            suspected: false,
            ask_at: now,
        });
        if evidence == Evidence::LinkClosed {
            silence.evidence = evidence;
        }
    }

    /// Brings the next ping of a probed member forward.
    pub fn expedite(&mut self, node: NodeId, now: MonotonicTime) {
        if let Some(probe) = self.probes.get_mut(&node) {
            probe.ping_at = probe.ping_at.min(now);
        }
    }

    /// A message came from the member. Returns whether it had been suspected.
    pub fn heard(&mut self, node: NodeId, now: MonotonicTime, config: &MembershipConfig) -> bool {
        match self.heard_any {
            Some((last, _)) if last != node => self.heard_other = self.heard_any,
            _ => {}
        }
        self.heard_any = Some((node, now));
        self.trust(node, now, config)
    }

    /// Another node heard from the member. Returns whether it had been suspected.
    pub fn trust(&mut self, node: NodeId, now: MonotonicTime, config: &MembershipConfig) -> bool {
        let Some(probe) = self.probes.get_mut(&node) else {
            return false;
        };
        let silence = probe.silence.take();
        probe.ping_at = now + interval(probe.role, config);
        if probe.role == ProbeRole::Temporary {
            self.probes.remove(&node);
        }
        silence.is_some_and(|silence| silence.suspected)
    }

    /// This node itself was paused: nothing that stayed unanswered meanwhile counts.
    pub fn forgive(&mut self, now: MonotonicTime) {
        for probe in self.probes.values_mut() {
            probe.ping_at = now;
            if let Some(silence) = &mut probe.silence {
                silence.since = now;
            }
        }
    }

    /// Since when the member leaves probes unanswered.
    pub fn silent_since(&self, node: NodeId) -> Option<MonotonicTime> {
        let silence = self.probes.get(&node)?.silence.as_ref()?;
        Some(silence.since)
    }

    /// Does what is due. `others` is the number of other present members.
    pub fn poll(
        &mut self,
        now: MonotonicTime,
        others: usize,
        config: &MembershipConfig,
    ) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        self.polled_at = now;
        let (heard_any, heard_other) = (self.heard_any, self.heard_other);
        for (node, probe) in &mut self.probes {
            let heard_from_another_since = |since: MonotonicTime| {
                let heard = [heard_any, heard_other];
                let mut recent = heard.iter().flatten();
                recent.any(|(from, at)| from != node && *at >= since)
            };
            let role = probe.role;
            if let Some(silence) = &mut probe.silence {
                let is_isolated = others > 1 && !heard_from_another_since(silence.since);
                if now >= silence.deadline(role, is_isolated, config) {
                    verdicts.push(Verdict::Dead(*node));
                    continue;
                }
                if silence.suspected || now >= silence.suspect_at(config) {
                    silence.take_suspicion(*node, role, now, config, &mut verdicts);
                }
            }
            if now >= probe.ping_at {
                verdicts.push(Verdict::Ping(*node));
                probe.ping_at = now + config.suspect_probe_interval;
                probe.silence.get_or_insert(Silence {
                    since: now,
                    evidence: Evidence::Silence,
                    suspected: false,
                    ask_at: now,
                });
            }
        }
        verdicts
    }

    /// When [`Detector::poll`] has something to do next.
    pub fn next_timer(&self, config: &MembershipConfig) -> Option<MonotonicTime> {
        let timers = self.probes.values().map(|probe| match &probe.silence {
            Some(silence) => probe
                .ping_at
                .min(self.silence_timer(silence, probe.role, config)),
            None => probe.ping_at,
        });
        timers.min()
    }

    fn silence_timer(
        &self,
        silence: &Silence,
        role: ProbeRole,
        config: &MembershipConfig,
    ) -> MonotonicTime {
        if !silence.suspected {
            return silence.suspect_at(config);
        }
        let deadline = silence.deadline(role, false, config);
        // An isolated node is past its deadline; it looks again whenever it asks others.
        if deadline > self.polled_at {
            silence.ask_at.min(deadline)
        } else {
            silence.ask_at
        }
    }
}

impl Silence {
    fn suspect_at(&self, config: &MembershipConfig) -> MonotonicTime {
        match self.evidence {
            Evidence::Silence => self.since + config.probe_timeout,
            Evidence::LinkClosed => self.since,
        }
    }

    fn confirm_timeout(&self, role: ProbeRole, config: &MembershipConfig) -> Duration {
        match (role, self.evidence) {
            (ProbeRole::Temporary, Evidence::LinkClosed) => config.confirm_timeout,
            (_, Evidence::LinkClosed) => config.link_closed_confirm_timeout,
            (_, Evidence::Silence) => config.confirm_timeout,
        }
    }

    /// A node that hears from nobody is more likely cut off itself, so it holds its verdict back.
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

    fn take_suspicion(
        &mut self,
        node: NodeId,
        role: ProbeRole,
        now: MonotonicTime,
        config: &MembershipConfig,
        verdicts: &mut Vec<Verdict>,
    ) {
        if !self.suspected {
            self.suspected = true;
            self.ask_at = now;
            verdicts.push(Verdict::Suspect(node));
        }
        if now >= self.ask_at {
            self.ask_at = now + config.indirect_probe_interval;
            verdicts.push(Verdict::AskOthers(node, role));
        }
    }
}

fn interval(role: ProbeRole, config: &MembershipConfig) -> Duration {
    match role {
        ProbeRole::Relay => config.relay_probe_interval,
        ProbeRole::Monitor | ProbeRole::Temporary => config.probe_interval,
    }
}
