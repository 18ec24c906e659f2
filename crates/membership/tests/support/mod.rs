//! Shared by the tests and the `compare` example. Each binary uses a part of it.
#![allow(dead_code, reason = "not every test binary uses every part")]

pub mod cluster;
pub mod simulator;
