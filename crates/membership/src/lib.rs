//! Failure detection, member table and rendezvous hashing, without I/O.
//!
//! [`Membership`] is the state machine: typed [`Event`]s in, typed [`Effect`]s out, time passed in.
//! Nothing that must be safe rests on it: it only says whom to ask first. The design and its
//! figures are in `docs/design/failure-detection.md`.

pub mod config;
pub mod event;
pub mod member;
pub mod membership;
pub mod message;

pub use config::MembershipConfig;
pub use event::{Effect, Event};
pub use member::{Claim, Incarnation, Member, MemberState};
pub use membership::Membership;
pub use message::{MembershipMessage, MessageError};
