//! Bursts of connections whose answers stay open.

mod support;

use std::sync::{Barrier, mpsc};
use std::thread;
use std::time::Duration;

use ridgeworks_stand_ins::engine::batching::StepCosts;
use support::engine_fixture::EngineFixture;
use support::{chat, open_lines};

const STREAMS: usize = 64;
const BURSTS: usize = 5;
const PATIENCE: Duration = Duration::from_secs(4);
/// So many steps last longer than the test waits, so that no stream makes room for another.
const TOKENS: u64 = 2_000;

#[test]
fn every_connection_of_a_burst_is_served_while_the_others_stay_open() {
    for _ in 0..BURSTS {
        burst();
    }
}

fn burst() {
    let fixture = EngineFixture::start(|options| {
        options.max_batch = STREAMS;
        options.answer_tokens = TOKENS as usize;
        options.costs = StepCosts {
            base: Duration::from_millis(5),
            per_sequence: Duration::ZERO,
            per_prefill_token: Duration::ZERO,
        };
    });
    let address = fixture.address();
    let body = chat("go on", TOKENS, true).to_string();
    let barrier = Barrier::new(STREAMS);
    let (sender, begun) = mpsc::channel();
    thread::scope(|scope| {
        for _ in 0..STREAMS {
            let sender = sender.clone();
            let (barrier, body) = (&barrier, &body);
            scope.spawn(move || {
                barrier.wait();
                let path = "/v1/chat/completions";
                let mut lines = open_lines("POST", address, path, &[], body);
                let first = lines.next();
                // The stream travels along, so that it stays open.
                let _ = sender.send((first, lines));
            });
        }
        let mut open = Vec::with_capacity(STREAMS);
        while open.len() < STREAMS {
            let (first, lines) = begun.recv_timeout(PATIENCE).expect("every stream begins");
            assert!(first.is_some());
            open.push(lines);
        }
    });
}
