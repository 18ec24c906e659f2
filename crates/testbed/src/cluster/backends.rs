//! The plans of the back ends.

use std::net::SocketAddr;
use std::path::Path;

use super::binaries::Binaries;
use super::control::ListedMachine;
use super::error::ClusterError;
use super::ports::Ports;
use super::preset::{BackendKind, BackendPreset, Preset};
use super::process::ProcessPlan;

/// One back end of a deployment.
#[derive(Debug, Clone)]
pub struct BackendPlan {
    /// How the platform lists it.
    pub machine: ListedMachine,
    /// What it is.
    pub kind: BackendKind,
    /// How it is started.
    pub process: ProcessPlan,
}

/// Folders and programs that back ends are started with.
pub(super) struct BackendParts<'a> {
    /// The programs.
    pub binaries: &'a Binaries,
    /// The working folder.
    pub folder: &'a Path,
    /// The platform.
    pub platform: SocketAddr,
    /// Whether histories are written.
    pub history: bool,
}

/// Plans all back ends of a preset, spread over its zones.
pub(super) fn plan_all(
    preset: &Preset,
    parts: &BackendParts<'_>,
    ports: &mut Ports,
) -> Result<Vec<BackendPlan>, ClusterError> {
    let mut plans = Vec::new();
    for backends in &preset.backends {
        for index in 0..backends.count {
            let zone = &preset.zones[index % preset.zones.len()];
            let machine = ListedMachine {
                name: format!("{}-{}", backends.service, index + 1),
                address: ports.choose()?,
                service: backends.service.clone(),
                zone: zone.clone(),
                slots: backends.slots,
            };
            plans.push(plan(backends, machine, parts));
        }
    }
    Ok(plans)
}

fn plan(backends: &BackendPreset, machine: ListedMachine, parts: &BackendParts<'_>) -> BackendPlan {
    let name = &machine.name;
    let subcommand = match backends.kind {
        BackendKind::Model => "engine",
        BackendKind::Tool => "tool",
    };
    let mut arguments = vec![subcommand.to_owned()];
    push(&mut arguments, "--name", name);
    push(&mut arguments, "--zone", &machine.zone);
    push(&mut arguments, "--listen", machine.address);
    if parts.history {
        let file = parts.folder.join(format!("{name}.history.jsonl"));
        push(&mut arguments, "--history", file.display());
    }
    match backends.kind {
        BackendKind::Model => push_engine(&mut arguments, backends, parts.platform),
        BackendKind::Tool => push_tool(&mut arguments, backends),
    }
    BackendPlan {
        kind: backends.kind,
        process: ProcessPlan {
            name: name.clone(),
            program: parts.binaries.testbed.clone(),
            arguments,
            log: parts.folder.join(format!("{name}.log")),
        },
        machine,
    }
}

fn push_engine(arguments: &mut Vec<String>, backends: &BackendPreset, platform: SocketAddr) {
    let engine = &backends.engine;
    push(arguments, "--step-base-us", engine.step_base_us);
    push(arguments, "--token-us", engine.token_us);
    push(
        arguments,
        "--prefill-us-per-token",
        engine.prefill_us_per_token,
    );
    push(arguments, "--blocks", engine.blocks);
    push(arguments, "--answer-tokens", engine.answer_tokens);
    push(arguments, "--max-batch", backends.slots);
    push(arguments, "--platform", platform);
}

fn push_tool(arguments: &mut Vec<String>, backends: &BackendPreset) {
    let tool = &backends.tool;
    push(arguments, "--price", tool.price);
    push(arguments, "--latency-ms", tool.latency_ms);
    push(arguments, "--latency-jitter-ms", tool.latency_jitter_ms);
}

/// Adds a flag and its value.
pub(super) fn push(arguments: &mut Vec<String>, flag: &str, value: impl ToString) {
    arguments.push(flag.to_owned());
    arguments.push(value.to_string());
}
