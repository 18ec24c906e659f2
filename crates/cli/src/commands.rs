//! The commands, one module each.

mod apply;
mod completions;
mod delete;
mod drain;
mod get;
mod runs;
mod shares;
mod status;
mod watch;

use crate::arguments::{Arguments, Command, RunsCommand, SharesCommand};
use crate::error::CliError;
use crate::session::Session;

/// Runs the command that the arguments name.
pub fn run(arguments: Arguments) -> Result<(), CliError> {
    if let Command::Completions(shell) = &arguments.command {
        return completions::run(shell);
    }
    let session = Session::new(arguments.connection, arguments.output)?;
    match arguments.command {
        Command::Apply(apply) => apply::run(&session, apply),
        Command::Get(get) => get::run(&session, get),
        Command::Delete(delete) => delete::run(&session, delete),
        Command::Watch(watch) => watch::run(&session, &watch),
        Command::Status => status::run(&session),
        Command::Drain(drain) => drain::run(&session, drain),
        Command::Runs(RunsCommand::List(list)) => runs::list(&session, list),
        Command::Runs(RunsCommand::History(history)) => runs::history(&session, history),
        Command::Shares(SharesCommand::Propose(propose)) => shares::propose(&session, propose),
        Command::Shares(SharesCommand::Consent(consent)) => shares::consent(&session, consent),
        Command::Completions(shell) => completions::run(&shell),
    }
}
