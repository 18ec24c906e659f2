//! Makes the roles of a node and connects them.

mod link_settings;
mod parts;

use std::sync::Arc;

use ridgeworks_configuration::{ConfigurationSet, MachineList};
use ridgeworks_domain::NodeId;
use ridgeworks_link::{Delivery, LinkClosed, LinkCounters, Links};
use stakker::{
    Actor, ActorOwn, Fwd, Stakker, actor, actor_new, call, fwd_do, fwd_nop, fwd_to, ret_shutdown,
};
use stakker_mio::mio::net::TcpListener;

pub use self::link_settings::link_settings;
pub use self::parts::Parts;
use crate::configuration::{ConfigurationOutputs, ConfigurationRoleActor};
use crate::dispatcher::{DispatcherOutputs, DispatcherRole, EnginePolls};
use crate::inbound::Gateway;
use crate::member_changes::MemberChanges;
use crate::membership::{MemberChange, MembershipOutputs, MembershipRole, SeedMessage};
use crate::message::OwnerCommand;
use crate::operator::{DeskActors, OperatorDesk};
use crate::owner::{OwnerOutputs, OwnerRole};
use crate::replica::{ReplicaRole, RunSweeps};
use crate::router::{Incoming, Outgoing, Roles, Router};
use crate::settings::Settings;
use crate::thread_message::ThreadMessage;

/// The actors that other threads have news for.
pub struct Actors {
    /// The gateway role.
    pub gateway: ActorOwn<Gateway>,
    /// The owner role.
    pub owner: ActorOwn<OwnerRole>,
    /// The replica role, on a node with a disk.
    pub replica: Option<ActorOwn<ReplicaRole>>,
    /// The dispatcher role.
    pub dispatcher: ActorOwn<DispatcherRole>,
    /// The membership role.
    pub membership: ActorOwn<MembershipRole>,
    /// The configuration role.
    pub configuration: ActorOwn<ConfigurationRoleActor>,
    /// The operators' side.
    pub operator_desk: ActorOwn<OperatorDesk>,
    _member_changes: ActorOwn<MemberChanges>,
    _router: ActorOwn<Router>,
    _links: ActorOwn<Links>,
}

/// Actors that exist but have not begun, so that each can be given handles of the others.
struct Unstarted {
    router: ActorOwn<Router>,
    gateway: ActorOwn<Gateway>,
    owner: ActorOwn<OwnerRole>,
    dispatcher: ActorOwn<DispatcherRole>,
    membership: ActorOwn<MembershipRole>,
    configuration: ActorOwn<ConfigurationRoleActor>,
    member_changes: ActorOwn<MemberChanges>,
    operator_desk: ActorOwn<OperatorDesk>,
}

impl Unstarted {
    fn new(stakker: &mut Stakker) -> Self {
        Self {
            router: actor_new!(stakker, Router, ret_shutdown!(stakker)),
            gateway: actor_new!(stakker, Gateway, ret_shutdown!(stakker)),
            owner: actor_new!(stakker, OwnerRole, ret_shutdown!(stakker)),
            dispatcher: actor_new!(stakker, DispatcherRole, ret_shutdown!(stakker)),
            membership: actor_new!(stakker, MembershipRole, ret_shutdown!(stakker)),
            configuration: actor_new!(stakker, ConfigurationRoleActor, ret_shutdown!(stakker)),
            member_changes: actor_new!(stakker, MemberChanges, ret_shutdown!(stakker)),
            operator_desk: actor_new!(stakker, OperatorDesk, ret_shutdown!(stakker)),
        }
    }

    /// Where every role sends its messages to roles of all nodes.
    fn outgoing(&self) -> Fwd<Outgoing> {
        let router = &self.router;
        fwd_to!([router], send() as (Outgoing))
    }
}

impl Parts {
    /// Starts all actors. The failure of any of them stops the node.
    pub fn start(
        self,
        stakker: &mut Stakker,
        settings: &Settings,
        listener: TcpListener,
    ) -> Actors {
        let actors = Unstarted::new(stakker);
        let links = self.start_links(stakker, settings, listener, &actors);
        let replica = self.start_replica(stakker, settings, actors.outgoing());
        self.start_router(&actors, links.clone(), replica.as_ref());
        self.start_gateway(&actors);
        self.start_owner(&actors, settings);
        self.start_dispatcher(&actors);
        self.start_operator_desk(&actors);
        self.start_member_changes(&actors);
        self.start_membership(&actors);
        self.start_configuration(&actors);
        Actors {
            gateway: actors.gateway,
            owner: actors.owner,
            replica,
            dispatcher: actors.dispatcher,
            membership: actors.membership,
            configuration: actors.configuration,
            operator_desk: actors.operator_desk,
            _member_changes: actors.member_changes,
            _router: actors.router,
            _links: links,
        }
    }

    fn start_links(
        &self,
        stakker: &mut Stakker,
        settings: &Settings,
        listener: TcpListener,
        actors: &Unstarted,
    ) -> ActorOwn<Links> {
        let counters = Arc::<LinkCounters>::default();
        self.metrics.show_links(counters.clone());
        let router = &actors.router;
        actor!(
            stakker,
            Links::init(
                link_settings(settings),
                listener,
                fwd_to!([router], deliver() as (Delivery)),
                fwd_to!([router], link_closed() as (LinkClosed)),
                counters
            ),
            ret_shutdown!(stakker)
        )
    }

