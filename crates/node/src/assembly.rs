//! Makes the roles of a node and connects them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use ridgeworks_configuration::{
    ConfigurationRole, ConfigurationSet, ConfigurationSettings, MachineList,
};
use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use ridgeworks_link::{Delivery, DialOverride, LinkClosed, LinkCounters, LinkSettings, Links};
use ridgeworks_membership::{Incarnation, Member, MemberState, Membership, MembershipConfig};
use ridgeworks_run_log::storage::RestoredStore;
use stakker::{
    Actor, ActorOwn, Fwd, Stakker, actor, actor_new, call, fwd_do, fwd_nop, fwd_to, ret_shutdown,
};
use stakker_mio::mio::net::TcpListener;

use crate::clock::Clock;
use crate::configuration::{ConfigurationOutputs, ConfigurationRoleActor, PlatformClient};
use crate::daemon::DaemonError;
use crate::directory::Directory;
use crate::dispatcher::{DispatcherOutputs, DispatcherRole, EnginePolls};
use crate::inbound::Gateway;
use crate::mailbox::Mailbox;
use crate::member_changes::MemberChanges;
use crate::membership::{MemberChange, MembershipOutputs, MembershipRole, SeedMessage};
use crate::message::OwnerCommand;
use crate::metrics::Metrics;
use crate::operator::{DeskActors, OperatorDesk};
use crate::outbound::BackendClient;
use crate::owner::{OwnerOutputs, OwnerRole};
use crate::replica::{NodeStore, ReplicaRole, RunSweeps};
use crate::router::{Incoming, Outgoing, Roles, Router};
use crate::settings::Settings;
use crate::thread_message::ThreadMessage;

const MAX_QUEUED_LINK_BYTES: usize = 64 * 1024 * 1024;

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

/// What the actors are made of.
pub struct Parts {
    node: NodeId,
    clock: Clock,
    directory: Directory,
    membership: Rc<RefCell<Membership>>,
    configuration: Rc<RefCell<ConfigurationRole>>,
    store: Option<StoreParts>,
    platform: Option<PlatformClient>,
    backends: Arc<BackendClient>,
    polls: EnginePolls,
    mailbox: Mailbox<ThreadMessage>,
    metrics: Arc<Metrics>,
}

struct StoreParts {
    store: NodeStore,
    restored: RestoredStore,
}

impl Parts {
    /// Opens the data folder and makes the state of all roles.
    pub fn new(
        settings: &Settings,
        link_address: SocketAddr,
        mailbox: Mailbox<ThreadMessage>,
        metrics: Arc<Metrics>,
    ) -> Result<Self, DaemonError> {
        let node = NodeId::from_name(&settings.name);
        let clock = Clock::start();
        let store = open_store(settings, &mailbox)?;
        if let Some(parts) = &store {
            metrics.show_store(parts.store.counters());
        }
        let membership = membership_state(settings, link_address, clock, store.is_some())?;
        let membership = Rc::new(RefCell::new(membership));
        let configuration = configuration_state(settings, node, clock, store.as_ref())?;
        let configuration = Rc::new(RefCell::new(configuration));
        let directory = Directory::new(
            clock,
            configuration.clone(),
            membership.clone(),
            settings.bootstrap_partners.clone(),
            RegionName::new(settings.region.clone())?,
        );
        let platform = settings
            .platform
            .map(|address| PlatformClient::new(address, mailbox.clone()));
        Ok(Self {
            node,
            clock,
            directory,
            membership,
            configuration,
            store,
            platform,
            backends: Arc::new(BackendClient::new(mailbox.clone(), metrics.clone())),
            polls: EnginePolls::new(mailbox.clone()),
            mailbox,
            metrics,
        })
    }

