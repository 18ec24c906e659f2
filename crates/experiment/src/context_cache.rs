//! The prefix cache of the engine model: blocks of tokens, least recently used out first. A lease
//! keeps a context until its time is over, also against calls that need the room: they wait.

use std::collections::{BTreeMap, BTreeSet};

use ridgeworks_domain::RunId;

/// Blocks at the beginning of a context that belong to the context of its parent run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SharedPrefix {
    /// The parent run.
    pub run: RunId,
    /// Tokens shared.
    pub tokens: u64,
}

#[derive(Debug, Clone, Copy)]
struct IdleContext {
    tokens: u64,
    shared: Option<SharedPrefix>,
    since: u64,
    used: u64,
    retained_until: u64,
}

impl IdleContext {
    fn own_tokens(&self) -> u64 {
        self.tokens - self.shared.map_or(0, |shared| shared.tokens)
    }
}

/// Cache of one engine. Times are in microseconds.
#[derive(Debug)]
pub struct ContextCache {
    capacity: u64,
    block: u64,
    active: u64,
    idle_tokens: u64,
    idle: BTreeMap<RunId, IdleContext>,
    by_use: BTreeSet<(u64, RunId)>,
    retained: BTreeSet<(u64, RunId)>,
    /// Ends of the leases of contexts that calls use now.
    leases_in_use: BTreeMap<RunId, u64>,
    evicted: Vec<RunId>,
    wasted_token_micros: f64,
}

impl ContextCache {
    /// An empty cache.
    pub fn new(capacity: u64, block: u64) -> Self {
        Self {
            capacity,
            block,
            active: 0,
            idle_tokens: 0,
            idle: BTreeMap::new(),
            by_use: BTreeSet::new(),
            retained: BTreeSet::new(),
            leases_in_use: BTreeMap::new(),
            evicted: Vec::new(),
            wasted_token_micros: 0.0,
        }
    }

    /// Tokens of a run's context that are held idle, in whole blocks. A context whose shared prefix
    /// is gone is of no use.
    pub fn tokens_of(&self, run: RunId) -> u64 {
        let Some(context) = self.idle.get(&run) else {
            return 0;
        };
        let usable = context.shared.is_none_or(|shared| {
            let parent = self.idle.get(&shared.run);
            parent.is_some_and(|parent| parent.tokens >= shared.tokens)
        });
        if usable {
            context.tokens / self.block * self.block
        } else {
            0
        }
    }

    /// Prefix that an idle context shares.
    pub fn shared_of(&self, run: RunId) -> Option<SharedPrefix> {
        self.idle.get(&run)?.shared
    }

    /// Marks a context as used, by a sub-agent that inherits it.
    pub fn touch(&mut self, run: RunId, now: u64) {
        if let Some(mut context) = self.take(run) {
            context.since = now;
            context.used = now;
            self.put(run, context);
        }
    }

    /// Takes memory for a sequence; the run's idle context becomes part of it. Returns whether there
    /// was room.
    pub fn start(&mut self, run: RunId, tokens: u64, now: u64) -> bool {
        let needed = self.round_up(tokens);
        if !self.fits(run, needed, now) {
            return false;
        }
        if let Some(context) = self.take(run) {
            self.leases_in_use.insert(run, context.retained_until);
        }
        self.make_room(needed, now);
        self.active += needed;
        true
    }

    /// Gives back the memory of a sequence and keeps its context idle.
    pub fn finish(
        &mut self,
        run: RunId,
        reserved: u64,
        kept: u64,
        shared: Option<SharedPrefix>,
        now: u64,
    ) {
        self.active -= self.round_up(reserved);
        let lease = self.leases_in_use.remove(&run);
        if kept > 0 && self.store(run, kept, shared, now) {
            self.retain(run, lease.unwrap_or(0));
        }
    }

