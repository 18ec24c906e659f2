//! Ends all processes of the launcher when it is interrupted.

use std::collections::BTreeSet;
use std::io;
use std::process::{self, Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;

use rustix::process::{Pid, Signal, kill_process};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use super::error::ClusterError;

const INTERRUPTED_EXIT: i32 = 130;

static RUNNING: Mutex<BTreeSet<u32>> = Mutex::new(BTreeSet::new());

fn running() -> MutexGuard<'static, BTreeSet<u32>> {
    RUNNING.lock().expect("no holder of this lock panics")
}

/// Starts a process and notes it, so that no interruption comes between the two.
pub(crate) fn spawn(command: &mut Command) -> io::Result<Child> {
    let mut running = running();
    let child = command.spawn()?;
    running.insert(child.id());
    Ok(child)
}

/// Forgets a process that was waited for; its number may now belong to another one.
pub(crate) fn forget(process: u32) {
    running().remove(&process);
}

/// On SIGINT or SIGTERM, kills what was started and exits.
pub fn exit_on_signal() -> Result<(), ClusterError> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(ClusterError::SignalHandler)?;
    thread::spawn(move || {
        if signals.forever().next().is_some() {
            kill_all_and_exit();
        }
    });
    Ok(())
}

fn kill_all_and_exit() -> ! {
    // Held until the exit, so that nothing is started in between.
    let running = running();
    for process in running.iter() {
        if let Some(process) = Pid::from_raw(*process as i32) {
            // It may have ended already; it was not waited for, so that its number is still its own.
            let _ = kill_process(process, Signal::KILL);
        }
    }
    process::exit(INTERRUPTED_EXIT);
}

/// A flag that SIGINT and SIGTERM raise, for callers that end in order. A second signal kills what
/// was started and exits.
pub fn flag_on_signal() -> Result<Arc<AtomicBool>, ClusterError> {
    let flag = Arc::new(AtomicBool::new(false));
    let mut signals = Signals::new([SIGINT, SIGTERM]).map_err(ClusterError::SignalHandler)?;
    let raised = Arc::clone(&flag);
    thread::spawn(move || {
        for _ in signals.forever() {
            if raised.swap(true, Ordering::SeqCst) {
                kill_all_and_exit();
            }
        }
    });
    Ok(flag)
}
