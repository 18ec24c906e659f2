//! Entry point of `ridgeworks-testbed`: parses the command line and hands over to a subcommand.

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ridgeworks_history::VerifyArguments;
use ridgeworks_testbed::{
    bench, chaos, cluster_command, demo, engine, experiment, load, platform, relay, tool,
};

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
    /// Start a whole deployment on the loopback interface.
    Cluster(cluster_command::ClusterArguments),
    /// Show two conversations on a small deployment.
    Demo(demo::DemoArguments),
    /// Put a load on a deployment that runs already.
    Load(load::LoadArguments),
    /// Measure what the system adds to a load, and what requests and open streams cost.
    Bench(bench::BenchArguments),
    /// Put a deployment under faults and judge the history of what happened.
    Chaos(chaos::ChaosArguments),
    /// Put both presets under every fault alone and a list of pairs, and print a table.
    ChaosSuite(chaos::SuiteArguments),
    /// Compare scheduling policies under virtual time.
    Experiment(ridgeworks_experiment::Args),
    /// Judge the history of a run.
    Verify(VerifyArguments),
}

fn main() -> ExitCode {
    match CommandLine::parse().command {
        Command::Engine(arguments) => exit_code(engine::run(arguments)),
        Command::Platform(arguments) => exit_code(platform::run(arguments)),
        Command::Tool(arguments) => exit_code(tool::run(arguments)),
        Command::Relay(arguments) => exit_code(relay::run(arguments)),
        Command::Cluster(arguments) => exit_code(cluster_command::run(&arguments)),
        Command::Demo(arguments) => exit_code(demo::run(&arguments)),
        Command::Bench(arguments) => exit_code(bench::run(&arguments)),
        Command::Load(arguments) => exit_code(load::run(&arguments)),
        Command::Chaos(arguments) => ExitCode::from(chaos::run(&arguments)),
        Command::ChaosSuite(arguments) => ExitCode::from(chaos::run_suite(&arguments)),
        Command::Experiment(arguments) => exit_code(experiment::run(&arguments)),
        Command::Verify(arguments) => ExitCode::from(ridgeworks_history::run(&arguments)),
    }
}

fn exit_code<E: std::error::Error>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
