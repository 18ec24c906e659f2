//! Cluster launcher, load, demo, chaos and experiments.

pub mod client;
pub mod cluster;
pub mod cluster_command;
pub mod engine;
pub mod platform;
pub mod relay;
pub mod serving;
pub mod tool;
