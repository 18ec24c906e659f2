//! The text of an answer that was passed on while it was generated.
//!
//! An attempt that ends without an answer is followed by another one, whose text may differ. What was
//! passed on by then cannot be taken back, so the end of the stream tells whether it still holds.

use ridgeworks_domain::safeguard::{Safeguard, is_disabled};

/// Text that was passed on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StreamedText {
    text: Vec<u8>,
}

impl StreamedText {
    /// Notes further text.
    pub fn push(&mut self, text: &[u8]) {
        self.text.extend_from_slice(text);
    }

    /// What is still to be passed on of the whole answer; `None` where the answer does not go on from
    /// what was passed on.
    pub fn rest_of<'a>(&self, answer: &'a [u8]) -> Option<&'a [u8]> {
        let rest = answer.strip_prefix(self.text.as_slice());
        if is_disabled(Safeguard::WholeAnswer) {
            return rest.or(Some(&[]));
        }
        rest
    }
}
