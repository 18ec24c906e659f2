//! Fences an attempt at its back end: from then on the back end does not run it.

use std::time::Duration;

use ridgeworks_domain::{BackendAddress, Cost};
use serde::Deserialize;
use ureq::Agent;

use super::attempt::{AttemptId, AttemptResolution};

#[derive(Deserialize)]
struct FenceAnswer {
    instance: Option<u64>,
    #[serde(flatten)]
    state: FencedState,
}

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum FencedState {
    Finished { answer: String, spent: u64 },
    NeverStarted,
    Cancelled { spent: Option<u64> },
}

/// Sends the fence and reads how the attempt stands.
///
/// The word of another start of the back end than the attempt was dispatched to proves nothing: what
/// its predecessor ran is not known. An answer that it has is taken all the same.
pub fn fence(
    agent: &Agent,
    id: &AttemptId,
    address: BackendAddress,
    timeout: Duration,
) -> AttemptResolution {
    let url = format!(
        "http://{}/v1/attempts/{}/{}/{}/fence",
        address.socket, id.run, id.key, id.attempt
    );
    let answer = agent
        .post(&url)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send_empty();
    let Ok(mut response) = answer else {
        return AttemptResolution::Unreachable;
    };
    if !response.status().is_success() {
        return AttemptResolution::Unreachable;
    }
    match response.body_mut().read_json::<FenceAnswer>() {
        Ok(answer) => resolution(answer, address),
        Err(_) => AttemptResolution::Unreachable,
    }
}

fn resolution(answer: FenceAnswer, address: BackendAddress) -> AttemptResolution {
    let same_start = address.instance.is_some() && answer.instance == address.instance;
    match answer.state {
        FencedState::Finished { answer, spent } => AttemptResolution::Finished {
            answer: answer.into_bytes(),
            spent: Cost(spent),
        },
        FencedState::NeverStarted if same_start => AttemptResolution::NeverStarted,
        FencedState::Cancelled { spent: Some(spent) } if same_start => {
            AttemptResolution::Stopped { spent: Cost(spent) }
        }
        FencedState::NeverStarted | FencedState::Cancelled { .. } => AttemptResolution::Cancelled,
    }
}
