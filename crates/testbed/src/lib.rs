//! Cluster launcher, load, demo, chaos and experiments.

pub mod engine;
pub mod platform;
pub mod relay;
pub mod serving;
pub mod tool;