    /// Keeps a context as the least recently used order has it. Returns whether there was room.
    pub fn store(
        &mut self,
        run: RunId,
        tokens: u64,
        shared: Option<SharedPrefix>,
        now: u64,
    ) -> bool {
        let shared = shared.filter(|shared| shared.tokens <= tokens);
        let needed = self.round_up(tokens - shared.map_or(0, |shared| shared.tokens));
        let fits = self.fits(run, needed, now);
        self.take(run);
        if !fits {
            return false;
        }
        self.make_room(needed, now);
        let context = IdleContext {
            tokens,
            shared,
            since: now,
            used: now,
            retained_until: 0,
        };
        self.put(run, context);
        true
    }

    /// Keeps a context until then, also against the order of use.
    pub fn retain(&mut self, run: RunId, until: u64) {
        if let Some(lease) = self.leases_in_use.get_mut(&run) {
            *lease = until;
        }
        if let Some(mut context) = self.take(run) {
            context.retained_until = until;
            self.put(run, context);
        }
    }

    /// Drops a context. Returns whether it was there.
    pub fn release(&mut self, run: RunId, now: u64) -> bool {
        let Some(context) = self.take(run) else {
            return false;
        };
        self.count_waste(context, now);
        true
    }

    /// Contexts held idle.
    pub fn list(&self) -> Vec<(RunId, u64)> {
        let held = self.idle.iter();
        held.map(|(run, context)| (*run, context.tokens)).collect()
    }

    /// Contexts evicted since the last call.
    pub fn take_evicted(&mut self) -> Vec<RunId> {
        std::mem::take(&mut self.evicted)
    }

    /// Tokens × microseconds of contexts that were held and not used again, with what is held now.
    pub fn wasted_token_micros(&self, now: u64) -> f64 {
        let held = self.idle.values().map(|context| waste(*context, now));
        self.wasted_token_micros + held.sum::<f64>()
    }

    /// Whether a call or context of this run has room beside the calls that run and the leases of
    /// other runs.
    fn fits(&self, run: RunId, needed: u64, now: u64) -> bool {
        let leases = self.retained.iter().rev();
        let leased = leases
            .take_while(|(until, _)| *until > now)
            .filter(|(_, other)| *other != run)
            .filter_map(|(_, other)| self.idle.get(other))
            .map(|context| self.round_up(context.own_tokens()));
        self.active + leased.sum::<u64>() + needed <= self.capacity
    }

    fn make_room(&mut self, needed: u64, now: u64) {
        while self.active + self.idle_tokens + needed > self.capacity {
            let Some(run) = self.next_out(now) else {
                return;
            };
            if let Some(context) = self.take(run) {
                self.count_waste(context, now);
                self.evicted.push(run);
            }
        }
    }

    fn next_out(&mut self, now: u64) -> Option<RunId> {
        while let Some((until, run)) = self.retained.first().copied() {
            if until > now {
                break;
            }
            let mut context = self.take(run)?;
            context.retained_until = 0;
            self.put(run, context);
        }
        let oldest = self.by_use.first();
        oldest.map(|(_, run)| *run)
    }

    fn take(&mut self, run: RunId) -> Option<IdleContext> {
        let context = self.idle.remove(&run)?;
        self.idle_tokens -= self.round_up(context.own_tokens());
        self.by_use.remove(&(context.used, run));
        self.retained.remove(&(context.retained_until, run));
        Some(context)
    }

    fn put(&mut self, run: RunId, context: IdleContext) {
        self.idle_tokens += self.round_up(context.own_tokens());
        if context.retained_until > 0 {
            self.retained.insert((context.retained_until, run));
        } else {
            self.by_use.insert((context.used, run));
        }
        self.idle.insert(run, context);
    }

    fn count_waste(&mut self, context: IdleContext, now: u64) {
        self.wasted_token_micros += waste(context, now);
    }

    fn round_up(&self, tokens: u64) -> u64 {
        tokens.div_ceil(self.block) * self.block
    }
}

fn waste(context: IdleContext, now: u64) -> f64 {
    context.own_tokens() as f64 * now.saturating_sub(context.since) as f64
}
