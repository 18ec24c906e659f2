//! Runs an experiment from the command line, as the testbed's subcommand does.

use clap::Parser;

#[derive(Debug, Parser)]
struct CommandLine {
    #[command(flatten)]
    arguments: ridgeworks_experiment::Args,
}

fn main() -> Result<(), ridgeworks_experiment::ExperimentError> {
    let command_line = CommandLine::parse();
    ridgeworks_experiment::run(&command_line.arguments)?;
    Ok(())
}
