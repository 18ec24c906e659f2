//! Limits of the machine that a resident reaches: none may end it, and it goes on when they are raised.

use std::fs;
use std::thread;
use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, send_until_served, wait_until};
use ridgeworks_platform_stand_ins::{Answer, Script};
use rustix::process::Resource;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// Longer than any start takes that goes wrong at once.
const FIRST_STEPS: Duration = Duration::from_millis(500);
/// Less than a replica's database or log has.
const FULL_FILE_BYTES: u64 = 1_024;

/// The signal that comes with a write beyond the limit ended a gateway whose log is a file.
#[test]
fn a_gateway_whose_log_reaches_the_limit_of_a_file_serves_on() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let answer = Answer::Whole("fine".to_owned());
    let _engine = deployment.start_engine("tools", "i-1", Script::always(answer));
    let process = &mut deployment.gateways[0];
    let gateway = process.callers();
    send_until_served(gateway, &call_get("/tool/x", "before"));
    let length = fs::metadata(process.log_path()).expect("a log").len();
    process.limit(Resource::Fsize, length);
    for number in 0..20 {
        send_until_served(gateway, &call_get("/tool/x", &format!("full-{number}")));
    }
    assert_eq!(process.ended(), None);
    process.lift_limit(Resource::Fsize);
    send_until_served(gateway, &call_get("/tool/x", "after"));
    wait_until("the lost lines are told", || {
        process.has_logged("log lines could not be written")
    });
}

/// The signal that comes with a write beyond the limit ended replicas whose database had grown so far.
#[test]
fn replicas_whose_disks_reach_the_limit_of_a_file_go_on_when_it_is_raised() {
    let mut deployment = Deployment::started(PROGRAM, 1, 3);
    let stream = Answer::Stream {
        events: 2,
        gap_ms: 1,
    };
    let _engine = deployment.start_engine("models", "i-1", Script::always(stream));
    let gateway = deployment.gateways[0].callers();
    let turn = |id: &str| call_post("/talk/x", id, "input");
    send_until_served(gateway, &turn("before"));
    for replica in &deployment.replicas {
        replica.limit(Resource::Fsize, FULL_FILE_BYTES);
    }
    let reply = turn("full").send(gateway);
    assert!(!reply.is_some_and(|reply| reply.status == 200 && reply.is_whole));
    thread::sleep(FIRST_STEPS);
    for replica in &mut deployment.replicas {
        assert_eq!(replica.ended(), None);
        replica.lift_limit(Resource::Fsize);
    }
    let mut tries = 0;
    wait_until("a turn goes on from one before the limit", || {
        tries += 1;
        let call = turn(&format!("after-{tries}")).header("ridgeworks-previous-turn", "before");
        let reply = call.send(gateway);
        reply.is_some_and(|reply| reply.status == 200 && reply.is_whole)
    });
}
