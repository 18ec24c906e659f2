//! The engine's memory under any order of operations.

use std::time::{Duration, Instant};

use quickcheck::{Arbitrary, Gen, quickcheck};
use ridgeworks_domain::RunId;
use ridgeworks_stand_ins::engine::prefix_cache::{CacheChange, PrefixCache};
use ridgeworks_stand_ins::engine::token_blocks::TokenChain;

const TOTAL_BLOCKS: u64 = 12;

#[derive(Debug, Clone, Copy)]
enum Operation {
    Begin(u8, u8),
    End,
    Store(u8, u8),
    Release(u8),
    Retain(u8, u8),
}

impl Arbitrary for Operation {
    fn arbitrary(generator: &mut Gen) -> Self {
        let run = u8::arbitrary(generator) % 4;
        let size = u8::arbitrary(generator);
        match u8::arbitrary(generator) % 5 {
            0 => Self::Begin(run, size % 8),
            1 => Self::End,
            2 => Self::Store(run, size),
            3 => Self::Release(run),
            _ => Self::Retain(run, size),
        }
    }
}

fn chain(tokens: u8) -> TokenChain {
    let mut chain = TokenChain::default();
    chain.append("user", &"word ".repeat(usize::from(tokens)));
    chain
}

quickcheck! {
    fn memory_is_never_overbooked_and_held_and_gone_alternate(operations: Vec<Operation>) -> bool {
        let start = Instant::now();
        let mut cache = PrefixCache::new(TOTAL_BLOCKS);
        let mut reserved: Vec<(RunId, u64)> = Vec::new();
        let mut held: Vec<RunId> = Vec::new();
        for (step, operation) in operations.into_iter().enumerate() {
            let now = start + Duration::from_millis(step as u64);
            match operation {
                Operation::Begin(run, blocks) => {
                    let (run, blocks) = (RunId(run.into()), blocks.into());
                    if cache.begin_attempt(Some(run), blocks, now) {
                        reserved.push((run, blocks));
                    }
                }
                Operation::End => {
                    if let Some((run, blocks)) = reserved.pop() {
                        cache.end_attempt(Some(run), blocks);
                    }
                }
                Operation::Store(run, tokens) => {
                    cache.store(RunId(run.into()), chain(tokens), now);
                }
                Operation::Release(run) => {
                    cache.release(RunId(run.into()));
                }
                Operation::Retain(run, millis) => {
                    let until = now + Duration::from_millis(millis.into());
                    cache.retain(RunId(run.into()), until);
                }
            }
            for change in cache.apply_changes() {
                match change {
                    CacheChange::Held(run, _) => {
                        assert!(!held.contains(&run));
                        held.push(run);
                    }
                    CacheChange::Stored(run, _) => assert!(held.contains(&run)),
                    CacheChange::Evicted(run, _) | CacheChange::Released(run, _) => {
                        assert!(held.contains(&run));
                        held.retain(|other| *other != run);
                    }
                }
            }
            let contexts = cache.list();
            let blocks = contexts.iter().map(|context| context.tokens.div_ceil(16)).sum::<u64>();
            let reserved_blocks: u64 = reserved.iter().map(|(_, blocks)| blocks).sum();
            assert_eq!(cache.free_blocks() + blocks + reserved_blocks, TOTAL_BLOCKS);
            assert_eq!(contexts.len(), held.len());
        }
        true
    }
}
