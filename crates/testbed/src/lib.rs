//! Cluster launcher, load, demo, chaos and experiments.
