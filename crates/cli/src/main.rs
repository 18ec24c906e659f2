//! `ridgeworks`, the operators' command line. It speaks the published schema and nothing else.

mod arguments;
mod commands;
mod error;
mod exit_status;
mod object_file;
mod object_kind;
mod operation_id;
mod output;
mod session;

use std::process::ExitCode;

use clap::Parser;

use crate::arguments::Arguments;
use crate::error::CliError;
use crate::exit_status::ExitStatus;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let format = arguments.output;
    let status = match commands::run(arguments) {
        Ok(()) => ExitStatus::Success,
        // The reader of a pipe went away, as `head` does; nothing is left to say.
        Err(CliError::OutputClosed) => ExitStatus::Success,
        Err(error) => {
            output::print_error(format, &error);
            error.exit_status()
        }
    };
    status.into()
}
