//! A stream ends as whole only if the recorded answer goes on from what was streamed.

use quickcheck::quickcheck;
use ridgeworks_node::inbound::StreamedText;

quickcheck! {
    fn the_rest_completes_what_was_passed_on(first: Vec<u8>, second: Vec<u8>, rest: Vec<u8>) -> bool {
        let mut streamed = StreamedText::default();
        streamed.push(&first);
        streamed.push(&second);
        let answer = [first, second, rest.clone()].concat();
        streamed.rest_of(&answer) == Some(rest.as_slice())
    }
}

#[test]
fn the_answer_of_another_attempt_does_not_complete_the_text_of_the_first() {
    let mut streamed = StreamedText::default();
    streamed.push(b"go left");
    assert_eq!(streamed.rest_of(b"go right at once"), None);
    assert_eq!(streamed.rest_of(b"go"), None);
}
