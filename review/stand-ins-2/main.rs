//! The cases of the second review. `cases NAME RECORD` plays one case on loopback and writes its record.
//!
//! Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run. With `TROUBLE=0` in the environment the same is
//! played without the disruption.

mod client;
mod deployment;
mod engine;
mod http;
mod json;
mod record;
mod store;

mod case_alike;
mod case_draining;
mod case_moved;
mod case_newline;
mod case_permits;
mod case_reservation;
mod case_room;

use std::io;
use std::process::exit;
use std::thread;
use std::time::Duration;

use record::Record;

/// What a case found.
pub struct Verdict {
    /// The rule that was broken, and how.
    pub broken: Option<String>,
}

pub type Outcome = io::Result<Verdict>;

/// Why a case could not run.
pub fn cannot_run(why: &str) -> io::Error {
    io::Error::other(why.to_owned())
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(path)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: cases NAME RECORD");
        exit(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    // No case lasts as long as this.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case took too long");
        deployment::kill_running();
        exit(2);
    });
    let record = match Record::create(path) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    record.line(&format!(
        "case {name}, disruption: {}",
        if has_trouble { "yes" } else { "no" }
    ));
    let played = std::panic::catch_unwind(|| match name.as_str() {
        "alike" => case_alike::play(&record, has_trouble),
        "draining" => case_draining::play(&record, has_trouble),
        "moved" => case_moved::play(&record, has_trouble),
        "newline" => case_newline::play(&record, has_trouble),
        "permits" => case_permits::play(&record, has_trouble),
        "room" => case_room::play(&record, has_trouble),
        "reservation" => case_reservation::play(&record, has_trouble),
        _ => Err(cannot_run("no such case")),
    });
    let outcome = played.unwrap_or_else(|_| {
        deployment::kill_running();
        Err(cannot_run("the case panicked"))
    });
    let status = match outcome {
        Ok(Verdict { broken: Some(how) }) => {
            record.say(&format!("BROKEN: {how}"));
            1
        }
        Ok(Verdict { broken: None }) => {
            record.say("held");
            0
        }
        Err(error) => {
            record.say(&format!("could not run: {error}"));
            2
        }
    };
    exit(status);
}
