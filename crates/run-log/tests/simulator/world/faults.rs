//! Schedule of faults, and their effects.

use rand::RngExt;
use ridgeworks_run_log::StoreId;

use super::super::Weakening;
use super::event::Event;
use super::{BACKENDS, CLIENTS, FAULTS_END, MILLISECOND, NODES, REPLICAS, TICK, World};

impl World {
    pub(super) fn schedule_faults(&mut self) {
        for node in 0..NODES {
            self.at(
                TICK,
                Event::Tick {
                    node,
                    incarnation: 0,
                },
            );
        }
        for client in 0..CLIENTS {
            self.at(MILLISECOND, Event::Send { client });
        }
        for _ in 0..self.rng.random_range(2..12) {
            let at = self.rng.random_range(0..FAULTS_END);
            match self.rng.random_range(0..10) {
                0 => self.schedule_power_loss(at),
                _ => {
                    let fault = self.fault(at);
                    self.at(at, fault);
                }
            }
        }
    }

    /// Schedules a power loss of the other replicas while a node takes over a run and its messages to the replicas are lost.
    pub(super) fn schedule_power_loss(&mut self, at: u64) {
        let from = self.rng.random_range(0..NODES);
        let run = self.clients[self.rng.random_range(0..CLIENTS)].run;
        self.at(at, Event::TakeOver { node: from, run });
        let cut_at = at + self.rng.random_range(3..20) * MILLISECOND;
        let until = cut_at + self.rng.random_range(5..300) * MILLISECOND;
        for to in 0..REPLICAS {
            self.at(cut_at, Event::Partition { from, to, until });
        }
        let off_at = at + self.rng.random_range(3_000..25_000);
        let on_at = off_at + self.rng.random_range(1..10) * MILLISECOND;
        for node in (0..REPLICAS).filter(|node| *node != from) {
            self.at(off_at, Event::PowerOff { node, on_at });
        }
    }

    pub(super) fn fault(&mut self, at: u64) -> Event {
        let node = self.rng.random_range(0..NODES);
        match self.rng.random_range(0..14) {
            0..=2 => Event::Crash { node },
            10..=13 => Event::Partition {
                from: node,
                to: self.rng.random_range(0..NODES),
                until: at + self.rng.random_range(20..800) * MILLISECOND,
            },
            3..=6 => Event::Pause {
                node,
                until: at + self.rng.random_range(10..600) * MILLISECOND,
            },
            7 | 8 => Event::TakeOver {
                node,
                run: self.clients[self.rng.random_range(0..CLIENTS)].run,
            },
            _ => Event::BackendGone {
                backend: self.rng.random_range(1..BACKENDS),
            },
        }
    }

    pub(super) fn crash(&mut self, node: usize) {
        if !self.nodes[node].alive {
            return;
        }
        self.lose_volatile_state(node);
        let lose_disk = node < REPLICAS && !self.disk_lost && self.rng.random_bool(0.4);
        self.disk_lost |= lose_disk;
        let delay = self.rng.random_range(5..500) * MILLISECOND;
        self.after(delay, Event::Restart { node, lose_disk });
    }

    pub(super) fn power_off(&mut self, node: usize, on_at: u64) {
        if self.nodes[node].alive {
            self.lose_volatile_state(node);
            let lose_disk = false;
            self.at(on_at, Event::Restart { node, lose_disk });
        }
    }

    pub(super) fn lose_volatile_state(&mut self, node: usize) {
        let now = self.time();
        let forget = self.weakening == Some(Weakening::PromiseNotDurable);
        let kept = self.rng.random_range(0..4);
        self.nodes[node].crash();
        if let Some(replica_node) = self.nodes[node].replica.as_mut() {
            replica_node.crash(kept, forget, now);
        }
    }

    pub(super) fn restart(&mut self, node: usize, lose_disk: bool) {
        let now = self.time();
        let fresh = StoreId(self.rng.random());
        let keep = self.weakening == Some(Weakening::IdentityKept);
        let restarted = &mut self.nodes[node];
        restarted.alive = true;
        let incarnation = restarted.incarnation;
        if let Some(replica_node) = restarted.replica.as_mut().filter(|_| lose_disk) {
            let store = if keep { replica_node.store() } else { fresh };
            replica_node.lose_disk(store, now);
        }
        self.after(TICK, Event::Tick { node, incarnation });
    }
}
