//! The driver's end of a process of hollow nodes.

use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::Path;
use std::process::{Child, ChildStdin, ChildStdout, Command, Stdio};
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread;
use std::time::Duration;

use super::error::ScaleError;
use super::protocol::{HostCommand, HostPlan, HostReport};
use crate::cluster;

const REPORT_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the subcommand.
const SUBCOMMAND: &str = "scale-host";

/// A process of hollow nodes. It is killed when this is dropped.
#[derive(Debug)]
pub struct HostProcess {
    child: Child,
    input: ChildStdin,
    reports: Receiver<HostReport>,
}

impl HostProcess {
    /// Starts a process whose nodes are all down.
    pub fn start(program: &Path, log: File, plan: &HostPlan) -> Result<Self, ScaleError> {
        let mut command = Command::new(program);
        command
            .arg(SUBCOMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(log);
        let mut child = cluster::spawn(&mut command).map_err(ScaleError::Spawn)?;
        let input = child.stdin.take().expect("the standard input is piped");
        let output = child.stdout.take().expect("the standard output is piped");
        let (sender, reports) = mpsc::channel();
        thread::spawn(move || read_reports(output, &sender));
        let mut process = Self {
            child,
            input,
            reports,
        };
        process.write(plan)?;
        Ok(process)
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a command.
    pub fn send(&mut self, command: &HostCommand) -> Result<(), ScaleError> {
        self.write(command)
    }

    /// Waits for the answer to [`HostCommand::Report`].
    pub fn report(&self) -> Result<HostReport, ScaleError> {
        let report = self.reports.recv_timeout(REPORT_TIMEOUT);
        report.map_err(|_| ScaleError::NoReport { process: self.id() })
    }

    fn write(&mut self, line: &impl serde::Serialize) -> Result<(), ScaleError> {
        let mut text = serde_json::to_string(line).map_err(ScaleError::Protocol)?;
        text.push('\n');
        self.input
            .write_all(text.as_bytes())
            .and_then(|()| self.input.flush())
            .map_err(ScaleError::Pipe)
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
        cluster::forget(self.child.id());
    }
}

fn read_reports(output: ChildStdout, reports: &Sender<HostReport>) {
    for line in BufReader::new(output).lines() {
        let Ok(report) = line.map(|line| serde_json::from_str(&line)) else {
            return;
        };
        let Ok(report) = report else {
            return;
        };
        if reports.send(report).is_err() {
            return;
        }
    }
}
