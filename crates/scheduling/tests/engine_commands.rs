//! Fencing, retries and rate limit of commands to engines.

mod support;

use std::time::Duration;

use ridgeworks_domain::{Ballot, NodeId};
use ridgeworks_scheduling::engine_commands::{
    CommandLimits, EngineCommand, EngineCommands, EngineRole,
};
use support::{backend_name, millis};

const LIMITS: CommandLimits = CommandLimits {
    store_bytes_per_second: 1_000,
    response_timeout: Duration::from_secs(1),
};

fn commands() -> EngineCommands {
    let epoch = Ballot {
        round: 3,
        node: NodeId(1),
    };
    EngineCommands::new(LIMITS, epoch)
}

fn load(bytes: u64) -> EngineCommand {
    EngineCommand::Load {
        model: "model".parse().unwrap(),
        bytes,
    }
}

#[test]
fn loads_are_limited_to_the_bandwidth_of_the_weight_store() {
    let mut commands = commands();
    for number in 0..3 {
        commands.request(backend_name(number), load(2_000));
    }
    assert_eq!(commands.due(millis(0)).len(), 1);
    assert_eq!(commands.due(millis(1_999)).len(), 0);
    assert_eq!(commands.due(millis(2_000)).len(), 1);
}

#[test]
fn an_engine_has_one_command_in_flight_and_tokens_increase() {
    let mut commands = commands();
    let unload = EngineCommand::Unload {
        model: "model".parse().unwrap(),
    };
    commands.request(backend_name(0), unload);
    commands.request(backend_name(0), EngineCommand::SetRole(EngineRole::Prefill));
    commands.request(backend_name(0), EngineCommand::SetRole(EngineRole::Decode));
    let first = commands.due(millis(0)).remove(0);
    assert!(commands.due(millis(1)).is_empty());
    commands.response_received(&backend_name(0), first.token);
    let second = commands.due(millis(2)).remove(0);
    assert!(second.token > first.token);
    assert_eq!(second.command, EngineCommand::SetRole(EngineRole::Decode));
    commands.response_received(&backend_name(0), second.token);
    assert!(commands.is_idle());
}

#[test]
fn a_command_without_a_response_is_retried_with_a_higher_token() {
    let mut commands = commands();
    commands.request(backend_name(0), load(500));
    let first = commands.due(millis(0)).remove(0);
    assert!(commands.due(millis(1_499)).is_empty());
    let again = commands.due(millis(1_500)).remove(0);
    assert_eq!(again.command, first.command);
    assert!(again.token > first.token);
    commands.response_received(&backend_name(0), first.token);
    assert!(
        !commands.is_idle(),
        "the late response belongs to the earlier command"
    );
}
