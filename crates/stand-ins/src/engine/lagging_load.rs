//! The engine's load as it reports it: some time late.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::engine::batching::EngineLoad;
use crate::lagging::Lagging;

/// The reported load, shared between the scheduler and request threads.
pub struct LaggingLoad {
    load: Mutex<(EngineLoad, Lagging<EngineLoad>)>,
}

impl LaggingLoad {
    /// The load of an idle engine, reported `lag` late from then on.
    pub fn new(total_blocks: u64, lag: Duration) -> Self {
        let idle = EngineLoad {
            free_blocks: total_blocks,
            total_blocks,
            ..EngineLoad::default()
        };
        Self {
            load: Mutex::new((idle, Lagging::new(idle, lag))),
        }
    }

    /// Sets the load as of now.
    pub fn set(&self, current: EngineLoad) {
        let mut load = self.load.lock().expect("no holder of this lock panics");
        if load.0 != current {
            load.0 = current;
            load.1.set(current, Instant::now());
        }
    }

    /// The load as reported now.
    pub fn reported(&self) -> EngineLoad {
        let mut load = self.load.lock().expect("no holder of this lock panics");
        *load.1.published(Instant::now())
    }
}
