//! Commands to engines: loading models, adapters and versions, and changing roles.
//!
//! Each command carries a fencing token. An engine rejects a token that is not greater than the
//! highest one it has seen, so commands of a superseded dispatcher and commands that arrive out of
//! order have no effect. Loads are rate-limited to the bandwidth of the weight store.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ridgeworks_domain::{BackendName, Ballot, MonotonicTime, ServiceName};

/// Token by which an engine recognises outdated commands; it accepts increasing tokens only.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct FencingToken {
    /// Ballot under which the dispatcher serves the group.
    pub epoch: Ballot,
    /// Sequence number within the epoch.
    pub number: u64,
}

/// Phases of inference that an engine performs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EngineRole {
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
    /// Prefill and decoding.
    Both,
}

/// Change to what an engine serves: a model, adapter or version to load or unload, or its role.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EngineCommand {
    /// Load a model, adapter or version from the weight store.
    Load {
        /// Name of the model, adapter or version.
        model: ServiceName,
        /// Size of its weights in bytes.
        bytes: u64,
    },
    /// Unload a model, adapter or version.
    Unload {
        /// Name of the model, adapter or version.
        model: ServiceName,
    },
    /// Change the engine's role.
    SetRole(EngineRole),
}

/// A command with its target and fencing token.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FencedCommand {
    /// Engine that the command is sent to.
    pub backend: BackendName,
    /// Fencing token, greater than that of any earlier command.
    pub token: FencingToken,
    /// Command to carry out.
    pub command: EngineCommand,
}

/// Rate limit and timeout of commands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CommandLimits {
    /// Bandwidth of the weight store, in bytes per second; 0 counts as 1.
    pub store_bytes_per_second: u64,
    /// A command without a response is retried with a new token after this time, plus the transfer
    /// time of a load.
    pub response_timeout: Duration,
}

#[derive(Debug, Default)]
struct PendingCommands {
    waiting: VecDeque<EngineCommand>,
    sent: Option<(FencedCommand, MonotonicTime)>,
}

/// Queue of commands for the engines of one group. Each engine has at most one command in flight.
#[derive(Debug)]
pub struct EngineCommands {
    limits: CommandLimits,
    epoch: Ballot,
    next_number: u64,
    engines: BTreeMap<BackendName, PendingCommands>,
    store_free_at: MonotonicTime,
}

impl EngineCommands {
    /// Creates an empty queue that issues tokens of `epoch`.
    pub fn new(limits: CommandLimits, epoch: Ballot) -> Self {
        Self {
            limits,
            epoch,
            next_number: 0,
            engines: BTreeMap::new(),
            store_free_at: MonotonicTime::ZERO,
        }
    }

    /// Enqueues a command. A newer role replaces one that has not been sent.
    pub fn request(&mut self, backend: BackendName, command: EngineCommand) {
        let engine = self.engines.entry(backend).or_default();
        if matches!(command, EngineCommand::SetRole(_)) {
            engine
                .waiting
                .retain(|waiting| !matches!(waiting, EngineCommand::SetRole(_)));
        }
        engine.waiting.push_back(command);
    }

    /// Records that an engine carried out or refused the command with this token; responses to
    /// earlier commands are ignored.
    pub fn response_received(&mut self, backend: &BackendName, token: FencingToken) {
        if let Some(engine) = self.engines.get_mut(backend)
            && engine.sent.as_ref().map(|(command, _)| command.token) == Some(token)
        {
            engine.sent = None;
        }
    }

    /// Drops the commands of a removed engine.
    pub fn backend_gone(&mut self, backend: &BackendName) {
        self.engines.remove(backend);
    }

    /// Takes the commands to be sent at `now`, at most one for each engine.
    pub fn due(&mut self, now: MonotonicTime) -> Vec<FencedCommand> {
        let names: Vec<BackendName> = self.engines.keys().cloned().collect();
        let due = names.into_iter().filter_map(|name| self.due_for(name, now));
        due.collect()
    }

    /// Whether no command is queued or in flight.
    pub fn is_idle(&self) -> bool {
        let mut engines = self.engines.values();
        engines.all(|engine| engine.waiting.is_empty() && engine.sent.is_none())
    }

    fn due_for(&mut self, backend: BackendName, now: MonotonicTime) -> Option<FencedCommand> {
        let engine = self.engines.get_mut(&backend)?;
        if let Some((_, until)) = &engine.sent
            && *until > now
        {
            return None;
        }
        if let Some((lost, _)) = engine.sent.take() {
            engine.waiting.push_front(lost.command);
        }
        let command = engine.waiting.front()?;
        let mut until = now;
        if let EngineCommand::Load { bytes, .. } = command {
            if self.store_free_at > now {
                return None;
            }
            self.store_free_at = now + transfer_time(*bytes, self.limits);
            until = self.store_free_at;
        }
        self.next_number += 1;
        let token = FencingToken {
            epoch: self.epoch,
            number: self.next_number,
        };
        let fenced = FencedCommand {
            backend,
            token,
            command: engine.waiting.pop_front()?,
        };
        engine.sent = Some((fenced.clone(), until + self.limits.response_timeout));
        Some(fenced)
    }
}

fn transfer_time(bytes: u64, limits: CommandLimits) -> Duration {
    let rate = u128::from(limits.store_bytes_per_second.max(1));
    let micros = u128::from(bytes) * 1_000_000 / rate;
    Duration::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
}
