//! Parts that the tests and the comparison share.

pub mod cluster;
pub mod simulator;
