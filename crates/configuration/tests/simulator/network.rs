//! Delivery of messages, writes to disks, and platform operations.

use rand::RngExt;
use ridgeworks_configuration::effect::WatchEvent;
use ridgeworks_configuration::message::KnownVersions;
use ridgeworks_configuration::{
    ConfigurationMessage, Event, PlatformAnswer, PlatformOperation, PlatformVersion, RequestId,
    StoredVoter,
};

use super::{Action, DisabledMechanism, Simulation, node_id};

impl Simulation {
    pub(super) fn send(&mut self, from: usize, to: usize, message: ConfigurationMessage) {
        if let ConfigurationMessage::Renew { request, .. } = message {
            self.nodes[from].last_renewal = Some(request);
        }
        self.forge_acknowledgement(from, to, &message);
        let cut = self.nodes[from].cut != self.nodes[to].cut
            || self.cut_links.contains(&(from, to))
            || self.cut_links.contains(&(to, from));
        let lossy = !self.healed() && self.random.random_bool(self.loss);
        if cut || lossy {
            return;
        }
        self.deliver(from, to, message.clone());
        if !self.healed() && self.random.random_bool(self.loss / 2.0) {
            self.deliver(from, to, message);
        }
    }

    pub(super) fn forge_acknowledgement(
        &mut self,
        from: usize,
        to: usize,
        message: &ConfigurationMessage,
    ) {
        if self.disabled_mechanism != DisabledMechanism::MajorityBeforeAccepted {
            return;
        }
        if let ConfigurationMessage::Replicate { request, update } = message {
            let known = KnownVersions {
                newest: update.revision,
                machines: 0,
            };
            let request = Some(*request);
            let forged = ConfigurationMessage::Stored { request, known };
            let incarnation = self.nodes[from].incarnation;
            let event = Event::Message {
                from: node_id(to),
                message: forged,
            };
            self.schedule(
                self.now + 1,
                Action::Handle {
                    node: from,
                    incarnation,
                    event,
                },
            );
        }
    }

    pub(super) fn deliver(&mut self, from: usize, to: usize, message: ConfigurationMessage) {
        let longest = if self.healed() {
            5_000
        } else {
            self.longest_delay
        };
        let mut delay = self.random.random_range(500..=5_000);
        if self.random.random_bool(0.2) {
            delay = self.random.random_range(500..=longest);
        }
        if let (Some((node, longer)), ConfigurationMessage::Replicate { .. }) =
            (self.delayed_replicate, &message)
            && node == to
        {
            delay = longer;
        }
        let from = node_id(from);
        let event = Event::Message { from, message };
        let incarnation = self.nodes[to].incarnation;
        self.schedule(
            self.now + delay,
            Action::Handle {
                node: to,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn flush(&mut self, node: usize, incarnation: u64, write: u64, state: StoredVoter) {
        if self.nodes[node].incarnation != incarnation {
            return;
        }
        if state.vouches && self.nodes[node].first_eligible_disk.is_none() {
            self.nodes[node].first_eligible_disk = Some(state.clone());
        }
        self.nodes[node].disk = Some(state);
        self.handle(node, Event::Flushed { write });
    }

    pub(super) fn platform_delay(&mut self) -> u64 {
        let longest = if self.now < self.slow_until {
            3_500_000
        } else {
            8_000
        };
        self.random.random_range(500..longest)
    }

    pub(super) fn arrive(
        &mut self,
        node: usize,
        incarnation: u64,
        request: RequestId,
        operation: PlatformOperation,
    ) {
        if self.now < self.down_until {
            let answer = PlatformAnswer::Unavailable;
            let event = Event::PlatformAnswer { request, answer };
            if self.random.random_bool(0.7) {
                self.schedule(
                    self.now + 1000,
                    Action::Handle {
                        node,
                        incarnation,
                        event,
                    },
                );
            }
            return;
        }
        if operation == PlatformOperation::Watch {
            self.watchers.insert(node, incarnation);
            return;
        }
        let (mut answer, changed) = self.platform.carry_out(operation);
        if changed {
            self.notify_watchers();
        }
        if self.now < self.lose_until && self.random.random_bool(0.6) {
            if self.random.random_bool(0.5) {
                return;
            }
            answer = PlatformAnswer::Lost;
        }
        let at = self.now + self.platform_delay();
        let event = Event::PlatformAnswer { request, answer };
        self.schedule(
            at,
            Action::Handle {
                node,
                incarnation,
                event,
            },
        );
    }

    pub(super) fn notify_watchers(&mut self) {
        for (node, incarnation) in self.watchers.clone() {
            let event = match self.random.random_range(0..10) {
                0 => WatchEvent::Gap,
                1 => WatchEvent::Closed,
                2 => continue,
                _ => WatchEvent::Document {
                    version: PlatformVersion(self.platform.version),
                    document: self.platform.document.clone(),
                },
            };
            let at = self.now + self.platform_delay();
            let event = Event::PlatformWatch(event);
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
