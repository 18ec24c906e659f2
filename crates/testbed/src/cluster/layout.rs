//! Where nodes stand, which links they have between them, and their settings files.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

use super::backends::push;
use super::binaries::Binaries;
use super::configure::PartnerToken;
use super::control::{PLATFORM_END, RelayControl, link_name};
use super::error::ClusterError;
use super::node::{
    BootstrapPartner, DialOverride, LogSection, NodePlan, NodeSettingsFile, StoreSection,
};
use super::ports::Ports;
use super::preset::Preset;
use super::process::ProcessPlan;

/// Which links between nodes go through the relay, so that they can be delayed and cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, clap::ValueEnum)]
pub enum RelayUse {
    /// None: nodes dial each other directly, without the delay of the preset.
    None,
    /// Links between nodes of different zones, and every node's link to the platform.
    #[default]
    BetweenZones,
    /// All links, and every node's link to the platform.
    All,
}

/// Plans the nodes of a preset. The first nodes of each zone have a disk.
pub(super) fn plan_nodes(
    preset: &Preset,
    folder: &Path,
    ports: &mut Ports,
) -> Result<Vec<NodePlan>, ClusterError> {
    let mut nodes = Vec::with_capacity(preset.nodes());
    for number in 0..preset.nodes_per_zone {
        for zone in &preset.zones {
            let name = format!("{zone}-node-{}", number + 1);
            let has_disk = number < preset.disks_per_zone;
            nodes.push(NodePlan {
                zone: zone.clone(),
                listen: ports.choose()?,
                links: ports.choose()?,
                data_folder: has_disk.then(|| folder.join(format!("{name}.data"))),
                settings_file: folder.join(format!("{name}.toml")),
                log_file: folder.join(format!("{name}.log")),
                name,
            });
        }
    }
    Ok(nodes)
}

/// Names of the configuration voters: nodes with a disk, of as many zones as possible.
pub(super) fn voters(preset: &Preset, nodes: &[NodePlan]) -> Vec<String> {
    let with_disk = nodes.iter().filter(|node| node.data_folder.is_some());
    with_disk
        .take(preset.configuration_voters)
        .map(|node| node.name.clone())
        .collect()
}

/// How the relay is started, with every link that it is to forward.
pub(super) fn relay_plan(
    binaries: &Binaries,
    folder: &Path,
    nodes: &[NodePlan],
    platform: SocketAddr,
    relay: RelayUse,
) -> ProcessPlan {
    let mut arguments = vec!["relay".to_owned()];
    push(&mut arguments, "--name", "relay");
    let free = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    let mut forward = |from: &str, to: &str, target: SocketAddr| {
        let name = link_name(from, to);
        push(
            &mut arguments,
            "--forward",
            format!("{name}@{free}={target}"),
        );
    };
    for from in nodes {
        for to in nodes {
            if is_relayed(from, to, relay) {
                forward(&from.name, &to.name, to.links);
            }
        }
        forward(&from.name, PLATFORM_END, platform);
    }
    ProcessPlan {
        name: "relay".to_owned(),
        program: binaries.testbed.clone(),
        arguments,
        log: folder.join("relay.log"),
    }
}

fn is_relayed(from: &NodePlan, to: &NodePlan, relay: RelayUse) -> bool {
    let same_zone = from.zone == to.zone;
    match relay {
        RelayUse::None => false,
        RelayUse::BetweenZones => !same_zone,
        RelayUse::All => from.name != to.name,
    }
}

/// What the settings of all nodes are made of.
pub(super) struct SettingsParts<'a> {
    /// The preset.
    pub preset: &'a Preset,
    /// All nodes.
    pub nodes: &'a [NodePlan],
    /// The partners.
    pub tokens: &'a [PartnerToken],
    /// The platform.
    pub platform: SocketAddr,
    /// The relay, if links go through one.
    pub relay: Option<&'a RelayControl>,
}

impl SettingsParts<'_> {
    /// Writes the settings file of a node.
    pub fn write(&self, node: &NodePlan) -> Result<(), ClusterError> {
        let settings = NodeSettingsFile {
            name: node.name.clone(),
            zone: node.zone.clone(),
            region: self.preset.region_of(&node.zone).to_owned(),
            listen: node.listen,
            link_listen: node.links,
            peers: self.peers_of(node),
            configuration_voters: voters(self.preset, self.nodes),
            platform: self.platform_from(node)?,
            dial_overrides: self.dial_overrides(node)?,
            bootstrap_partners: self.tokens.iter().map(bootstrap_partner).collect(),
            store: StoreSection {
                data_dir: node.data_folder.clone(),
            },
            log: LogSection {
                file: node.log_file.clone(),
            },
        };
        settings.write(&node.settings_file)
    }

    /// Nodes with a disk, so that a node without one can always join through another.
    fn peers_of(&self, node: &NodePlan) -> Vec<SocketAddr> {
        let others = self.nodes.iter().filter(|other| other.name != node.name);
        others
            .filter(|other| other.data_folder.is_some())
            .map(|other| other.links)
            .collect()
    }

    fn platform_from(&self, node: &NodePlan) -> Result<SocketAddr, ClusterError> {
        match self.relay {
            Some(relay) => relay.dial_address(&node.name, PLATFORM_END),
            None => Ok(self.platform),
        }
    }

    fn dial_overrides(&self, node: &NodePlan) -> Result<Vec<DialOverride>, ClusterError> {
        let Some(relay) = self.relay else {
            return Ok(Vec::new());
        };
        let others = self.nodes.iter();
        others
            .filter(|other| relay.has_link(&node.name, &other.name))
            .map(|other| {
                Ok(DialOverride {
                    advertised: other.links,
                    dial: relay.dial_address(&node.name, &other.name)?,
                })
            })
            .collect()
    }
}

fn bootstrap_partner(token: &PartnerToken) -> BootstrapPartner {
    BootstrapPartner {
        name: token.partner.clone(),
        token_sha256: token.sha256(),
    }
}
