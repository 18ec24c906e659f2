//! Parts that the tests and the comparison share. Each test binary uses some of them.
#![allow(dead_code, reason = "not every test binary uses every part")]

pub mod cluster;
pub mod simulator;
