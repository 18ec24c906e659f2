//! Helpers for tests of links.
#![allow(dead_code, reason = "each test file uses its own part of the support")]

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

pub const IP: IpAddr = IpAddr::V4(Ipv4Addr::LOCALHOST);
/// Longer than the time in which a new link is not checked.
pub const CHECKABLE_AFTER: Duration = Duration::from_millis(2_100);

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

pub fn free_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind((IP, 0)).expect("a free port");
    listener.local_addr().expect("a bound listener")
}
