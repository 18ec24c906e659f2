//! What a process has used, as the system counts it.

use std::fmt;
use std::fs;
use std::io;
use std::time::Duration;

use rustix::param::clock_ticks_per_second;

const BYTES_PER_KIBIBYTE: u64 = 1_024;
const RESIDENT_KEY: &str = "VmRSS:";
/// Fields between the end of the program's name and the user time in `/proc/PID/stat`.
const FIELDS_BEFORE_USER_TIME: usize = 11;

/// Why figures of a process cannot be read.
#[derive(Debug)]
pub enum ProcessError {
    /// The system's file could not be read.
    Read(io::Error),
    /// The system's file is not in the expected form.
    Malformed,
}

impl fmt::Display for ProcessError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(error) => write!(formatter, "figures of a process: {error}"),
            Self::Malformed => write!(formatter, "figures of a process are not in proc(5)'s form"),
        }
    }
}

impl std::error::Error for ProcessError {}

/// A process whose use of the machine is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NodeProcess {
    /// Its number.
    pub id: u32,
}

impl NodeProcess {
    /// CPU time used so far, in user and system mode.
    pub fn cpu_time(self) -> Result<Duration, ProcessError> {
        let stat = self.read("stat")?;
        let ticks = cpu_ticks(&stat).ok_or(ProcessError::Malformed)?;
        let seconds = ticks as f64 / clock_ticks_per_second() as f64;
        Ok(Duration::from_secs_f64(seconds))
    }

    /// Resident memory, in bytes.
    pub fn resident_bytes(self) -> Result<u64, ProcessError> {
        let status = self.read("status")?;
        resident_bytes(&status).ok_or(ProcessError::Malformed)
    }

    fn read(self, file: &str) -> Result<String, ProcessError> {
        fs::read_to_string(format!("/proc/{}/{file}", self.id)).map_err(ProcessError::Read)
    }
}

/// User and system time in the content of `/proc/PID/stat`, in clock ticks.
fn cpu_ticks(stat: &str) -> Option<u64> {
    // The program's name may hold spaces and parentheses; it ends at the last parenthesis.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_whitespace().skip(FIELDS_BEFORE_USER_TIME);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

/// Resident memory in the content of `/proc/PID/status`.
fn resident_bytes(status: &str) -> Option<u64> {
    let mut lines = status.lines();
    let value = lines.find_map(|line| line.strip_prefix(RESIDENT_KEY))?;
    let kibibytes: u64 = value.split_whitespace().next()?.parse().ok()?;
    Some(kibibytes * BYTES_PER_KIBIBYTE)
}
