//! Token counts of texts, and of prompts split into messages.

use quickcheck::quickcheck;
use ridgeworks_domain::token_count::{count_prompt_tokens, count_tokens};

#[test]
fn each_word_counts_its_length_in_tokens_of_four_bytes_rounded_up() {
    for (text, tokens) in [
        ("", 0),
        ("  \n", 0),
        ("four", 1),
        ("fives", 2),
        ("a bc  def\n", 3),
    ] {
        assert_eq!(count_tokens(text), tokens, "{text:?}");
    }
}

quickcheck! {
    fn a_prompt_counts_as_many_tokens_as_its_joined_contents(contents: Vec<String>) -> bool {
        let texts = || contents.iter().map(String::as_str);
        count_prompt_tokens(texts()) == count_tokens(&texts().collect::<Vec<_>>().join(" "))
    }
}
