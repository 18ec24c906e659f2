//! Questions to other nodes that wait for their answers.

use ridgeworks_resident::peer::PendingQueries;

#[test]
fn an_answer_reaches_who_asked() {
    let questions = PendingQueries::default();
    let (one, _) = questions.ask();
    let (two, mut answer) = questions.ask();
    assert_ne!(one, two);
    questions.answer(two, None);
    assert_eq!(answer.try_recv(), Ok(None));
    questions.answer(99, None);
}

#[test]
fn questions_that_nobody_waits_for_do_not_pile_up() {
    let questions = PendingQueries::default();
    for _ in 0..10_000 {
        // Whoever asked goes away at once.
        drop(questions.ask());
    }
    assert!(questions.len() <= 64, "{} questions", questions.len());
}