    /// Starts all actors. The failure of any of them stops the node.
    pub fn start(
        self,
        stakker: &mut Stakker,
        settings: &Settings,
        listener: TcpListener,
    ) -> Actors {
        let router = actor_new!(stakker, Router, ret_shutdown!(stakker));
        let gateway = actor_new!(stakker, Gateway, ret_shutdown!(stakker));
        let owner = actor_new!(stakker, OwnerRole, ret_shutdown!(stakker));
        let dispatcher = actor_new!(stakker, DispatcherRole, ret_shutdown!(stakker));
        let membership = actor_new!(stakker, MembershipRole, ret_shutdown!(stakker));
        let configuration = actor_new!(stakker, ConfigurationRoleActor, ret_shutdown!(stakker));
        let member_changes = actor_new!(stakker, MemberChanges, ret_shutdown!(stakker));
        let operator_desk = actor_new!(stakker, OperatorDesk, ret_shutdown!(stakker));
        let outgoing = fwd_to!([router], send() as (Outgoing));

        let link_counters = Arc::<LinkCounters>::default();
        self.metrics.show_links(link_counters.clone());
        let links = actor!(
            stakker,
            Links::init(
                link_settings(settings),
                listener,
                fwd_to!([router], deliver() as (Delivery)),
                fwd_to!([router], link_closed() as (LinkClosed)),
                link_counters
            ),
            ret_shutdown!(stakker)
        );
        let replica = self.start_replica(stakker, settings, &outgoing);
        let roles = Roles {
            gateway: fwd_to!([gateway], receive() as (Incoming)),
            owner: fwd_to!([owner], receive() as (Incoming)),
            replica: replica_inbox(replica.as_ref()),
            dispatcher: fwd_to!([dispatcher], receive() as (Incoming)),
            membership: fwd_to!([membership], receive() as (Incoming)),
            configuration: fwd_to!([configuration], receive() as (Incoming)),
            alive: fwd_to!([membership], alive() as (NodeId)),
            link_closed: fwd_to!([membership], link_closed() as (NodeId)),
            drain: self.drain_inbox(),
        };
        let links_handle: Actor<Links> = links.clone();
        let directory = self.directory.clone();
        call!(
            [router],
            Router::init(self.node, directory, links_handle, roles)
        );
        let first_number = rand::random();
        let gateway_open = self.metrics.gateway_open.clone();
        let directory = self.directory.clone();
        let to_owner = outgoing.clone();
        call!(
            [gateway],
            Gateway::init(self.node, directory, to_owner, first_number, gateway_open)
        );
        let outputs = OwnerOutputs {
            outgoing: outgoing.clone(),
            commands: fwd_to!([gateway], command() as (OwnerCommand)),
            backends: self.backends.clone(),
            metrics: self.metrics.clone(),
        };
        let directory = self.directory.clone();
        call!(
            [owner],
            OwnerRole::init(self.node, directory, outputs, settings.sweep.clone())
        );
        let outputs = DispatcherOutputs {
            outgoing: outgoing.clone(),
            backends: self.backends,
            metrics: self.metrics.clone(),
        };
        let directory = self.directory.clone();
        call!(
            [dispatcher],
            DispatcherRole::init(directory, outputs, self.polls)
        );
        let desk_actors = DeskActors {
            configuration: configuration.clone(),
            dispatcher: dispatcher.clone(),
            owner: owner.clone(),
        };
        let desk_outgoing = outgoing.clone();
        let directory = self.directory.clone();
        call!(
            [operator_desk],
            OperatorDesk::init(directory, desk_actors, desk_outgoing)
        );
        let (gateway_handle, owner_handle) = (gateway.clone(), owner.clone());
        let (dispatcher_handle, configuration_handle) = (dispatcher.clone(), configuration.clone());
        call!(
            [member_changes],
            MemberChanges::init(
                self.directory,
                gateway_handle,
                owner_handle,
                dispatcher_handle,
                configuration_handle
            )
        );
        let outputs = MembershipOutputs {
            outgoing: outgoing.clone(),
            seeds: fwd_to!([router], send_to_seed() as (SeedMessage)),
            changes: fwd_to!([member_changes], changed() as (MemberChange)),
            metrics: self.metrics.clone(),
        };
        call!(
            [membership],
            MembershipRole::init(self.clock, self.membership, outputs)
        );
        let outputs = ConfigurationOutputs {
            outgoing,
            in_force: fwd_to!([dispatcher], in_force() as (Arc<ConfigurationSet>)),
            machines: fwd_to!([dispatcher], machines() as (Arc<MachineList>)),
            metrics: self.metrics,
        };
        let store = self.store.map(|parts| parts.store);
        call!(
            [configuration],
            ConfigurationRoleActor::init(
                self.clock,
                self.configuration,
                self.platform,
                store,
                outputs
            )
        );
        Actors {
            gateway,
            owner,
            replica,
            dispatcher,
            membership,
            configuration,
            operator_desk,
            _member_changes: member_changes,
            _router: router,
            _links: links,
        }
    }

