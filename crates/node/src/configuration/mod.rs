//! The configuration role: replicates the configuration in force and applies operators' changes.

mod platform_client;
mod platform_watch;
mod role;

pub use platform_client::{PlatformClient, PlatformEvent};
pub use role::{ConfigurationOutputs, ConfigurationRoleActor, OperatorCallback};
