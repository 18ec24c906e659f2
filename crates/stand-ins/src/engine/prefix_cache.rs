//! Memory of an engine in blocks: what running attempts have reserved, and the contexts of runs
//! that are kept for their next call. The least recently used context goes first, unless a lease
//! holds it.

use std::collections::HashMap;
use std::time::Instant;

use ridgeworks_domain::RunId;

use crate::engine::token_blocks::{BLOCK_TOKENS, TokenChain};

/// What happened to a context, for those who observe the memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CacheChange {
    /// A run's context is held that was not held before.
    Held(RunId, u64),
    /// The tokens of a run's context were stored.
    Stored(RunId, u64),
    /// A run's context was dropped to make room.
    Evicted(RunId, u64),
    /// A run's context was dropped on request.
    Released(RunId, u64),
}

#[derive(Debug)]
struct Context {
    chain: TokenChain,
    last_used: Instant,
    lease_until: Option<Instant>,
    users: u32,
}

impl Context {
    fn blocks(&self) -> u64 {
        self.chain.tokens().div_ceil(BLOCK_TOKENS)
    }

    fn is_evictable(&self, now: Instant) -> bool {
        self.users == 0 && self.lease_until.is_none_or(|until| until <= now)
    }
}

/// A context as listed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ListedContext {
    /// Its run.
    pub run: RunId,
    /// Its size.
    pub tokens: u64,
    /// Until when a lease holds it.
    pub lease_until: Option<Instant>,
}

/// The memory.
#[derive(Debug)]
pub struct PrefixCache {
    total_blocks: u64,
    reserved_blocks: u64,
    context_blocks: u64,
    contexts: HashMap<RunId, Context>,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// An empty memory of this many blocks.
    pub fn new(total_blocks: u64) -> Self {
        Self {
            total_blocks,
            reserved_blocks: 0,
            context_blocks: 0,
            contexts: HashMap::new(),
            changes: Vec::new(),
        }
    }

    /// Blocks in all.
    pub fn total_blocks(&self) -> u64 {
        self.total_blocks
    }

    /// Blocks that hold nothing.
    pub fn free_blocks(&self) -> u64 {
        let used = self.reserved_blocks + self.context_blocks;
        self.total_blocks.saturating_sub(used)
    }

    /// Blocks of `chain` that are held for the run.
    pub fn matched_blocks(&self, run: RunId, chain: &TokenChain) -> u64 {
        let context = self.contexts.get(&run);
        context.map_or(0, |context| context.chain.common_blocks(chain))
    }

    /// Reserves blocks for an attempt and keeps its run's context until [`Self::end_attempt`].
    /// Answers whether there was room.
    pub fn begin_attempt(&mut self, run: Option<RunId>, blocks: u64, now: Instant) -> bool {
        let context = run.and_then(|run| self.contexts.get_mut(&run));
        let Some(context) = context else {
            return self.reserve(blocks, now);
        };
        context.users += 1;
        context.last_used = now;
        let reserved = self.reserve(blocks, now);
        if !reserved {
            self.drop_user(run);
        }
        reserved
    }

    /// Gives back what [`Self::begin_attempt`] reserved.
    pub fn end_attempt(&mut self, run: Option<RunId>, blocks: u64) {
        self.reserved_blocks = self.reserved_blocks.saturating_sub(blocks);
        self.drop_user(run);
    }

    fn drop_user(&mut self, run: Option<RunId>) {
        if let Some(context) = run.and_then(|run| self.contexts.get_mut(&run)) {
            context.users = context.users.saturating_sub(1);
        }
    }

    fn reserve(&mut self, blocks: u64, now: Instant) -> bool {
        let has_room = self.make_room(blocks, now);
        if has_room {
            self.reserved_blocks += blocks;
        }
        has_room
    }

    fn make_room(&mut self, blocks: u64, now: Instant) -> bool {
        let evictable = self
            .contexts
            .values()
            .filter(|context| context.is_evictable(now));
        let obtainable = self.free_blocks() + evictable.map(Context::blocks).sum::<u64>();
        if obtainable < blocks {
            return false;
        }
        while self.free_blocks() < blocks {
            let evictable = self
                .contexts
                .iter()
                .filter(|(_, context)| context.is_evictable(now));
            let oldest = evictable.min_by_key(|(run, context)| (context.last_used, **run));
            let Some(run) = oldest.map(|(run, _)| *run) else {
                return false;
            };
            if let Some(tokens) = self.remove(run) {
                self.changes.push(CacheChange::Evicted(run, tokens));
            }
        }
        true
    }

    fn remove(&mut self, run: RunId) -> Option<u64> {
        let context = self.contexts.remove(&run)?;
        self.context_blocks -= context.blocks();
        Some(context.chain.tokens())
    }

    /// Keeps a run's context, in place of an earlier one. Answers whether there was room.
    pub fn store(&mut self, run: RunId, chain: TokenChain, now: Instant) -> bool {
        let tokens = chain.tokens();
        let before = self.contexts.remove(&run);
        self.context_blocks -= before.as_ref().map_or(0, Context::blocks);
        let is_new = before.is_none();
        let context = Context {
            chain,
            last_used: now,
            lease_until: before.as_ref().and_then(|before| before.lease_until),
            users: before.as_ref().map_or(0, |before| before.users),
        };
        if !self.make_room(context.blocks(), now) {
            if let Some(before) = before {
                let tokens = before.chain.tokens();
                self.changes.push(CacheChange::Evicted(run, tokens));
            }
            return false;
        }
        self.context_blocks += context.blocks();
        self.contexts.insert(run, context);
        if is_new {
            self.changes.push(CacheChange::Held(run, tokens));
        }
        self.changes.push(CacheChange::Stored(run, tokens));
        true
    }

    /// Drops a run's context; answers its size.
    pub fn release(&mut self, run: RunId) -> Option<u64> {
        let tokens = self.remove(run)?;
        self.changes.push(CacheChange::Released(run, tokens));
        Some(tokens)
    }

    /// Sets the lease of a run's context; answers its size.
    pub fn retain(&mut self, run: RunId, until: Instant) -> Option<u64> {
        let context = self.contexts.get_mut(&run)?;
        context.lease_until = Some(until);
        Some(context.chain.tokens())
    }

    /// A copy of a run's context.
    pub fn export(&self, run: RunId) -> Option<TokenChain> {
        self.contexts.get(&run).map(|context| context.chain.clone())
    }

    /// All contexts held, by run.
    pub fn list(&self) -> Vec<ListedContext> {
        let listed = self.contexts.iter().map(|(run, context)| ListedContext {
            run: *run,
            tokens: context.chain.tokens(),
            lease_until: context.lease_until,
        });
        let mut listed: Vec<ListedContext> = listed.collect();
        listed.sort_by_key(|context| context.run);
        listed
    }

    /// What happened since this was last asked.
    pub fn apply_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }
}
