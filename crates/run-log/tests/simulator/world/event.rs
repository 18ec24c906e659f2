//! Events of the simulation.

use ridgeworks_domain::{CallRequest, RunId};
use ridgeworks_run_log::{CallerAnswer, OwnerEffect, OwnerEvent, Reply, Request};

use super::super::backend::AttemptKey;
use super::super::client::ClientRequest;

pub enum Event {
    Request {
        from: usize,
        to: usize,
        request: Request,
    },
    Reply {
        from: usize,
        to: usize,
        reply: Reply,
    },
    Flush {
        node: usize,
        incarnation: u32,
    },
    Tick {
        node: usize,
        incarnation: u32,
    },
    Effect {
        node: usize,
        incarnation: u32,
        run: RunId,
        effect: OwnerEffect,
    },
    Input {
        node: usize,
        incarnation: u32,
        run: RunId,
        event: OwnerEvent,
    },
    ClientRequest {
        node: usize,
        client: usize,
        number: u64,
        client_request: ClientRequest,
    },
    Answer {
        client: usize,
        number: u64,
        answer: CallerAnswer,
    },
    Send {
        client: usize,
    },
    Timeout {
        client: usize,
        number: u64,
    },
    Arrive {
        backend: usize,
        key: AttemptKey,
        request: CallRequest,
        node: usize,
        incarnation: u32,
    },
    Finish {
        backend: usize,
        key: AttemptKey,
        node: usize,
        incarnation: u32,
    },
    Fence {
        backend: usize,
        key: AttemptKey,
        node: usize,
        incarnation: u32,
    },
    Crash {
        node: usize,
    },
    PowerOff {
        node: usize,
        on_at: u64,
    },
    Restart {
        node: usize,
        lose_disk: bool,
    },
    Pause {
        node: usize,
        until: u64,
    },
    Partition {
        from: usize,
        to: usize,
        until: u64,
    },
    TakeOver {
        node: usize,
        run: RunId,
    },
    BackendGone {
        backend: usize,
    },
}
