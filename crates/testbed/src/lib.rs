//! Cluster launcher, load, demo, chaos and experiments.

pub mod bench;
pub mod chaos;
pub mod client;
pub mod cluster;
pub mod cluster_command;
pub mod conversation;
pub mod demo;
pub mod engine;
pub mod experiment;
pub mod load;
pub mod measures;
pub mod platform;
pub mod relay;
pub mod serving;
pub mod tool;
