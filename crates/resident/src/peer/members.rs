//! The other nodes that a node has heard of.

use std::collections::BTreeMap;
use std::time::Duration;

use super::message::{Heartbeat, MemberInfo, ReplicaStatus};

/// A node that was silent for so long is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// Another node.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Who it is.
    pub info: MemberInfo,
    /// When it was first heard of, since the start of this process.
    pub known_since: Duration,
    /// When its last heartbeat came, since the start of this process.
    pub heard_at: Option<Duration>,
    /// Number of its life.
    pub incarnation: u64,
    /// Its replica, as of its last heartbeat.
    pub replica: Option<ReplicaStatus>,
    /// Version of the protocol that it spoke last.
    pub protocol: u16,
}

impl Member {
    /// Whether a heartbeat came within this time.
    pub fn is_alive(&self, now: Duration, within: Duration) -> bool {
        self.heard_at
            .is_some_and(|heard| now.saturating_sub(heard) < within)
    }
}

/// All nodes that a node has heard of, by name.
#[derive(Debug, Default)]
pub struct Members {
    by_name: BTreeMap<String, Member>,
}

impl Members {
    /// Takes in a node that others know of.
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

    /// Takes in a heartbeat; says whether it begins a life that was not known.
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

    /// Forgets nodes that were silent for long.
    pub fn forget_silent(&mut self, now: Duration) {
        self.by_name.retain(|_, member| {
            let last = member.heard_at.unwrap_or(member.known_since);
            now.saturating_sub(last) < FORGET_AFTER
        });
    }

    /// All nodes.
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
