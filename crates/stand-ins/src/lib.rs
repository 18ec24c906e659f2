//! Stand-ins for engines, the platform and tool services, and a relay that injects link faults.
//!
//! Each is a server on a TCP port of the loopback interface, started from typed options. They are
//! test equipment: paths, headers and bodies are described in `docs/design/stand-ins.md`.

pub mod attempts;
pub mod connection_wake;
pub mod engine;
pub mod failure;
pub mod fencing;
pub mod history;
pub mod http;
pub mod incoming;
pub mod lagging;
pub mod metrics;
pub mod platform;
pub mod relay;
pub mod tool;
