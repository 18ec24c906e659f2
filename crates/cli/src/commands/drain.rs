//! `drain`: tells a node to stop as planned.

use ridgeworks_api::v1;

use crate::arguments::DrainArguments;
use crate::error::CliError;
use crate::output::state_name;
use crate::session::Session;

/// Sends the order; the node finishes what is in progress after the command has ended.
pub fn run(session: &Session, arguments: DrainArguments) -> Result<(), CliError> {
    let request = v1::DrainRequest {
        node: arguments.node,
    };
    let answer = session.client.drain(&request).map_err(CliError::Read)?;
    session.output.tell(&answer, |answer| {
        let state = state_name(answer.state().as_str_name(), "NODE_STATE_");
        format!("node {} {state}", answer.node)
    })
}
