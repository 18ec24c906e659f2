//! Limits of the machine that a resident reaches: none may end it, and it goes on when they are raised.

use std::fs;
use std::thread;
use std::time::Duration;

use ridgeworks_platform_stand_ins::client::{call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{
    Deployment, Process, routes, send_until_served, wait_until,
};
use ridgeworks_platform_stand_ins::{Answer, Script};
use rustix::process::Resource;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// Longer than any start takes that goes wrong at once.
const FIRST_STEPS: Duration = Duration::from_millis(500);
/// More than the first steps of a start allocate, and less than the stack of a thread.
const SPARE_ADDRESS_SPACE: u64 = 1024 * 1024;
/// The stack of a thread, and less than two of them.
const ONE_THREAD: u64 = 5 * 512 * 1024;
/// Less than the runtime and the listeners need.
const FEW_DESCRIPTORS: u64 = 5;
/// Less than a replica's database or log has.
const FULL_FILE_BYTES: u64 = 1_024;

fn gateway() -> Deployment {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    deployment.add_gateway();
    deployment
}

/// Starts a process within a limit, and checks that it does not end.
fn start_within(process: &mut Process, resource: Resource, limit: impl Fn(&Process) -> u64) {
    process.start_within(resource, limit);
    thread::sleep(FIRST_STEPS);
    assert_eq!(process.ended(), None, "{:?}", process.log());
}

/// Starts a gateway whose resource is short until its start has waited for it.
fn start_while_short(resource: Resource, limit: impl Fn(&Process) -> u64) {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    start_within(process, resource, limit);
    assert!(!process.has_logged("started"));
    process.lift_limit(resource);
    wait_until("the gateway is ready", || {
        assert_eq!(process.ended(), None, "{:?}", process.log());
        process.is_ready()
    });
    wait_until("the wait is told", || {
        process.has_logged("start waited for what the machine lacked")
    });
}

/// The log's thread ended each start on a machine that was short of memory or processes for a moment.
#[test]
fn a_process_that_gets_no_thread_when_it_starts_waits_for_one() {
    start_while_short(Resource::As, |process| {
        process.address_space_bytes() + SPARE_ADDRESS_SPACE
    });
}

/// The runtime panicked without descriptors for its signals.
#[test]
fn a_process_that_gets_no_descriptors_when_it_starts_waits_for_them() {
    start_while_short(Resource::Nofile, |_| FEW_DESCRIPTORS);
}

/// The actor of a replica ended for good with the thread that it did not get, and the process seemed to live.
#[test]
fn a_replica_that_gets_no_thread_for_its_disk_opens_it_later() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    let process = deployment.add_replica();
    start_within(process, Resource::As, |process| {
        process.address_space_bytes() + ONE_THREAD + SPARE_ADDRESS_SPACE
    });
    wait_until("the lack is told", || {
        process.has_logged("disk cannot be opened")
    });
    assert!(!process.has_logged("disk opened"));
    process.lift_limit(Resource::As);
    wait_until("the disk is open", || process.has_logged("disk opened"));
    assert_eq!(process.ended(), None);
}

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
