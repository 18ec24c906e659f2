//! Random and scripted faults of nodes and of the platform.

use rand::RngExt;
use ridgeworks_configuration::{ConfigurationRole, MachineState};

use super::{Action, FAULTS_END, NODES, Node, SECOND, ScriptedFault, Simulation};

impl Simulation {
    pub(super) fn fault(&mut self) {
        if self.healed() {
            self.heal();
            return;
        }
        if self.scripted {
            return;
        }
        self.faults += 1;
        let node = self.random.random_range(0..NODES);
        let length = self.random.random_range(200_000..6 * SECOND);
        let until = self.now + length;
        match self.random.random_range(0..9) {
            0 | 1 => self.crash(node, length.min(2 * SECOND), false),
            2 => self.lose_disk(length.min(2 * SECOND)),
            3 | 4 => {
                self.nodes[node].paused = true;
                self.schedule(until, Action::Wake { node });
            }
            5 => self.down_until = until,
            6 => self.slow_until = until,
            7 => self.lose_until = until,
            _ => self.nodes[node].cut = !self.nodes[node].cut,
        }
        if self.random.random_bool(0.2) {
            let state = [MachineState::Live, MachineState::Leaving][self.random.random_range(0..2)];
            self.platform.set_machine(state);
        }
        let pause = self.random.random_range(100_000..1_500_000);
        let next = (self.now + pause).min(FAULTS_END);
        self.schedule(next, Action::Fault);
    }

    pub(super) fn scripted_fault(&mut self, fault: ScriptedFault) {
        self.faults += 1;
        match fault {
            ScriptedFault::Cut(node, cut) => self.nodes[node].cut = cut,
            ScriptedFault::PlatformDown => self.down_until = FAULTS_END,
            ScriptedFault::LoseDisk(node) => self.crash(node, 100_000, true),
            ScriptedFault::EndWatch(node) => {
                self.watchers.remove(&node);
            }
            ScriptedFault::CutLink(one, other) => self.cut_links.push((one, other)),
            ScriptedFault::DelayReplicate(node, delay) => {
                self.delayed_replicate = Some((node, delay));
            }
        }
    }

    pub(super) fn heal(&mut self) {
        self.down_until = 0;
        self.slow_until = 0;
        self.lose_until = 0;
        self.cut_links.clear();
        self.delayed_replicate = None;
        self.platform.set_machine(MachineState::Leaving);
        self.platform.set_machine(MachineState::Live);
        for node in 0..NODES {
            self.nodes[node].cut = false;
            self.wake(node);
        }
    }

    pub(super) fn crash(&mut self, node: usize, length: u64, disk_lost: bool) {
        if self.nodes[node].role.is_none() {
            return;
        }
        let state = &mut self.nodes[node];
        state.role = None;
        state.incarnation += 1;
        state.paused = false;
        state.deferred_events.clear();
        if disk_lost {
            state.disk = None;
        }
        self.operators.node_crashed(node);
        self.schedule(self.now + length, Action::Start { node });
    }

    /// Loses the disk of one voter, unless another one has not recovered yet.
    pub(super) fn lose_disk(&mut self, length: u64) {
        let eligible = |node: &Node| {
            let role = node.role.as_ref();
            node.disk.as_ref().is_some_and(|disk| disk.vouches)
                && role.is_none_or(ConfigurationRole::is_eligible_voter)
        };
        if self.nodes[..self.voters].iter().all(eligible) {
            let voter = self.random.random_range(0..self.voters);
            self.crash(voter, length, true);
        }
    }

    pub(super) fn wake(&mut self, node: usize) {
        if !self.nodes[node].paused {
            return;
        }
        self.nodes[node].paused = false;
        self.check_node(node);
        let incarnation = self.nodes[node].incarnation;
        for event in std::mem::take(&mut self.nodes[node].deferred_events) {
            let at = self.now + self.random.random_range(0..60_000);
            self.schedule(
                at,
                Action::Handle {
                    node,
                    incarnation,
                    event,
                },
            );
        }
    }
}
