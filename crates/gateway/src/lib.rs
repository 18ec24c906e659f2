//! The gateway: takes requests of clients, chooses engines, passes answers on.
//!
//! A request comes in through [`listener`], is read by `entry`, and carried out by `exchange`: the earlier
//! turns are read and the tokens reserved (`records_client`), an engine is chosen and asked (`attempt`), and
//! its answer is passed on whole (`whole_answer`) or event by event (`streaming`).

mod at_engine;
mod attempt;
mod call;
mod caller;
mod engine_pool;
mod engine_rules;
mod entry;
mod exchange;
mod gateway;
mod key_proof;
mod listener;
pub mod metrics;
mod node_network;
mod quorum_health;
mod rate_limits;
mod records_client;
mod refusal;
mod replica_paths;
mod role;
mod streaming;
mod turn_cache;
mod warm_ups;
mod whole_answer;
mod zone_drains;

pub use gateway::Gateway;
pub use listener::{StopPhase, listen};
pub use quorum_health::QuorumHealth;
pub use replica_paths::{Answering, ReplicaNetwork, ReplicaPaths};
pub use role::run;
pub use turn_cache::TurnCache;
