//! Starts of residents in unlucky moments: none may end by itself.

use std::fs::{self, File};
use std::io::Write;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::deployment::{Deployment, Process, routes, wait_until};
use rustix::process::Signal;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// Longer than any start takes that goes wrong at once.
const FIRST_STEPS: Duration = Duration::from_millis(500);

fn gateway() -> Deployment {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.configure(routes());
    deployment.add_gateway();
    deployment
}

fn replace(file: &Path, text: &str) {
    let next = file.with_extension("next");
    fs::write(&next, text).expect("a file");
    fs::rename(&next, file).expect("a file in its place");
}

fn wait_until_started(process: &mut Process) {
    wait_until("the process has started", || {
        let ended = process.ended();
        assert!(ended.is_none(), "ended by itself: {:?}", process.log());
        process.has_logged("started")
    });
}

/// The signal ended a process that had not come to its handlers yet. The settings are read from a pipe, so that they wait for it.
#[test]
fn a_process_that_is_told_to_reload_while_it_starts_does_not_end() {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    let path = process.settings_path().to_owned();
    let text = fs::read_to_string(&path).expect("settings");
    fs::remove_file(&path).expect("a file");
    let made = std::process::Command::new("mkfifo").arg(&path).status();
    assert!(made.expect("a program").success());
    process.start();
    thread::sleep(FIRST_STEPS);
    process.signal(Signal::HUP);
    thread::sleep(FIRST_STEPS);
    assert_eq!(process.ended(), None);
    let mut pipe = File::options().write(true).open(&path).expect("a pipe");
    replace(&path, &text);
    pipe.write_all(text.as_bytes()).expect("a reader");
    drop(pipe);
    wait_until_started(process);
    wait_until("the signal is followed", || {
        process.has_logged("settings reloaded")
    });
}

/// Holds an address for a while after the start of a process, which must wait for it.
fn start_while_taken(take: impl Fn(&Process) -> Box<dyn Send>) {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    let taken = take(process);
    process.start();
    thread::sleep(FIRST_STEPS);
    assert_eq!(process.ended(), None, "{:?}", process.log());
    wait_until("the wait is told", || {
        process.has_logged("address cannot be used yet")
    });
    drop(taken);
    wait_until_started(process);
    wait_until("the gateway is ready", || process.is_ready());
}

fn listen(address: SocketAddr) -> Box<dyn Send> {
    Box::new(TcpListener::bind(address).expect("a free address"))
}

/// The address of a process that had just been killed, or a port that was given to another connection, ended each start.
#[test]
fn a_process_whose_addresses_are_taken_when_it_starts_waits_for_them() {
    start_while_taken(|process| listen(process.callers()));
    start_while_taken(|process| listen(process.readiness()));
    start_while_taken(|process| listen(process.metrics()));
    start_while_taken(|process| listen(process.peers()));
    start_while_taken(|process| {
        let socket = UdpSocket::bind(process.peers());
        Box::new(socket.expect("a free address"))
    });
}

#[test]
fn a_process_that_waits_for_an_address_is_stopped_in_order() {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    let _taken = listen(process.callers());
    process.start();
    thread::sleep(FIRST_STEPS);
    let stopped = Instant::now();
    process.signal(Signal::TERM);
    wait_until("the process has ended", || process.ended() == Some(true));
    assert!(stopped.elapsed() < Duration::from_secs(2));
}

/// The platform was writing the file.
#[test]
fn a_process_whose_settings_are_incomplete_when_it_starts_reads_them_again() {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    let path = process.settings_path().to_owned();
    let text = fs::read_to_string(&path).expect("settings");
    fs::write(&path, &text[..text.len() / 2]).expect("a file");
    process.start();
    thread::sleep(FIRST_STEPS);
    fs::remove_file(&path).expect("a file");
    thread::sleep(FIRST_STEPS);
    assert_eq!(process.ended(), None);
    replace(&path, &text);
    wait_until_started(process);
}

/// Settings that stay wrong are told, and the process ends with a failure.
#[test]
fn a_process_whose_settings_stay_wrong_ends_with_their_fault() {
    let mut deployment = gateway();
    let process = &mut deployment.gateways[0];
    process.corrupt_settings();
    process.start();
    wait_until("the process has ended", || process.ended() == Some(false));
}

/// The log of a gateway that never became ready said nothing of what it waited for.
#[test]
fn a_gateway_that_is_not_ready_for_long_tells_what_it_lacks() {
    let mut deployment = Deployment::new(PROGRAM);
    deployment.add_gateway().start();
    let gateway = &deployment.gateways[0];
    wait_until("the wait is told", || {
        gateway.has_logged("gateway not ready for long")
    });
    let log = gateway.log();
    let mut lines = log.iter();
    let line = lines.find(|line| line["message"] == "gateway not ready for long");
    assert_eq!(
        line.expect("just seen")["attributes"]["lacks"],
        "configuration"
    );
    deployment.configure(routes());
    let gateway = &deployment.gateways[0];
    wait_until("its end is told", || {
        gateway.has_logged("gateway ready after a long time")
    });
    assert!(gateway.is_ready());
}

/// A wait for a start that failed did not tell which process it waited for, nor why.
#[test]
fn a_description_of_a_deployment_tells_which_processes_run_and_are_ready() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    let ended = deployment.add_gateway();
    ended.corrupt_settings();
    ended.start();
    wait_until("the process has ended", || ended.ended() == Some(false));
    deployment.add_replica();
    let description = deployment.describe();
    let starts = |start: &str| description.lines().any(|line| line.starts_with(start));
    assert!(starts("store: "), "{description}");
    assert!(description.contains("answered 200"), "{description}");
    for (name, state) in [
        ("gateway-1", "runs: "),
        ("gateway-2", "has ended by itself"),
        ("replica-1", "not running"),
    ] {
        let mut lines = description.lines();
        let line = lines.find(|line| line.starts_with(name));
        assert!(
            line.is_some_and(|line| line.contains(state)),
            "{description}"
        );
    }
    assert!(description.contains("readiness 200"), "{description}");
    assert!(description.contains("\"started\""), "{description}");
}
