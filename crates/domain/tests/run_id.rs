//! Round trips of run identifiers through their parts and their text form.

use quickcheck::quickcheck;
use ridgeworks_domain::{NodeId, RunId};

quickcheck! {
    fn hints_match_the_replicas_of_the_run(unique: u64, a: u64, b: u64, c: u64) -> bool {
        let replicas = [NodeId(a), NodeId(b), NodeId(c)];
        let hints = RunId::from_parts(unique, replicas).replica_hints();
        hints.iter().zip(replicas).all(|(hint, replica)| hint.matches(replica))
    }

    fn parsing_the_text_form_returns_the_same_identifier(unique: u64, a: u64, b: u64, c: u64) -> bool {
        let run = RunId::from_parts(unique, [NodeId(a), NodeId(b), NodeId(c)]);
        run.to_string().parse() == Ok(run)
    }
}
