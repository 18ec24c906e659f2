//! Starts a whole deployment on the loopback interface as separate processes, configures it through
//! the operators' interface and controls its processes, links and platform.

mod backends;
mod binaries;
mod configure;
mod control;
mod deployment;
mod error;
mod interrupt;
mod launch;
mod layout;
mod node;
mod ports;
mod preset;
mod process;
mod summary;
mod waiting;

pub use backends::BackendPlan;
pub use binaries::Binaries;
pub use configure::{PartnerToken, configure, operation_id, operator_client};
pub use control::{ListedMachine, PLATFORM_END, PlatformControl, RelayControl, link_name};
pub use deployment::{Cluster, ClusterOptions, DataFolder};
pub use error::{ClusterError, Condition};
pub use interrupt::{exit_on_signal, flag_on_signal};
pub use layout::RelayUse;
pub use node::NodePlan;
pub use preset::{
    BackendKind, BackendPreset, EnginePreset, PartnerPreset, Preset, PresetError, PresetField,
    PresetName, ToolPreset,
};
pub use process::{Process, ProcessPlan, ReadyLine};
pub use ridgeworks_stand_ins::platform::faults::Mode as PlatformMode;
pub use ridgeworks_stand_ins::relay::link::LinkState;
pub use summary::{BackendSummary, ClusterSummary, NodeSummary};
