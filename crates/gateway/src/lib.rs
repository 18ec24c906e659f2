//! The gateway accepts requests of clients, selects engines and forwards their responses.
//!
//! Connections are accepted by [`listener`]; `entry` parses a request and `exchange` executes it:
//! it reads the earlier turns and reserves tokens (`records_client`), sends the request to an
//! engine (`attempt`), and forwards the response whole (`buffered_response`) or event by event
//! (`streaming`).

mod attempt;
mod buffered_response;
mod call;
mod client;
mod connection_pool;
mod end_ages;
mod engine_probe;
mod engine_rules;
mod entry;
mod exchange;
mod gateway;
mod in_flight;
mod key_freshness;
mod listener;
mod majority_health;
mod memory_budget;
pub mod metrics;
mod node_network;
mod open_permits;
mod rate_limits;
mod readiness;
mod records_client;
mod refusal;
mod replica_paths;
mod request_body;
mod request_digest;
mod role;
mod seen_ends;
mod stop;
mod stored_ends;
mod streaming;
mod turn_cache;
mod warm_ups;
mod witness_roster;
mod witnessed_ledgers;
mod witnesses;
mod zone_drains;

pub use end_ages::EndAges;
pub use gateway::Gateway;
pub use listener::{StopPhase, listen};
pub use majority_health::MajorityHealth;
pub use memory_budget::{MemoryBudget, MemoryReservation, OutOfMemoryBudget};
pub use open_permits::{OpenPermits, PermitResolution, SendBounds};
pub use replica_paths::{ReplicaNetwork, ReplicaPaths, ReplyFuture};
pub use role::run;
pub use seen_ends::{SeenEnds, SeenRequest};
pub use turn_cache::TurnCache;
pub use witness_roster::WitnessRoster;
pub use witnessed_ledgers::WitnessedLedgers;
