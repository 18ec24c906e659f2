//! `completions`: prints the completions of a shell.

use std::io::{self, Write};

use clap::CommandFactory;

use crate::arguments::{Arguments, CompletionsArguments};
use crate::error::CliError;

/// Prints the completions.
pub fn run(arguments: &CompletionsArguments) -> Result<(), CliError> {
    let mut command = Arguments::command();
    let name = command.get_name().to_owned();
    // The generator panics when it cannot write, so that it writes to memory first.
    let mut script = Vec::new();
    clap_complete::generate(arguments.shell, &mut command, name, &mut script);
    io::stdout().write_all(&script)?;
    Ok(())
}
