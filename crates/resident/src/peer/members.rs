//! Membership table of the other nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Heartbeat, MemberInfo, ReplicaStatus};

/// A node without a heartbeat for this long is removed.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Identity and location.
    pub info: MemberInfo,
    /// When it was first learned of, as time since the start of this process.
    pub known_since: Duration,
    /// When its last heartbeat came, as time since the start of this process; `None` before the first.
    pub heard_at: Option<Duration>,
    /// Start time of its process, from its heartbeats; 0 before the first.
    pub incarnation: u64,
    /// Its replica, as of its last heartbeat.
    pub replica: Option<ReplicaStatus>,
    /// Protocol version of its last heartbeat; 0 before the first.
    pub protocol: u16,
}

impl Member {
    /// Whether its last heartbeat is less than `within` old.
    pub fn is_alive(&self, now: Duration, within: Duration) -> bool {
        self.heard_at
            .is_some_and(|heard| now.saturating_sub(heard) < within)
    }
}

/// All other nodes that are known, by name.
#[derive(Debug, Default)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
}

impl Members {
    /// Adds a node that other nodes know; a known one is not changed.
    pub fn on_known(&mut self, info: MemberInfo, now: Duration) {
        let name = info.name.clone();
        self.by_name.entry(name).or_insert(Member {
            info,
            known_since: now,
            heard_at: None,
            incarnation: 0,
            replica: None,
            protocol: 0,
        });
    }

    /// Applies a heartbeat, unless it is from an earlier incarnation. Returns whether the incarnation is new.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Duration) -> bool {
        self.on_known(heartbeat.from.clone(), now);
        let Some(member) = self.by_name.get_mut(&heartbeat.from.name) else {
            return false;
        };
        if heartbeat.incarnation < member.incarnation {
            return false;
        }
        let is_new = heartbeat.incarnation > member.incarnation;
        member.info = heartbeat.from.clone();
        member.incarnation = heartbeat.incarnation;
        member.heard_at = Some(now);
        member.replica = heartbeat.replica;
        member.protocol = heartbeat.protocol;
        is_new
    }

    /// Removes nodes without a heartbeat for a minute.
    pub fn forget_silent(&mut self, now: Duration) {
        self.by_name.retain(|_, member| {
            let last = member.heard_at.unwrap_or(member.known_since);
            now.saturating_sub(last) < FORGET_AFTER
        });
    }

    /// Iterates in the order of names.
    pub fn iter(&self) -> impl Iterator<Item = &Member> {
        self.by_name.values()
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Whether no other node is known.
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }
}
