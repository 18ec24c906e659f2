//! Decisions of a gateway about one request, without I/O: its route and service, the engine that serves it,
//! and how the engine's event stream splits into events.
#![allow(
    missing_docs,
    reason = "the resolvers that rkyv derives carry undocumented fields"
)]

mod configuration;
mod denial;
mod eligibility;
mod engine_health;
mod engine_load;
mod engine_table;
mod event_stream;
mod placement;
mod prefill_directory;
mod refusal;
mod region_latencies;
mod reported_outcomes;
mod request;
mod residency;
mod residency_faults;
mod route_table;
mod sample_window;
mod service_model;
mod software_history;
mod tenants;
mod warm_up;
mod weighted_split;
mod zone_drains;

pub use configuration::{
    ClientLimits, ConfigurationExtras, ModelEngine, RequestKind, Route, RouteConfiguration,
    Service, WeightedService,
};
pub use denial::{Denial, DenialReason, FreshConfiguration, Malformation};
pub use eligibility::{
    EligibilityRule, Exclusion, ResidencyRule, SoftwareRule, first_exclusion, service_exclusion,
};
pub use engine_health::{EngineHealth, Outcome, OutcomeCounts};
pub use engine_load::{EngineKey, EngineLoads, GatewayReport};
pub use engine_table::{
    Engine, EngineChanges, EngineEntry, EngineSoftware, EngineState, EngineTable, EngineWarmUp,
    Removal, SoftwareKey,
};
pub use event_stream::{Event, EventSplitter};
pub use placement::{Choice, FailureStateChange, Forecast, Placement, PlacementRequest};
pub use prefill_directory::{PrefillDirectory, PrefillRecord};
pub use refusal::{Refusal, RefusalReason};
pub use region_latencies::RegionLatencies;
pub use reported_outcomes::{MAX_SUSPECTS, ReportedOutcomes};
pub use request::{CallMetadata, PromptPart};
pub use residency::{Residency, ZoneRegions};
pub use residency_faults::ResidencyFaults;
pub use route_table::{RouteTable, UnknownKey};
pub use sample_window::SampleWindow;
pub use service_model::{
    PrefillSample, RequestSample, ServiceCosts, ServiceKey, ServiceModel, ServiceSummary,
};
pub use software_history::SoftwareHistory;
pub use tenants::{KeyDigest, RateLimit, Tenant, TenantError, TenantTable, check_tenants};
pub use warm_up::{WarmUpChange, WarmUpLimit, WarmUpSource, WarmUps};
pub use weighted_split::WeightedSplit;
pub use zone_drains::{DrainChange, ZoneDrains};
