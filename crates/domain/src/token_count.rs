//! Token counting, which nodes use for reserves and the simulated engines for costs.
//!
//! A word (text between whitespace) counts one token per four bytes, rounded up. Real engines have
//! their own tokenizers; a node then reserves an upper bound of their counts.

/// Number of bytes of a word that count as one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Returns the number of tokens of one text.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace()
        .map(|word| word.len().div_ceil(BYTES_PER_TOKEN) as u64)
        .sum()
}

/// Returns the number of tokens of a prompt, summed over the contents of its messages; roles are not counted.
pub fn count_prompt_tokens<'a>(contents: impl IntoIterator<Item = &'a str>) -> u64 {
    contents.into_iter().map(count_tokens).sum()
}
