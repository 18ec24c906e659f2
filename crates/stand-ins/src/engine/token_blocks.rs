//! Token sequences as chains of block hashes, by which common prefixes are found.

use ridgeworks_domain::token_count::BYTES_PER_TOKEN;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Tokens of one memory block.
pub const BLOCK_TOKENS: u64 = 16;

/// Hashes of the whole blocks of a token sequence; each covers all tokens before it too.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TokenChain {
    block_hashes: Vec<u64>,
    open_block: Vec<u64>,
}

impl TokenChain {
    /// Adds the tokens of a message.
    pub fn append(&mut self, role: &str, text: &str) {
        let mut seed = xxh3_64(role.as_bytes());
        for word in text.split_whitespace() {
            for part in word.as_bytes().chunks(BYTES_PER_TOKEN) {
                self.push(xxh3_64_with_seed(part, seed));
                seed = 0;
            }
        }
    }

    fn push(&mut self, token: u64) {
        self.open_block.push(token);
        if (self.open_block.len() as u64) < BLOCK_TOKENS {
            return;
        }
        let before = self.block_hashes.last().copied().unwrap_or_default();
        let bytes: Vec<u8> = self
            .open_block
            .drain(..)
            .flat_map(u64::to_le_bytes)
            .collect();
        self.block_hashes.push(xxh3_64_with_seed(&bytes, before));
    }

    /// Number of tokens.
    pub fn tokens(&self) -> u64 {
        self.block_hashes.len() as u64 * BLOCK_TOKENS + self.open_block.len() as u64
    }

    /// Whole blocks that both sequences begin with.
    pub fn common_blocks(&self, other: &Self) -> u64 {
        let pairs = self.block_hashes.iter().zip(&other.block_hashes);
        pairs.take_while(|(mine, theirs)| mine == theirs).count() as u64
    }
}
