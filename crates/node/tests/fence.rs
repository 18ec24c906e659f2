//! What a fence tells of an attempt that ended.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;
use ridgeworks_domain::{BackendAddress, BackendName, CallKey, RunId, Sequence};
use ridgeworks_node::mailbox::Mailbox;
use ridgeworks_node::outbound::{
    AttemptEvent, AttemptId, AttemptOrder, AttemptResolution, AttemptResult, BackendCall,
    BackendClient, Dispatched,
};
use ridgeworks_node::thread_message::ThreadMessage;
use ridgeworks_stand_ins::engine::{Engine, EngineOptions};
use serde_json::json;
use stakker_mio::mio::{Poll, Token, Waker};

const TIMEOUT: Duration = Duration::from_secs(10);

fn next(events: &Receiver<ThreadMessage>) -> AttemptEvent {
    loop {
        match events.recv_timeout(TIMEOUT) {
            Ok(ThreadMessage::Attempt(AttemptEvent::Text { .. })) => {}
            Ok(ThreadMessage::Attempt(event)) => return event,
            Ok(_) => panic!("the client reports attempts only"),
            Err(error) => panic!("no report: {error}"),
        }
    }
}

fn client() -> (BackendClient, Receiver<ThreadMessage>) {
    let poll = Poll::new().unwrap();
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).unwrap());
    let (mailbox, events) = Mailbox::new(waker);
    (BackendClient::new(mailbox, Arc::default()), events)
}

fn attempt_id() -> AttemptId {
    AttemptId {
        run: RunId(7),
        sequence: Sequence(1),
        key: CallKey::new("call-1").unwrap(),
        attempt: 1,
    }
}

fn dispatched(engine: &Engine, instance: Option<u64>) -> Dispatched {
    let socket = engine.address();
    Dispatched {
        backend: BackendName::new("engine-1").unwrap(),
        address: BackendAddress { socket, instance },
    }
}

/// The number by which the engine tells its starts apart.
fn instance(engine: &Engine) -> u64 {
    let url = format!("http://{}/health", engine.address());
    let mut response = ureq::get(&url).call().expect("an answer");
    let health: serde_json::Value = response.body_mut().read_json().expect("JSON");
    health["instance"].as_u64().expect("a number")
}

fn fate_of_an_unknown_attempt(engine: &Engine, instance: Option<u64>) -> AttemptResolution {
    let (client, events) = client();
    client.fence(attempt_id(), dispatched(engine, instance));
    match next(&events) {
        AttemptEvent::Fenced { resolution, .. } => resolution,
        other => panic!("the fence is reported, not {other:?}"),
    }
}

#[test]
fn only_the_start_that_was_dispatched_to_can_say_that_an_attempt_never_started() {
    let mut engine = Engine::start(EngineOptions::local("engine-1")).unwrap();
    let same = instance(&engine);
    let fates = [Some(same), Some(same + 1), None]
        .map(|instance| fate_of_an_unknown_attempt(&engine, instance));
    assert_eq!(
        fates,
        [
            AttemptResolution::NeverStarted,
            AttemptResolution::Cancelled,
            AttemptResolution::Cancelled
        ]
    );
    engine.stop();
}

#[test]
fn a_fenced_completion_has_the_same_answer_as_a_streamed_one() {
    let mut engine = Engine::start(EngineOptions::local("engine-1")).unwrap();
    let (client, events) = client();
    let id = attempt_id();
    let to = dispatched(&engine, None);
    let body = json!({
        "model": "any",
        "messages": [{"role": "user", "content": "hello"}],
        "max_tokens": 20,
        "stream": true,
        "stream_options": {"include_usage": true},
    });
    client.start(AttemptOrder {
        id: id.clone(),
        to: to.clone(),
        call: BackendCall::Chat(body.to_string().into_bytes()),
        timeout: TIMEOUT,
    });
    let AttemptEvent::Ended { result, .. } = next(&events) else {
        panic!("the attempt ends first");
    };
    let AttemptResult::Answered { answer, spent, .. } = result else {
        panic!("the attempt is answered, not {result:?}");
    };
    client.fence(id, to);
    let AttemptEvent::Fenced { resolution, .. } = next(&events) else {
        panic!("the fence is reported");
    };
    assert_eq!(resolution, AttemptResolution::Finished { answer, spent });
    engine.stop();
}
