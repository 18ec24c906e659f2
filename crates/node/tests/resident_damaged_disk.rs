//! A replica whose database was damaged while it did not run.

use std::fs::{self, File};
use std::path::Path;
use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{Call, call_post};
use ridgeworks_platform_stand_ins::deployment::{
    Deployment, Process, send_until_served, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, Script};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const DATABASE: &str = "replica.redb";
/// Several tries to open the disk, and less than the pause between two lines about them.
const SOME_TRIES: Duration = Duration::from_secs(3);
const FAILED: &str = "disk cannot be opened";

fn turn(id: &str) -> Call {
    call_post("/talk/x", id, "input")
}

/// A file of which nothing was written.
fn make_empty(database: &Path) {
    File::create(database).expect("a database");
}

fn overwrite_pages(database: &Path) {
    let mut bytes = fs::read(database).expect("a database");
    bytes[8_192..65_536].fill(0x5a);
    fs::write(database, bytes).expect("a database");
}

fn failures(replica: &Process) -> usize {
    let log = replica.log();
    let lines = log.iter().filter(|line| line["message"] == FAILED);
    lines.count()
}

fn damage_and_replace(damage: fn(&Path)) {
    let mut deployment = Deployment::started(PROGRAM, 1, 3);
    let stream = Answer::Stream {
        events: 2,
        gap_ms: 1,
    };
    let _engine = deployment.start_engine("models", "i-1", Script::always(stream));
    let gateway = deployment.gateways[0].callers();
    send_until_served(gateway, &turn("before"));
    let name = deployment.replicas[0].name.clone();
    let folder = deployment.data_folder(&name);
    let replica = &mut deployment.replicas[0];
    replica.kill();
    damage(&folder.join(DATABASE));
    replica.start();
    wait_until("the disk's failure is told", || replica.has_logged(FAILED));
    std::thread::sleep(SOME_TRIES);
    assert_eq!(failures(replica), 1);
    assert_eq!(replica.ended(), None);
    let next = turn("meanwhile").header("ridgeworks-previous-turn", "before");
    send_until_served(gateway, &next);
    fs::remove_dir_all(&folder).expect("a folder");
    wait_until("all replicas vote again", || deployment.is_whole());
}

/// A damaged disk filled the log with one line a try, without its folder, which an operator has to remove.
#[test]
fn a_replica_whose_database_is_empty_tells_its_folder_until_it_is_removed() {
    damage_and_replace(make_empty);
}

#[test]
fn a_replica_whose_database_is_overwritten_tells_its_folder_until_it_is_removed() {
    damage_and_replace(overwrite_pages);
}
