//! One process of a deployment: start, ready line, signals and end.

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdout, Command, ExitStatus, Stdio};
use std::sync::mpsc::{self, RecvTimeoutError, Sender};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};

use super::error::ClusterError;
use super::interrupt;

/// Longest time that a process may take until its ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What a process says once it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReadyLine {
    /// Where it serves HTTP.
    pub address: SocketAddr,
    /// Where a node listens for other nodes.
    pub links: Option<SocketAddr>,
}

impl ReadyLine {
    /// Reads `listening ADDRESS` or `listening ADDRESS links ADDRESS`.
    pub fn parse(line: &str) -> Option<Self> {
        let words: Vec<&str> = line.split_whitespace().collect();
        match words.as_slice() {
            ["listening", address] => Some(Self {
                address: address.parse().ok()?,
                links: None,
            }),
            ["listening", address, "links", links] => Some(Self {
                address: address.parse().ok()?,
                links: Some(links.parse().ok()?),
            }),
            _ => None,
        }
    }
}

/// How to start a process.
#[derive(Debug, Clone)]
pub struct ProcessPlan {
    /// Its name in the deployment.
    pub name: String,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// File that gets what it prints.
    pub log: PathBuf,
}

/// A running process. It is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: OwnedChild,
    ready: ReadyLine,
}

impl Process {
    /// Starts a process and waits for its ready line.
    pub fn start(plan: &ProcessPlan) -> Result<Self, ClusterError> {
        Starting::spawn(plan)?.wait_until_ready()
    }

    /// Its name in the deployment.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Its ready line.
    pub fn ready(&self) -> ReadyLine {
        self.ready
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.child.0.id()
    }

    /// Whether it has ended, and how.
    pub fn try_wait(&mut self) -> Result<Option<ExitStatus>, ClusterError> {
        self.child.try_wait().map_err(|source| self.failed(source))
    }

    /// Tells it to stop as planned and waits until it ended. It is killed if it does not end in time.
    ///
    /// # Errors
    /// It did not end in time, or with a failure.
    pub fn stop(mut self, timeout: Duration) -> Result<(), ClusterError> {
        self.signal(Signal::TERM)?;
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Some(status) = self.try_wait()? {
                return self.check_end(status);
            }
            thread::sleep(POLL_INTERVAL);
        }
        Err(ClusterError::DidNotEnd {
            name: self.name.clone(),
        })
    }

    fn check_end(&self, status: ExitStatus) -> Result<(), ClusterError> {
        if status.success() {
            return Ok(());
        }
        let name = self.name.clone();
        Err(ClusterError::StopFailed { name, status })
    }

    /// Tells it to stop as planned and does not wait.
    pub fn begin_stop(&self) -> Result<(), ClusterError> {
        self.signal(Signal::TERM)
    }

    /// Ends it at once.
    pub fn kill(mut self) -> Result<(), ClusterError> {
        self.child.end().map_err(|source| self.failed(source))
    }

    /// Pauses it.
    pub fn freeze(&self) -> Result<(), ClusterError> {
        self.signal(Signal::STOP)
    }

    /// Lets it go on after [`Self::freeze`].
    pub fn unfreeze(&self) -> Result<(), ClusterError> {
        self.signal(Signal::CONT)
    }

    // The child is reaped by this value only, so that its number belongs to no other process.
    fn signal(&self, signal: Signal) -> Result<(), ClusterError> {
        let result = match Pid::from_raw(self.child.0.id() as i32) {
            Some(process) => kill_process(process, signal),
            None => Err(rustix::io::Errno::SRCH),
        };
        result.map_err(|errno| self.failed(errno.into()))
    }

    fn failed(&self, source: std::io::Error) -> ClusterError {
        ClusterError::Signal {
            name: self.name.clone(),
            source,
        }
    }
}

/// A child process that is killed when this is dropped.
#[derive(Debug)]
struct OwnedChild(Child);

impl OwnedChild {
    fn end(&mut self) -> std::io::Result<()> {
        self.0.kill()?;
        self.0.wait()?;
        interrupt::forget(self.0.id());
        Ok(())
    }

    fn try_wait(&mut self) -> std::io::Result<Option<ExitStatus>> {
        let status = self.0.try_wait()?;
        if status.is_some() {
            interrupt::forget(self.0.id());
        }
        Ok(status)
    }
}

impl Drop for OwnedChild {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.end();
    }
}

/// A process that has not said yet that it serves.
#[derive(Debug)]
pub struct Starting {
    name: String,
    log: PathBuf,
    child: OwnedChild,
    lines: mpsc::Receiver<ReadyLine>,
}

impl Starting {
    /// Starts a process. It runs in a process group of its own, so that a Ctrl-C reaches only the
    /// launcher, which ends all.
    pub fn spawn(plan: &ProcessPlan) -> Result<Self, ClusterError> {
        let log = open_log(&plan.log)?;
        let errors = log
            .try_clone()
            .map_err(|source| file_error(&plan.log, source))?;
        let mut command = Command::new(&plan.program);
        command
            .args(&plan.arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(errors)
            .process_group(0);
        let child = interrupt::spawn(&mut command).map_err(|source| ClusterError::Spawn {
            name: plan.name.clone(),
            source,
        })?;
        let mut child = OwnedChild(child);
        let (sender, lines) = mpsc::channel();
        if let Some(output) = child.0.stdout.take() {
            thread::spawn(move || copy_output(output, log, &sender));
        }
        Ok(Self {
            name: plan.name.clone(),
            log: plan.log.clone(),
            child,
            lines,
        })
    }

    /// Waits for the ready line.
    pub fn wait_until_ready(self) -> Result<Process, ClusterError> {
        match self.lines.recv_timeout(READY_TIMEOUT) {
            Ok(ready) => Ok(Process {
                name: self.name,
                child: self.child,
                ready,
            }),
            Err(reason) => Err(self.not_ready(reason)),
        }
    }

    fn not_ready(self, reason: RecvTimeoutError) -> ClusterError {
        let (name, log) = (self.name, self.log);
        match reason {
            RecvTimeoutError::Disconnected => ClusterError::EndedEarly { name, log },
            RecvTimeoutError::Timeout => ClusterError::NotReady {
                name,
                log,
                waited: READY_TIMEOUT,
            },
        }
    }
}

fn copy_output(output: ChildStdout, mut log: File, ready: &Sender<ReadyLine>) {
    for line in BufReader::new(output).lines() {
        let Ok(line) = line else {
            return;
        };
        if let Some(found) = ReadyLine::parse(&line) {
            // Nobody waits any more after the first one.
            let _ = ready.send(found);
        }
        // A log that cannot be written must not block the process.
        let _ = writeln!(log, "{line}");
    }
}

fn open_log(path: &Path) -> Result<File, ClusterError> {
    OpenOptions::new()
        .create(true)
        .append(true)
        .open(path)
        .map_err(|source| file_error(path, source))
}

/// The error of a file that could not be written.
pub(super) fn file_error(path: &Path, source: std::io::Error) -> ClusterError {
    ClusterError::File {
        path: path.to_owned(),
        source,
    }
}
