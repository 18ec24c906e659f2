//! How tokens are counted, by nodes for reserves and by the stand-in engines for costs.
//!
//! A word (text between whitespace) counts one token per started four bytes. Real engines bring
//! their own tokenizers; a node then reserves by an upper bound of theirs.

/// Bytes of one token.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of one text.
pub fn count_tokens(text: &str) -> u64 {
    text.split_whitespace()
        .map(|word| word.len().div_ceil(BYTES_PER_TOKEN) as u64)
        .sum()
}

/// Tokens of a prompt: the sum over the contents of its messages; roles cost nothing.
pub fn count_prompt_tokens<'a>(contents: impl IntoIterator<Item = &'a str>) -> u64 {
    contents.into_iter().map(count_tokens).sum()
}
