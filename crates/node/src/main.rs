//! Entry point of `ridgeworksd`.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::LazyLock;

use clap::{Parser, Subcommand};
use ridgeworks_node::settings::{self, Flags};
use ridgeworks_node::{daemon, logging, resident, versions};
use ridgeworks_resident::{build, resources};

/// Node of the ridgeworks scheduler.
#[derive(Debug, Parser)]
#[command(version = version(), args_conflicts_with_subcommands = true)]
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
    /// Runs as a resident of the users' platform, in the role that its settings name.
    Resident {
        /// Settings file, in TOML; by default the one that the platform names.
        #[arg(long)]
        settings: Option<PathBuf>,
    },
    /// Prints what each node of a deployment on the users' platform runs, as during an upgrade.
    Versions {
        /// Where one of them is reached by the others, IP and peer port.
        node: SocketAddr,
    },
    /// Prints every fault of a settings file with its key, its value and what is allowed.
    CheckSettings {
        /// The settings file.
        file: PathBuf,
        #[command(flatten)]
        flags: Box<Flags>,
    },
}

fn main() -> ExitCode {
    build::set_commit(option_env!("RIDGEWORKS_COMMIT"));
    if let Err(error) = resources::survive_limits() {
        return report::<(), _>(Err(error));
    }
    let command_line = CommandLine::parse();
    match &command_line.command {
        Some(Command::Resident { settings }) => run_resident(settings.clone()),
        Some(Command::Versions { node }) => report(versions::print(*node)),
        Some(Command::CheckSettings { file, flags }) if resident::is_resident_file(file) => {
            report(resident::check(file))
        }
        Some(Command::CheckSettings { file, flags }) => report(settings::load(Some(file), flags)),
        None => run(&command_line),
    }
}

fn version() -> &'static str {
    static VERSION: LazyLock<String> =
        LazyLock::new(|| format!("{}, {}", env!("CARGO_PKG_VERSION"), build::here()));
    VERSION.as_str()
}

fn run_resident(settings: Option<PathBuf>) -> ExitCode {
    report(resident::run(settings))
}

fn report<T, E: std::fmt::Display>(result: Result<T, E>) -> ExitCode {
    match result {
        Ok(_) => ExitCode::SUCCESS,
        Err(error) => {
            // The standard error may be closed or full.
            let _ = writeln!(io::stderr(), "{error}");
            ExitCode::FAILURE
        }
    }
}

fn run(command_line: &CommandLine) -> ExitCode {
    let settings = match settings::load(command_line.settings.as_deref(), &command_line.flags) {
        Ok(settings) => settings,
        Err(error) => return report::<(), _>(Err(error)),
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
