//! `runs`: shows runs and their history.

use ridgeworks_api::v1;

use crate::arguments::{RunsHistoryArguments, RunsListArguments};
use crate::error::CliError;
use crate::output::{Columns, excerpt, state_name, text_or_dash};
use crate::session::Session;

const RUN_HEADINGS: [&str; 9] = [
    "RUN", "PROGRAM", "PARTNER", "STATE", "BUDGET", "SPENT", "RESERVED", "CALLS", "PARENT",
];
const CALL_HEADINGS: [&str; 7] = [
    "SEQUENCE", "CALL", "SERVICE", "OUTCOME", "COST", "REQUEST", "ANSWER",
];

/// Shows the partner's runs, page after page up to the limit.
pub fn list(session: &Session, arguments: RunsListArguments) -> Result<(), CliError> {
    let state = arguments
        .state
        .map_or(v1::RunState::Unspecified, Into::into);
    let mut request = v1::ListRunsRequest {
        program: arguments.program.unwrap_or_default(),
        state: state.into(),
        page_size: arguments.limit,
        page_token: String::new(),
    };
    let limit = arguments.limit as usize;
    let mut found = v1::ListRunsResponse::default();
    while found.runs.len() < limit {
        let page = session.client.list_runs(&request).map_err(CliError::Read)?;
        found.runs.extend(page.runs);
        found.next_page_token = page.next_page_token;
        if found.next_page_token.is_empty() {
            break;
        }
        request.page_token.clone_from(&found.next_page_token);
    }
    found.runs.truncate(limit);
    session.output.show(&found, |found| {
        Columns::of(RUN_HEADINGS, &found.runs, run_row)
    })
}

fn run_row(run: &v1::RunSummary) -> [String; 9] {
    [
        run.run.clone(),
        run.program.clone(),
        run.partner.clone(),
        run_state(run),
        run.budget.to_string(),
        run.spent.to_string(),
        run.reserved.to_string(),
        run.calls.to_string(),
        text_or_dash(&run.parent),
    ]
}

fn run_state(run: &v1::RunSummary) -> String {
    state_name(run.state().as_str_name(), "RUN_STATE_")
}

/// Shows a run and all of its calls.
pub fn history(session: &Session, arguments: RunsHistoryArguments) -> Result<(), CliError> {
    let whole = read_history(session, arguments.run)?;
    if session.output.is_json() {
        return session.output.json(&whole);
    }
    let run = whole.run.clone().unwrap_or_default();
    session.output.line(&format!(
        "run {} of {} is {}, spent {} of {}, reserved {}",
        run.run,
        run.program,
        run_state(&run),
        run.spent,
        run.budget,
        run.reserved
    ))?;
    let columns = Columns::of(CALL_HEADINGS, &whole.calls, call_row);
    session.output.columns(&columns)
}

fn read_history(session: &Session, run: String) -> Result<v1::GetRunResponse, CliError> {
    let mut request = v1::GetRunRequest {
        run,
        after_sequence: 0,
        page_size: 0,
    };
    let mut whole = v1::GetRunResponse::default();
    loop {
        let page = session.client.get_run(&request).map_err(CliError::Read)?;
        let last = page.calls.last().map(|call| call.sequence);
        whole.run = page.run;
        whole.calls.extend(page.calls);
        match last {
            Some(last) if page.more => request.after_sequence = last,
            // A page without calls that promises more would be asked for without end.
            None if page.more => return Err(CliError::IncompleteAnswer),
            _ => return Ok(whole),
        }
    }
}

fn call_row(call: &v1::RecordedCall) -> [String; 7] {
    [
        call.sequence.to_string(),
        call.call.clone(),
        call.service.clone(),
        state_name(call.outcome().as_str_name(), "CALL_OUTCOME_"),
        call.cost.to_string(),
        text_or_digest(call.request.as_deref(), &call.request_digest),
        text_or_digest(call.answer.as_deref(), &call.answer_digest),
    ]
}

/// The beginning of the text when it is kept, or else its digest.
fn text_or_digest(text: Option<&str>, digest: &str) -> String {
    match text {
        Some(text) => text_or_dash(&excerpt(text)),
        None => text_or_dash(digest),
    }
}
