//! Runtime that every role on the users' platform shares.
//!
//! One thread does all networking, with `hyper` on `tokio`'s current-thread runtime; `stakker` actors
//! run on the same thread. Only logging and disk access have their own threads.

pub mod actors;
pub mod build;
pub mod clock;
mod drain_handler;
pub mod http_client;
pub mod http_server;
pub mod listen;
pub mod logging;
pub mod metrics;
pub mod node;
mod paged_list;
pub mod peer;
pub mod process;
pub mod resources;
pub mod response_head;
pub mod settings;
pub mod shutdown;
pub mod store_client;
pub mod store_watch;
pub mod traffic;
pub mod view;
mod watch_handlers;
pub mod watch_policy;
