//! Entry point of `ridgeworks-testbed`: parses the command line and hands over to a subcommand.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ridgeworks_testbed::{engine, platform, relay, tool};

/// Stand-ins and tools for trying ridgeworks out.
#[derive(Parser)]
#[command(name = "ridgeworks-testbed", version)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Serve as a model engine.
    Engine(engine::EngineArguments),
    /// Serve as the platform.
    Platform(platform::PlatformArguments),
    /// Serve as a tool or notice service.
    Tool(tool::ToolArguments),
    /// Relay TCP connections, with faults on request.
    Relay(relay::RelayArguments),
}

fn main() -> ExitCode {
    let result = match CommandLine::parse().command {
        Command::Engine(arguments) => engine::run(arguments),
        Command::Platform(arguments) => platform::run(arguments),
        Command::Tool(arguments) => tool::run(arguments),
        Command::Relay(arguments) => relay::run(arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
