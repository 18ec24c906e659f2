//! Fences an attempt at its back end: from then on the back end does not run it.

use std::net::SocketAddr;
use std::time::Duration;

use ridgeworks_domain::Cost;
use serde::Deserialize;
use ureq::Agent;

use super::attempt::{AttemptFate, AttemptId};

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum FenceAnswer {
    Finished { answer: String, spent: u64 },
    NeverStarted,
    Cancelled,
}

/// Sends the fence and reads how the attempt stands.
pub fn fence(agent: &Agent, id: &AttemptId, address: SocketAddr, timeout: Duration) -> AttemptFate {
    let url = format!(
        "http://{address}/v1/attempts/{}/{}/{}/fence",
        id.run, id.key, id.attempt
    );
    let answer = agent
        .post(&url)
        .config()
        .timeout_global(Some(timeout))
        .build()
        .send_empty();
    let Ok(mut response) = answer else {
        return AttemptFate::Unreachable;
    };
    if !response.status().is_success() {
        return AttemptFate::Unreachable;
    }
    match response.body_mut().read_json::<FenceAnswer>() {
        Ok(FenceAnswer::Finished { answer, spent }) => AttemptFate::Finished {
            answer: answer.into_bytes(),
            spent: Cost(spent),
        },
        Ok(FenceAnswer::NeverStarted) => AttemptFate::NeverStarted,
        Ok(FenceAnswer::Cancelled) => AttemptFate::Cancelled,
        Err(_) => AttemptFate::Unreachable,
    }
}
