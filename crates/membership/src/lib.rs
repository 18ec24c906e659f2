//! Failure detection, member table and rendezvous hashing, without I/O.
//!
//! [`Membership`] is a state machine that takes [`Event`]s and the time and returns [`Effect`]s.
//! Safety does not depend on it: it only determines which node is asked first. The design and its
//! figures are in `docs/design/failure-detection.md`.

pub mod anti_entropy;
pub mod config;
pub mod counters;
pub mod detector;
pub mod dissemination;
pub mod event;
mod joining;
pub mod member;
pub mod member_table;
pub mod membership;
pub mod message;
pub mod ownership_rate;
mod probing;
mod receiving;
pub mod relay;
pub mod rendezvous;
mod sending;
pub mod topology;

pub use config::MembershipConfig;
pub use counters::Counters;
pub use event::{Effect, Event};
pub use member::{Claim, Incarnation, Member, MemberState, NodeClaim};
pub use member_table::MemberTable;
pub use membership::Membership;
pub use message::{MembershipMessage, MessageError};
pub use ownership_rate::OwnershipRateLimiter;
