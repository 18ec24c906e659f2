//! What a fence tells of an attempt that ended.

use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::Receiver;
use ridgeworks_domain::{BackendName, CallKey, RunId, Sequence};
use ridgeworks_node::mailbox::Mailbox;
use ridgeworks_node::outbound::{
    AnswerForm, AttemptEvent, AttemptFate, AttemptId, AttemptOrder, AttemptResult, BackendCall,
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

#[test]
fn a_fenced_completion_has_the_same_answer_as_a_streamed_one() {
    let mut engine = Engine::start(EngineOptions::local("engine-1")).unwrap();
    let poll = Poll::new().unwrap();
    let waker = Arc::new(Waker::new(poll.registry(), Token(0)).unwrap());
    let (mailbox, events) = Mailbox::new(waker);
    let client = BackendClient::new(mailbox, Arc::default());
    let id = AttemptId {
        run: RunId(7),
        sequence: Sequence(1),
        key: CallKey::new("call-1").unwrap(),
        attempt: 1,
    };
    let to = Dispatched {
        backend: BackendName::new("engine-1").unwrap(),
        address: engine.address(),
    };
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
    client.fence(id, to, AnswerForm::Completion);
    let AttemptEvent::Fenced { fate, .. } = next(&events) else {
        panic!("the fence is reported");
    };
    assert_eq!(fate, AttemptFate::Finished { answer, spent });
    engine.stop();
}
