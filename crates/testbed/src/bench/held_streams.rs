//! Streams held open on one node, and the memory that the node then has.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use super::command::BenchError;
use super::deployment::{Deployment, Subject};
use crate::client::{CallFailure, CallerClient, ChatCall};

const TEXT: &str = "hold this stream";
/// With the steps of the slow engines, longer than the opening of all streams takes and well within
/// the longest time of a call.
const MAX_TOKENS: u64 = 180;
const STACK_BYTES: usize = 256 * 1024;
const OPEN_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Memory of the node with some streams open.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeldLevel {
    /// Streams that had brought a token and went on.
    pub streams: usize,
    /// Resident memory of the node that they all go through, in bytes.
    pub resident_bytes: u64,
}

/// Opens streams until each number of `levels` is open, and reads the memory at each. The streams
/// stay open until the nodes end.
pub fn measure(deployment: &Deployment, levels: &[usize]) -> Result<Vec<HeldLevel>, BenchError> {
    let holder = Arc::new(Holder {
        client: deployment.client_of_first_node(&deployment.slow),
        subject: deployment.slow.clone(),
        begun: AtomicUsize::new(0),
        ended: AtomicUsize::new(0),
    });
    let node = deployment.first_node_process()?;
    let mut measured = vec![HeldLevel {
        streams: 0,
        resident_bytes: node.resident_bytes()?,
    }];
    let mut started = 0;
    for level in levels {
        while started < *level {
            holder.spawn()?;
            started += 1;
        }
        holder.wait_until_open(*level);
        measured.push(HeldLevel {
            streams: holder.open(),
            resident_bytes: node.resident_bytes()?,
        });
    }
    Ok(measured)
}

/// What the threads of the streams share.
struct Holder {
    client: CallerClient,
    subject: Subject,
    begun: AtomicUsize,
    ended: AtomicUsize,
}

impl Holder {
    fn spawn(self: &Arc<Self>) -> Result<(), BenchError> {
        let holder = Arc::clone(self);
        let builder = thread::Builder::new().stack_size(STACK_BYTES);
        let spawned = builder.spawn(move || holder.hold());
        spawned.map(drop).map_err(BenchError::Thread)
    }

    fn hold(&self) {
        let mut has_begun = false;
        let result = self.stream(&mut || {
            if !has_begun {
                has_begun = true;
                self.begun.fetch_add(1, Ordering::SeqCst);
            }
        });
        if has_begun {
            self.ended.fetch_add(1, Ordering::SeqCst);
        } else if let Err(failure) = result {
            eprintln!("a stream did not begin: {failure}");
        }
    }

    fn stream(&self, on_token: &mut dyn FnMut()) -> Result<(), CallFailure> {
        let mut run = self.client.open_run(&self.subject.program)?;
        let mut call = ChatCall::of_user(self.subject.service.clone(), TEXT);
        call.max_tokens = Some(MAX_TOKENS);
        run.chat_streamed(&call, &mut |_| on_token()).map(drop)
    }

    /// Streams that have brought a token and go on.
    fn open(&self) -> usize {
        let begun = self.begun.load(Ordering::SeqCst);
        begun.saturating_sub(self.ended.load(Ordering::SeqCst))
    }

    fn wait_until_open(&self, level: usize) {
        let deadline = Instant::now() + OPEN_TIMEOUT;
        while self.open() < level && Instant::now() < deadline {
            thread::sleep(POLL_INTERVAL);
        }
    }
}
