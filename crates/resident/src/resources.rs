//! What a process needs of its machine and may not get for a while: threads, descriptors, memory of the kernel.
//!
//! Other processes of the machine take them too. A process that starts meanwhile waits for them instead of ending.

use std::fs::File;
use std::io;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rustix::io::Errno;
use signal_hook::consts::{SIGXCPU, SIGXFSZ};

/// How long a process that starts waits for what the machine lacks. After that, the settings or the limits of the process are
/// taken to be wrong.
pub const MAX_WAIT: Duration = Duration::from_secs(30);
/// How often it tries again.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(100);
/// Descriptors that the runtime and the listeners take.
const START_DESCRIPTORS: usize = 24;
const ANY_FILE: &str = "/dev/null";

/// Whether the machine, or the limits of the process, lack something that others may give back.
pub fn is_shortage(error: &io::Error) -> bool {
    let shortages = [
        Errno::AGAIN,
        Errno::MFILE,
        Errno::NFILE,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// A shortage that has passed.
#[derive(Debug)]
pub struct PassedShortage {
    /// What the first try failed with.
    pub first_error: io::Error,
    /// How long it took.
    pub waited: Duration,
}

/// Calls `acquire` until there is no shortage, for [`MAX_WAIT`] at most. Blocks.
pub fn wait_for<T>(
    mut acquire: impl FnMut() -> io::Result<T>,
) -> io::Result<(T, Option<PassedShortage>)> {
    let since = Instant::now();
    let mut first_error = None;
    loop {
        let error = match acquire() {
            Ok(acquired) => {
                let waited = since.elapsed();
                let passed = first_error.map(|first_error| PassedShortage {
                    first_error,
                    waited,
                });
                return Ok((acquired, passed));
            }
            Err(error) => error,
        };
        if !is_shortage(&error) || since.elapsed() >= MAX_WAIT {
            return Err(error);
        }
        first_error.get_or_insert(error);
        thread::sleep(RETRY_INTERVAL);
    }
}

/// Waits until the descriptors for a start can be had: the runtime panics where it gets none for signals.
pub fn wait_for_descriptors() -> io::Result<Option<PassedShortage>> {
    let open_all = || -> io::Result<Vec<File>> {
        let files = (0..START_DESCRIPTORS).map(|_| File::open(ANY_FILE));
        files.collect()
    };
    wait_for(open_all).map(|(_, passed)| passed)
}

/// Installs handlers for the signals by which the kernel tells that a limit of the process is reached; without them they end it. A
/// write beyond the limit of a file's size then fails like one to a full disk.
pub fn survive_limits() -> io::Result<()> {
    for signal in [SIGXFSZ, SIGXCPU] {
        signal_hook::flag::register(signal, Arc::default())?;
    }
    Ok(())
}