    // An order of another node stops this one as a signal would.
    fn drain_inbox(&self) -> Fwd<Incoming> {
        let mailbox = self.mailbox.clone();
        fwd_do!(move |_: Incoming| mailbox.post(ThreadMessage::Stop))
    }

    fn start_replica(
        &self,
        stakker: &mut Stakker,
        settings: &Settings,
        outgoing: &Fwd<Outgoing>,
    ) -> Option<ActorOwn<ReplicaRole>> {
        let parts = self.store.as_ref()?;
        Some(actor!(
            stakker,
            ReplicaRole::init(
                self.node,
                parts.store.clone(),
                parts.restored.clone(),
                outgoing.clone(),
                self.metrics.clone(),
                RunSweeps::new(self.directory.clone(), settings.sweep.clone())
            ),
            ret_shutdown!(stakker)
        ))
    }
}

// A node without a disk drops what is meant for a replica.
fn replica_inbox(replica: Option<&ActorOwn<ReplicaRole>>) -> Fwd<Incoming> {
    match replica {
        Some(replica) => fwd_to!([replica], receive() as (Incoming)),
        None => fwd_nop!(),
    }
}

fn open_store(
    settings: &Settings,
    mailbox: &Mailbox<ThreadMessage>,
) -> Result<Option<StoreParts>, DaemonError> {
    let Some(directory) = &settings.store.data_dir else {
        return Ok(None);
    };
    let store = NodeStore::open(directory, &settings.name, mailbox.clone())?;
    let restored = store.restore_replica()?;
    Ok(Some(StoreParts { store, restored }))
}

/// Settings of the links between nodes.
pub fn link_settings(settings: &Settings) -> LinkSettings {
    let overrides = settings.dial_overrides.iter().map(|entry| DialOverride {
        advertised: entry.advertised,
        dial: entry.dial,
    });
    LinkSettings {
        listen: settings.link_listen,
        node: NodeId::from_name(&settings.name),
        incarnation: incarnation().0,
        dial_overrides: overrides.collect(),
        max_queued_bytes: MAX_QUEUED_LINK_BYTES,
    }
}

fn incarnation() -> Incarnation {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::at_start(now.map_or(0, |elapsed| elapsed.as_millis() as u64))
}

fn membership_state(
    settings: &Settings,
    link_address: SocketAddr,
    clock: Clock,
    has_disk: bool,
) -> Result<Membership, DaemonError> {
    let own = Member {
        node: NodeId::from_name(&settings.name),
        name: settings.name.clone(),
        incarnation: incarnation(),
        address: settings.advertise.unwrap_or(link_address),
        zone: ZoneName::new(settings.zone.clone())?,
        region: RegionName::new(settings.region.clone())?,
        has_disk,
        state: MemberState::Alive,
    };
    let config = MembershipConfig::default();
    let seeds = settings.peers.clone();
    let now = clock.now();
    Ok(Membership::new(config, own, seeds, rand::random(), now))
}

fn configuration_state(
    settings: &Settings,
    node: NodeId,
    clock: Clock,
    store: Option<&StoreParts>,
) -> Result<ConfigurationRole, DaemonError> {
    let voters = settings.configuration_voters.iter();
    let stored = match store {
        Some(parts) => parts.store.restore_voter()?,
        None => None,
    };
    let role_settings = ConfigurationSettings {
        node,
        voters: voters.map(|name| NodeId::from_name(name)).collect(),
        seed: rand::random(),
    };
    Ok(ConfigurationRole::new(role_settings, stored, clock.now()))
}