    fn start_replica(
        &self,
        stakker: &mut Stakker,
        settings: &Settings,
        outgoing: Fwd<Outgoing>,
    ) -> Option<ActorOwn<ReplicaRole>> {
        let parts = self.store.as_ref()?;
        Some(actor!(
            stakker,
            ReplicaRole::init(
                self.node,
                parts.store.clone(),
                parts.restored.clone(),
                outgoing,
                self.metrics.clone(),
                RunSweeps::new(self.directory.clone(), settings.sweep.clone())
            ),
            ret_shutdown!(stakker)
        ))
    }

    fn start_router(
        &self,
        actors: &Unstarted,
        links: Actor<Links>,
        replica: Option<&ActorOwn<ReplicaRole>>,
    ) {
        let Unstarted {
            router,
            gateway,
            owner,
            dispatcher,
            membership,
            configuration,
            ..
        } = actors;
        let roles = Roles {
            gateway: fwd_to!([gateway], receive() as (Incoming)),
            owner: fwd_to!([owner], receive() as (Incoming)),
            replica: replica_inbox(replica),
            dispatcher: fwd_to!([dispatcher], receive() as (Incoming)),
            membership: fwd_to!([membership], receive() as (Incoming)),
            configuration: fwd_to!([configuration], receive() as (Incoming)),
            alive: fwd_to!([membership], alive() as (NodeId)),
            link_closed: fwd_to!([membership], link_closed() as (NodeId)),
            drain: self.drain_inbox(),
        };
        let directory = self.directory.clone();
        call!([router], Router::init(self.node, directory, links, roles));
    }

    fn start_gateway(&self, actors: &Unstarted) {
        let directory = self.directory.clone();
        let first_number = rand::random();
        let open_requests = self.metrics.gateway_open.clone();
        let outgoing = actors.outgoing();
        call!(
            [actors.gateway],
            Gateway::init(self.node, directory, outgoing, first_number, open_requests)
        );
    }

    fn start_owner(&self, actors: &Unstarted, settings: &Settings) {
        let gateway = &actors.gateway;
        let outputs = OwnerOutputs {
            outgoing: actors.outgoing(),
            commands: fwd_to!([gateway], command() as (OwnerCommand)),
            backends: self.backends.clone(),
            metrics: self.metrics.clone(),
        };
        let directory = self.directory.clone();
        call!(
            [actors.owner],
            OwnerRole::init(self.node, directory, outputs, settings.sweep.clone())
        );
    }

    fn start_dispatcher(&self, actors: &Unstarted) {
        let outputs = DispatcherOutputs {
            outgoing: actors.outgoing(),
            backends: self.backends.clone(),
            metrics: self.metrics.clone(),
        };
        let directory = self.directory.clone();
        let polls = EnginePolls::new(self.mailbox.clone());
        call!(
            [actors.dispatcher],
            DispatcherRole::init(directory, outputs, polls)
        );
    }

    fn start_operator_desk(&self, actors: &Unstarted) {
        let desk_actors = DeskActors {
            configuration: actors.configuration.clone(),
            dispatcher: actors.dispatcher.clone(),
            owner: actors.owner.clone(),
        };
        let directory = self.directory.clone();
        let outgoing = actors.outgoing();
        call!(
            [actors.operator_desk],
            OperatorDesk::init(directory, desk_actors, outgoing)
        );
    }

    fn start_member_changes(&self, actors: &Unstarted) {
        let directory = self.directory.clone();
        let gateway = actors.gateway.clone();
        let owner = actors.owner.clone();
        let dispatcher = actors.dispatcher.clone();
        let configuration = actors.configuration.clone();
        call!(
            [actors.member_changes],
            MemberChanges::init(directory, gateway, owner, dispatcher, configuration)
        );
    }

    fn start_membership(&self, actors: &Unstarted) {
        let (router, member_changes) = (&actors.router, &actors.member_changes);
        let outputs = MembershipOutputs {
            outgoing: actors.outgoing(),
            seeds: fwd_to!([router], send_to_seed() as (SeedMessage)),
            changes: fwd_to!([member_changes], changed() as (MemberChange)),
            metrics: self.metrics.clone(),
        };
        let state = self.membership.clone();
        call!(
            [actors.membership],
            MembershipRole::init(self.clock, state, outputs)
        );
    }

    fn start_configuration(&self, actors: &Unstarted) {
        let dispatcher = &actors.dispatcher;
        let outputs = ConfigurationOutputs {
            outgoing: actors.outgoing(),
            in_force: fwd_to!(
                [dispatcher],
                update_configuration() as (Arc<ConfigurationSet>)
            ),
            machines: fwd_to!([dispatcher], update_machines() as (Arc<MachineList>)),
            metrics: self.metrics.clone(),
        };
        let state = self.configuration.clone();
        let platform = self.platform.clone();
        let store = self.store.as_ref().map(|parts| parts.store.clone());
        call!(
            [actors.configuration],
            ConfigurationRoleActor::init(self.clock, state, platform, store, outputs)
        );
    }

    // An order of another node stops this one as a signal would.
    fn drain_inbox(&self) -> Fwd<Incoming> {
        let mailbox = self.mailbox.clone();
        fwd_do!(move |_: Incoming| mailbox.post(ThreadMessage::Stop))
    }
}

// A node without a disk drops what is meant for a replica.
fn replica_inbox(replica: Option<&ActorOwn<ReplicaRole>>) -> Fwd<Incoming> {
    match replica {
        Some(replica) => fwd_to!([replica], receive() as (Incoming)),
        None => fwd_nop!(),
    }
}
