//! Pending queries to other nodes.

use ridgeworks_resident::peer::PendingQueries;

#[test]
fn an_answer_reaches_its_query() {
    let queries = PendingQueries::default();
    let (one, _) = queries.start();
    let (two, mut answer) = queries.start();
    assert_ne!(one, two);
    queries.on_reply(two, None);
    assert_eq!(answer.try_recv(), Ok(None));
    queries.on_reply(99, None);
}

#[test]
fn abandoned_queries_are_removed() {
    let queries = PendingQueries::default();
    for _ in 0..10_000 {
        // The caller gives up immediately.
        drop(queries.start());
    }
    assert!(queries.len() <= 64, "{} queries", queries.len());
}
