//! The node daemon `ridgeworksd`: actors, HTTP edges, links and disk.
//!
//! One thread runs all actors and holds all state. Threads of the HTTP edge, of attempts at back
//! ends, of the platform's client and of the store talk to it through a mailbox.

mod archive;
pub mod assembly;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod directory;
pub mod dispatcher;
pub mod inbound;
pub mod logging;
pub mod mailbox;
pub mod member_changes;
pub mod membership;
pub mod message;
pub mod metrics;
pub mod operator;
pub mod outbound;
pub mod owner;
pub mod replica;
pub mod resident;
pub mod router;
pub mod settings;
pub mod shutdown;
pub mod thread_message;
pub mod versions;
pub mod wake_timer;

use std::time::Duration;

/// When a caller may come back after a refusal that passes by itself.
pub const RETRY_DELAY: Duration = Duration::from_secs(1);
