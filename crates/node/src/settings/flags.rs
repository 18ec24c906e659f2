//! Flags of the command line that override keys of the settings file.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Args;

use super::file::Settings;

/// Overrides of single settings.
#[derive(Debug, Clone, Default, Args)]
pub struct Flags {
    /// Name of the node, unique in the deployment.
    #[arg(long)]
    pub name: Option<String>,
    /// Zone that the node stands in.
    #[arg(long)]
    pub zone: Option<String>,
    /// Region that the zone belongs to.
    #[arg(long)]
    pub region: Option<String>,
    /// Address of the HTTP edge, IP number and port.
    #[arg(long)]
    pub listen: Option<SocketAddr>,
    /// Address of the links between nodes, IP number and port.
    #[arg(long)]
    pub link_listen: Option<SocketAddr>,
    /// Address that other nodes dial.
    #[arg(long)]
    pub advertise: Option<SocketAddr>,
    /// Link address of a node to join through; repeatable.
    #[arg(long = "peer")]
    pub peers: Vec<SocketAddr>,
    /// Name of a configuration voter; repeatable.
    #[arg(long = "configuration-voter")]
    pub configuration_voters: Vec<String>,
    /// Address of the platform's HTTP service.
    #[arg(long)]
    pub platform: Option<SocketAddr>,
    /// Folder of durable data; with it the node carries the replica role.
    #[arg(long)]
    pub data_dir: Option<PathBuf>,
    /// File for log lines.
    #[arg(long)]
    pub log_file: Option<PathBuf>,
    /// Lowest level of log lines: error, warn, info, debug or trace.
    #[arg(long)]
    pub log_level: Option<String>,
}

impl Flags {
    /// Puts the flags given in place of the file's values.
    pub fn apply_to(&self, settings: &mut Settings) {
        replace(&mut settings.name, &self.name);
        replace(&mut settings.zone, &self.zone);
        replace(&mut settings.region, &self.region);
        replace(&mut settings.listen, &self.listen);
        replace(&mut settings.link_listen, &self.link_listen);
        replace(&mut settings.log.level, &self.log_level);
        replace_option(&mut settings.advertise, &self.advertise);
        replace_option(&mut settings.platform, &self.platform);
        replace_option(&mut settings.store.data_dir, &self.data_dir);
        replace_option(&mut settings.log.file, &self.log_file);
        replace_list(&mut settings.peers, &self.peers);
        replace_list(
            &mut settings.configuration_voters,
            &self.configuration_voters,
        );
    }

    /// Keys of the lists that flags take the place of.
    pub fn replaced_lists(&self) -> impl Iterator<Item = &'static str> {
        let peers = (!self.peers.is_empty()).then_some("peers");
        let voters = (!self.configuration_voters.is_empty()).then_some("configuration_voters");
        peers.into_iter().chain(voters)
    }
}

fn replace<T: Clone>(target: &mut T, flag: &Option<T>) {
    if let Some(value) = flag {
        *target = value.clone();
    }
}

fn replace_option<T: Clone>(target: &mut Option<T>, flag: &Option<T>) {
    if flag.is_some() {
        *target = flag.clone();
    }
}

fn replace_list<T: Clone>(target: &mut Vec<T>, flag: &[T]) {
    if !flag.is_empty() {
        *target = flag.to_vec();
    }
}
