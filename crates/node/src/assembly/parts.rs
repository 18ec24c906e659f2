//! What the roles of a node are made of: the open store, the shared state machines, the clients.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use ridgeworks_configuration::{ConfigurationRole, ConfigurationSettings};
use ridgeworks_domain::{NodeId, RegionName, ZoneName};
use ridgeworks_membership::{Member, MemberState, Membership, MembershipConfig};
use ridgeworks_run_log::storage::RestoredStore;

use super::link_settings::incarnation;
use crate::clock::Clock;
use crate::configuration::PlatformClient;
use crate::daemon::DaemonError;
use crate::directory::Directory;
use crate::mailbox::Mailbox;
use crate::metrics::Metrics;
use crate::outbound::BackendClient;
use crate::replica::NodeStore;
use crate::settings::Settings;
use crate::thread_message::ThreadMessage;

/// What the actors are made of.
pub struct Parts {
    pub(super) node: NodeId,
    pub(super) clock: Clock,
    pub(super) directory: Directory,
    pub(super) membership: Rc<RefCell<Membership>>,
    pub(super) configuration: Rc<RefCell<ConfigurationRole>>,
    pub(super) store: Option<StoreParts>,
    pub(super) platform: Option<PlatformClient>,
    pub(super) backends: Arc<BackendClient>,
    pub(super) mailbox: Mailbox<ThreadMessage>,
    pub(super) metrics: Arc<Metrics>,
}

/// The open store, and what it held for the replica role.
pub(super) struct StoreParts {
    pub(super) store: NodeStore,
    pub(super) restored: RestoredStore,
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
            mailbox,
            metrics,
        })
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
