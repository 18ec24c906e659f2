//! The operators' side of the actor thread: authenticates requests and hands them to the roles.

use std::sync::Arc;

use crossbeam_channel::Sender;
use ridgeworks_configuration::{
    Change, ChangeRequest, ConfigurationObject, ConfigurationSet, OperationId, OperatorAnswer,
    Principal,
};
use ridgeworks_domain::{NodeId, PartnerName, Refusal};
use ridgeworks_membership::Member;
use stakker::{Actor, CX, Fwd, call};

use crate::configuration::ConfigurationRoleActor;
use crate::directory::Directory;
use crate::dispatcher::{DispatcherRole, ServiceStatus};
use crate::message::NodeMessage;
use crate::owner::OwnerRole;
use crate::router::Outgoing;

/// What an operator asks of the actor thread.
#[derive(Debug, Clone)]
pub enum OperatorWork {
    /// Makes a change of the configuration.
    Change {
        /// The operator's name of the change.
        operation: OperationId,
        /// The change.
        change: Change,
    },
    /// Reads the newest configuration.
    ReadNewest,
    /// Reads the configuration in force on this node.
    ReadInForce,
    /// Reads the members.
    Members,
    /// Reads back ends and queues, as far as this node dispatches for them.
    Services,
    /// Reads how many runs this node owns.
    OwnedRuns,
    /// Reads this node's own state.
    NodeStatus,
    /// Tells a node to stop as planned.
    Drain {
        /// The node.
        node: NodeId,
    },
}

/// What the actor thread answers.
#[derive(Debug)]
pub enum OperatorReply {
    /// To a change or to a reading of the newest configuration.
    Configuration {
        /// The partner that asked.
        partner: PartnerName,
        /// The answer.
        answer: OperatorAnswer,
    },
    /// The configuration in force on this node.
    InForce {
        /// The partner that asked.
        partner: PartnerName,
        /// The configuration.
        configuration: Arc<ConfigurationSet>,
    },
    /// The members.
    Members(Vec<Member>),
    /// Back ends and queues.
    Services(Vec<ServiceStatus>),
    /// Runs that this node owns.
    OwnedRuns(usize),
    /// This node's own state.
    NodeStatus {
        /// Its name.
        name: String,
        /// Revision in force, if the node is ready.
        revision: Option<u64>,
    },
    /// The order to stop is on its way.
    Drained,
    /// The request was refused.
    Refused(Refusal),
}

/// A request with where its answer goes.
pub struct OperatorRequestMessage {
    /// SHA-256 of the token that came with it, in lower-case hexadecimal.
    pub token_sha256: String,
    /// What is asked.
    pub work: OperatorWork,
    /// Where the answer goes.
    pub replies: Sender<OperatorReply>,
}

/// Roles that the desk asks.
pub struct DeskActors {
    /// The configuration role.
    pub configuration: Actor<ConfigurationRoleActor>,
    /// The dispatcher role.
    pub dispatcher: Actor<DispatcherRole>,
    /// The owner role.
    pub owner: Actor<OwnerRole>,
}

/// Actor that takes the operators' requests.
pub struct OperatorDesk {
    directory: Directory,
    actors: DeskActors,
    outgoing: Fwd<Outgoing>,
}

impl OperatorDesk {
    /// Starts the actor.
    pub fn init(
        _cx: CX![],
        directory: Directory,
        actors: DeskActors,
        outgoing: Fwd<Outgoing>,
    ) -> Option<Self> {
        Some(Self {
            directory,
            actors,
            outgoing,
        })
    }

    /// Takes a request.
    pub fn take(&mut self, _cx: CX![], message: OperatorRequestMessage) {
        let OperatorRequestMessage {
            token_sha256,
            work,
            replies,
        } = message;
        if let OperatorWork::NodeStatus = work {
            reply(&replies, self.node_status());
            return;
        }
        match self.directory.authenticate_operator(&token_sha256) {
            Ok(partner) => self.work(partner, work, replies),
            Err(refusal) => reply(&replies, OperatorReply::Refused(refusal)),
        }
    }

    fn work(&mut self, partner: PartnerName, work: OperatorWork, replies: Sender<OperatorReply>) {
        match work {
            OperatorWork::Change { operation, change } => {
                let request = ChangeRequest {
                    operation,
                    principal: self.principal(&partner, &change),
                    change,
                };
                let answers = configuration_answers(partner, replies);
                call!([self.actors.configuration], change(request, answers));
            }
            OperatorWork::ReadNewest => {
                let answers = configuration_answers(partner, replies);
                call!([self.actors.configuration], read(answers));
            }
            OperatorWork::ReadInForce => {
                let in_force = match self.directory.in_force() {
                    Ok(configuration) => OperatorReply::InForce {
                        partner,
                        configuration,
                    },
                    Err(refusal) => OperatorReply::Refused(refusal),
                };
                reply(&replies, in_force);
            }
            OperatorWork::Members => {
                reply(&replies, OperatorReply::Members(self.directory.members()));
            }
            OperatorWork::Services => call!([self.actors.dispatcher], report_status(replies)),
            OperatorWork::OwnedRuns => call!([self.actors.owner], report_count(replies)),
            OperatorWork::NodeStatus => reply(&replies, self.node_status()),
            OperatorWork::Drain { node } => {
                let message = NodeMessage::Drain;
                self.outgoing.fwd(Outgoing { to: node, message });
                reply(&replies, OperatorReply::Drained);
            }
        }
    }

    /// A partner that the settings name creates its own object on the deployment's behalf; all else
    /// it does in its own name.
    fn principal(&self, partner: &PartnerName, change: &Change) -> Principal {
        let creates_itself = match change {
            Change::Put {
                object: ConfigurationObject::Partner(created),
                ..
            } => created.name == *partner && self.directory.last_known().partner(partner).is_none(),
            _ => false,
        };
        if creates_itself {
            Principal::Bootstrap
        } else {
            Principal::Partner(partner.clone())
        }
    }

    fn node_status(&self) -> OperatorReply {
        let in_force = self.directory.in_force().ok();
        OperatorReply::NodeStatus {
            name: self.directory.own_name(),
            revision: in_force.map(|set| set.revision().0),
        }
    }
}

/// Passes the configuration role's answer on, with the partner that asked.
fn configuration_answers(
    partner: PartnerName,
    replies: Sender<OperatorReply>,
) -> Box<dyn FnOnce(OperatorAnswer)> {
    Box::new(move |answer| reply(&replies, OperatorReply::Configuration { partner, answer }))
}

// An operator that left is told nothing.
fn reply(replies: &Sender<OperatorReply>, answer: OperatorReply) {
    let _ = replies.send(answer);
}
