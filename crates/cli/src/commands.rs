//! The commands, one module each.

mod apply;
mod completions;
mod delete;
mod drain;
mod explain;
mod get;
mod log_line;
mod runs;
mod shares;
mod status;
mod timeline;
mod watch;

use crate::arguments::{Arguments, Command, RunsCommand, SharesCommand};
use crate::error::CliError;
use crate::session::Session;

/// Runs the command that the arguments name.
pub fn run(arguments: Arguments) -> Result<(), CliError> {
    let Arguments {
        connection,
        output,
        command,
    } = arguments;
    match command {
        Command::Completions(shell) => completions::run(&shell),
        Command::Explain(explain) => explain::run(&explain, output),
        Command::Timeline(timeline) => timeline::run(&timeline, output),
        command => run_at_node(command, &Session::new(connection, output)?),
    }
}

/// Runs a command that asks a node.
fn run_at_node(command: Command, session: &Session) -> Result<(), CliError> {
    match command {
        Command::Apply(apply) => apply::run(session, apply),
        Command::Get(get) => get::run(session, get),
        Command::Delete(delete) => delete::run(session, delete),
        Command::Watch(watch) => watch::run(session, &watch),
        Command::Status => status::run(session),
        Command::Drain(drain) => drain::run(session, drain),
        Command::Runs(RunsCommand::List(list)) => runs::list(session, list),
        Command::Runs(RunsCommand::History(history)) => runs::history(session, history),
        Command::Shares(SharesCommand::Propose(propose)) => shares::propose(session, propose),
        Command::Shares(SharesCommand::Consent(consent)) => shares::consent(session, consent),
        Command::Completions(_) | Command::Explain(_) | Command::Timeline(_) => Ok(()),
    }
}
