//! Entry point of `ridgeworksd`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use ridgeworks_node::settings::{self, Flags, Settings, SettingsError};
use ridgeworks_node::{daemon, logging};

/// Node of the ridgeworks scheduler.
#[derive(Debug, Parser)]
#[command(version, args_conflicts_with_subcommands = true)]
struct CommandLine {
    /// Settings file, in TOML.
    #[arg(long)]
    settings: Option<PathBuf>,
    #[command(flatten)]
    flags: Flags,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Prints every fault of a settings file with its key, its value and what is allowed.
    CheckSettings {
        /// The settings file.
        file: PathBuf,
        #[command(flatten)]
        flags: Box<Flags>,
    },
}

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    match &command_line.command {
        Some(Command::CheckSettings { file, flags }) => report(settings::load(Some(file), flags)),
        None => run(&command_line),
    }
}

fn report(result: Result<Settings, SettingsError>) -> ExitCode {
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command_line: &CommandLine) -> ExitCode {
    let settings = match settings::load(command_line.settings.as_deref(), &command_line.flags) {
        Ok(settings) => settings,
        Err(error) => return report(Err(error)),
    };
    if let Err(error) = logging::start(&settings.log) {
        eprintln!("{error}");
        return ExitCode::FAILURE;
    }
    let outcome = daemon::run(&settings, |edge, links| {
        println!("listening {edge} links {links}");
    });
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("failed={error}");
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
