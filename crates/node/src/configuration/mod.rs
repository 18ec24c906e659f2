//! The configuration role: keeps the configuration in force and takes the operators' changes.

mod platform_client;
mod platform_watch;
mod role;

pub use platform_client::{PlatformClient, PlatformEvent};
pub use role::{ConfigurationOutputs, ConfigurationRoleActor, OperatorAnswers};
