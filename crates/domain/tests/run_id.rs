//! Run identifiers keep their parts.

use quickcheck::quickcheck;
use ridgeworks_domain::{NodeId, RunId};

quickcheck! {
    fn hints_match_the_replicas_they_were_made_from(unique: u64, a: u64, b: u64, c: u64) -> bool {
        let replicas = [NodeId(a), NodeId(b), NodeId(c)];
        let hints = RunId::from_parts(unique, replicas).replica_hints();
        hints.iter().zip(replicas).all(|(hint, replica)| hint.matches(replica))
    }

    fn text_form_reads_back(unique: u64, a: u64, b: u64, c: u64) -> bool {
        let run = RunId::from_parts(unique, [NodeId(a), NodeId(b), NodeId(c)]);
        run.to_string().parse() == Ok(run)
    }
}
