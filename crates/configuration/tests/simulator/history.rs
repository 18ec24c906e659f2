//! Checks that the operators' history is linearizable, with the versions of the objects and the
//! revision of the configuration as registers, and that the answers agree with the platform's log.

use std::collections::BTreeMap;

use ridgeworks_configuration::{ChangeError, OperationId, OperatorAnswer, Revision};
use ridgeworks_configuration::{ConfigurationSet, ObjectKey};
use todc_utils::{Action, History, Specification, WGLChecker};

use super::scenario::{INITIAL_STATE, RegisterState, registers};

const REVISION: usize = 3;

/// An operator's request.
#[derive(Debug, Clone)]
pub enum Asked {
    Change { key: ObjectKey, expected: u64 },
    Read,
}

/// One operation of an operator, from its first request to its last answer.
#[derive(Debug, Clone)]
pub struct Recorded {
    pub operation: OperationId,
    pub asked: Asked,
    pub invoked: u64,
    pub answer: Option<(u64, OperatorAnswer)>,
    /// Whether an earlier request of the operation had an unknown outcome.
    pub unknown_before: bool,
}

#[derive(Debug, Clone)]
pub enum RegisterOperation {
    Write {
        register_index: usize,
        expected: u64,
        revision: u64,
    },
    Conflict {
        register_index: usize,
        current: u64,
    },
    Read(RegisterState),
}

struct Registers;

impl Specification for Registers {
    type State = RegisterState;
    type Operation = RegisterOperation;

    fn init() -> RegisterState {
        INITIAL_STATE
    }

    fn apply(operation: &RegisterOperation, state: &RegisterState) -> (bool, RegisterState) {
        let mut next = *state;
        match operation {
            RegisterOperation::Write {
                register_index,
                expected,
                revision,
            } => {
                next[*register_index] = *revision;
                next[REVISION] = *revision;
                let valid = state[*register_index] == *expected && state[REVISION] + 1 == *revision;
                (valid, next)
            }
            RegisterOperation::Conflict {
                register_index,
                current,
            } => (state[*register_index] == *current, next),
            RegisterOperation::Read(seen) => (state == seen, next),
        }
    }
}

pub fn register_state(set: &ConfigurationSet) -> RegisterState {
    let [first, second, third] = registers().map(|key| set.version(&key).0);
    [first, second, third, set.revision().0]
}

/// Checks the answer of each operation against the platform's log. Returns a description of the first
/// mismatch.
pub fn check_outcomes(
    operations: &[Recorded],
    log: &BTreeMap<OperationId, Revision>,
) -> Result<(), String> {
    for recorded in operations {
        let effect = log.get(&recorded.operation);
        let fault = match &recorded.answer {
            Some((_, OperatorAnswer::Accepted { revision })) => effect != Some(revision),
            Some((_, OperatorAnswer::Rejected(_))) => effect.is_some(),
            Some((_, OperatorAnswer::Refused(_))) => effect.is_some() && !recorded.unknown_before,
            _ => false,
        };
        if fault {
            return Err(format!("{recorded:?} but the store holds {effect:?}"));
        }
    }
    Ok(())
}

/// Whether the history is that of linearizable registers. An operation of unknown outcome that is in
/// the platform's log may take effect until the end of the history.
pub fn is_linearizable(operations: &[Recorded], log: &BTreeMap<OperationId, Revision>) -> bool {
    let mut actions = Vec::new();
    for (process, recorded) in operations.iter().enumerate() {
        let Some((register_operation, answered)) = entry(recorded, log) else {
            continue;
        };
        let call = Action::Call(register_operation.clone());
        let response = Action::Response(register_operation);
        actions.push((recorded.invoked, 0, process, call));
        actions.push((answered, 1, process, response));
    }
    if actions.is_empty() {
        return true;
    }
    actions.sort_by_key(|(at, order, process, _)| (*at, *order, *process));
    let actions = actions
        .into_iter()
        .map(|(_, _, process, action)| (process, action));
    WGLChecker::<Registers>::is_linearizable(History::from_actions(actions.collect()))
}

fn entry(
    recorded: &Recorded,
    log: &BTreeMap<OperationId, Revision>,
) -> Option<(RegisterOperation, u64)> {
    let write = |key: &ObjectKey, expected: u64, revision: Revision| RegisterOperation::Write {
        register_index: register_index(key),
        expected,
        revision: revision.0,
    };
    match (&recorded.asked, &recorded.answer) {
        (Asked::Change { key, expected }, Some((at, OperatorAnswer::Accepted { revision }))) => {
            Some((write(key, *expected, *revision), *at))
        }
        (Asked::Change { key, .. }, Some((at, OperatorAnswer::Rejected(error)))) => match error {
            ChangeError::Conflict { current } => {
                let register_index = register_index(key);
                let current = current.0;
                Some((
                    RegisterOperation::Conflict {
                        register_index,
                        current,
                    },
                    *at,
                ))
            }
            _ => None,
        },
        (Asked::Read, Some((at, OperatorAnswer::Newest(set)))) => {
            Some((RegisterOperation::Read(register_state(set)), *at))
        }
        (Asked::Change { key, expected }, _) => {
            let revision = log.get(&recorded.operation)?;
            Some((write(key, *expected, *revision), u64::MAX))
        }
        (Asked::Read, _) => None,
    }
}

fn register_index(key: &ObjectKey) -> usize {
    let position = registers().iter().position(|register| register == key);
    position.expect("operators change only the registers")
}
