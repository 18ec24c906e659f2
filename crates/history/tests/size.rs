//! A history of the size of a long run is judged in one go; `--nocapture` prints the time taken.

mod support;

use std::time::Instant;

use support::*;

const RECORDS: usize = 200_000;
const RUNS: u64 = 5_200;

#[test]
fn a_long_history_is_judged() {
    let records = valid(11, RUNS);
    assert!(records.len() > RECORDS, "{} records", records.len());
    let started = Instant::now();
    clean(&records);
    println!(
        "{} records judged in {:?}",
        records.len(),
        started.elapsed()
    );
}
