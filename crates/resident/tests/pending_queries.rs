//! Questions to other nodes that wait for their answers.

use ridgeworks_resident::peer::PendingQueries;

#[test]
fn an_answer_reaches_who_asked() {
    let queries = PendingQueries::default();
    let (one, _) = queries.start();
    let (two, mut answer) = queries.start();
    assert_ne!(one, two);
    queries.answer(two, None);
    assert_eq!(answer.try_recv(), Ok(None));
    queries.answer(99, None);
}

#[test]
fn questions_that_nobody_waits_for_do_not_pile_up() {
    let queries = PendingQueries::default();
    for _ in 0..10_000 {
        // Whoever asked goes away at once.
        drop(queries.start());
    }
    assert!(queries.len() <= 64, "{} queries", queries.len());
}
