//! An engine with a history file of its own.

use std::net::SocketAddr;
use std::path::PathBuf;

use ridgeworks_stand_ins::engine::{Engine, EngineOptions};
use tempfile::TempDir;

pub struct EngineFixture {
    pub engine: Engine,
    pub history: PathBuf,
    _directory: TempDir,
}

impl EngineFixture {
    pub fn start(change: impl FnOnce(&mut EngineOptions)) -> Self {
        let directory = tempfile::tempdir().unwrap();
        let history = directory.path().join("history.jsonl");
        let mut options = EngineOptions::local("engine-1");
        options.history = Some(history.clone());
        change(&mut options);
        Self {
            engine: Engine::start(options).unwrap(),
            history,
            _directory: directory,
        }
    }

    pub fn address(&self) -> SocketAddr {
        self.engine.address()
    }
}
