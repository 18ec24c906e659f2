//! Engines whose answers stop somewhere in their heads or behind their bodies, by closing the connection or by saying nothing more.

use std::net::SocketAddr;
use std::thread;

use ridgeworks_platform_stand_ins::client::{Call, Reply, call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, wait_until};
use ridgeworks_platform_stand_ins::{Answer, REQUEST_ID, Script};

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
const BODY: &str = "the engine's whole body";
/// Requests at one time. An engine has room for four.
const PARALLEL_CALLS: usize = 4;
/// One in this many cuts is played where each takes as long as a request may.
const HANG_STEP: usize = 5;

fn head(fields: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nRidgeworks-Request-Id: {REQUEST_ID}\r\nRidgeworks-Server-Seal: seal\r\n{fields}\r\n\r\n"
    )
}

fn whole_head() -> String {
    head("Connection: close")
}

fn stream_head() -> String {
    head("Content-Type: text/event-stream\r\nConnection: close")
}

/// The text cut before each of its bytes.
fn cuts(text: &str) -> Vec<String> {
    (0..text.len()).map(|end| text[..end].to_owned()).collect()
}

fn raw(text: String, closes: bool) -> Answer {
    Answer::Raw { text, closes }
}

fn tool_call(id: &str) -> Call {
    call_get("/tool/x", id)
}

fn once_call(id: &str) -> Call {
    call_post("/once/x", id, "body")
}

fn stream_call(id: &str) -> Call {
    call_post("/chat/x", id, "prompt")
}

/// What clients get of the only engine, each of whose answers is one of these, however often a request is sent.
struct Play {
    service: &'static str,
    call: fn(&str) -> Call,
    closes: bool,
}

impl Play {
    fn replies(&self, texts: Vec<String>) -> Vec<(String, Reply)> {
        let deployment = Deployment::started(PROGRAM, 1, 0);
        let failure = Script::always(Answer::Failure(500));
        let engine = deployment.start_engine(self.service, "i-1", failure);
        let gateway = deployment.gateways[0].callers();
        wait_until("the engine is known", || {
            let reply = (self.call)("first").send(gateway);
            reply.is_some_and(|reply| reply.status == 500)
        });
        let mut replies = Vec::new();
        for (number, text) in texts.into_iter().enumerate() {
            engine.set_script(Script::always(raw(text.clone(), self.closes)));
            let reply = (self.call)(&format!("r-{number}")).send(gateway);
            replies.push((text, reply.unwrap_or_default()));
        }
        assert!(engine.runs().len() > replies.len() / 2, "too few were sent");
        replies
    }
}

fn assert_none_succeeded(replies: &[(String, Reply)]) {
    let is_wrong = |(_, reply): &&(String, Reply)| (200..300).contains(&reply.status);
    let wrong: Vec<_> = replies.iter().filter(is_wrong).collect();
    assert!(wrong.is_empty(), "{wrong:#?}");
}

fn play_closing(service: &'static str, call: fn(&str) -> Call, texts: Vec<String>) {
    let play = Play {
        service,
        call,
        closes: true,
    };
    assert_none_succeeded(&play.replies(texts));
}

/// A client got a success with an empty body.
#[test]
fn a_call_whose_answer_stops_in_its_head_is_not_answered_with_success() {
    play_closing("tools", tool_call, cuts(&whole_head()));
}

/// A client got a success with an empty body for a request that may have run.
#[test]
fn a_call_that_may_run_once_whose_answer_stops_in_its_head_is_not_answered_with_success() {
    play_closing("tools", once_call, cuts(&whole_head()));
}

/// A client got an empty stream that looked whole.
#[test]
fn a_stream_whose_answer_stops_in_its_head_is_not_answered_with_success() {
    play_closing("models", stream_call, cuts(&stream_head()));
}

/// An interim answer, or a part of one, passed for the answer.
#[test]
fn a_call_whose_answer_stops_in_or_behind_an_interim_head_is_not_answered_with_success() {
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n";
    let mut texts = cuts(interim);
    texts.push(interim.to_owned());
    let heads = cuts(&whole_head()).into_iter().step_by(HANG_STEP);
    texts.extend(heads.map(|cut| format!("{interim}{cut}")));
    play_closing("tools", tool_call, texts);
}

/// A body that stopped in its chunks, or in the fields behind them, passed for whole.
#[test]
fn a_call_whose_chunks_or_trailers_stop_is_not_answered_with_success() {
    let chunks = "17\r\nthe engine's whole body\r\n0\r\nX-End: 1\r\nX-More: 2\r\n\r\n";
    let head = head("Transfer-Encoding: chunked\r\nTrailer: X-End");
    let bodies = cuts(chunks).into_iter();
    let texts = bodies.map(|body| format!("{head}{body}"));
    play_closing("tools", tool_call, texts.collect());
}

/// The same with a length, which comes before what it counts.
#[test]
fn a_call_whose_body_is_shorter_than_told_is_not_answered_with_success() {
    let head = head(&format!("Content-Length: {}", BODY.len()));
    let bodies = cuts(BODY).into_iter();
    let texts = bodies.map(|body| format!("{head}{body}"));
    play_closing("tools", tool_call, texts.collect());
}

/// A head that stopped was given up for an empty answer when its time was over.
#[test]
fn a_head_that_stops_without_a_close_is_not_answered_with_success() {
    for (service, call, head) in [
        ("tools", once_call as fn(&str) -> Call, whole_head()),
        ("models", stream_call, stream_head()),
    ] {
        let deployment = Deployment::started(PROGRAM, 1, 0);
        let engine = deployment.start_engine(service, "i-1", Script::always(Answer::Failure(500)));
        let gateway = deployment.gateways[0].callers();
        wait_until("the engine is known", || {
            let reply = call("first").send(gateway);
            reply.is_some_and(|reply| reply.status == 500)
        });
        let texts = cuts(&head).into_iter().step_by(HANG_STEP);
        let answers = texts.map(|text| raw(text, false));
        let answers: Vec<Answer> = answers.collect();
        let calls = answers.len();
        engine.set_script(Script::first_of_all(answers, Answer::Silent));
        let replies = send_in_parallel(gateway, call, calls);
        let is_success = |reply: &&Reply| (200..300).contains(&reply.status);
        let succeeded: Vec<_> = replies.iter().filter(is_success).collect();
        assert!(succeeded.is_empty(), "{succeeded:#?}");
    }
}

fn send_in_parallel(gateway: SocketAddr, call: fn(&str) -> Call, calls: usize) -> Vec<Reply> {
    let senders: Vec<_> = (0..PARALLEL_CALLS)
        .map(|first| {
            thread::spawn(move || {
                let numbers = (first..calls).step_by(PARALLEL_CALLS);
                let replies = numbers.map(|number| {
                    let call = call(&format!("r-{number}"));
                    let call = call.replace("ridgeworks-deadline-ms", "1000");
                    call.send(gateway).unwrap_or_default()
                });
                replies.collect::<Vec<Reply>>()
            })
        })
        .collect();
    let replies = senders.into_iter().map(|sender| sender.join());
    replies
        .flat_map(|replies| replies.expect("a sender"))
        .collect()
}

/// What the client had of the stream was followed by the end of the cut answer, as if that were the stream's.
#[test]
fn a_stream_that_is_resumed_from_an_answer_that_stops_in_its_head_does_not_look_whole_too_early() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let broken = Answer::TruncatedStream { events: 2 };
    let engine = deployment.start_engine("models", "i-1", Script::always(Answer::Failure(500)));
    let gateway = deployment.gateways[0].callers();
    wait_until("the engine is known", || {
        let reply = stream_call("first").send(gateway);
        reply.is_some_and(|reply| reply.status == 500)
    });
    for (number, text) in cuts(&stream_head()).into_iter().enumerate() {
        let answers = [broken.clone(), raw(text.clone(), true)];
        engine.set_script(Script::first(answers, raw(text.clone(), true)));
        let reply = stream_call(&format!("r-{number}")).send(gateway);
        let reply = reply.unwrap_or_default();
        assert!(
            reply.status != 200 || !reply.is_whole,
            "{text:?}: {reply:?}"
        );
    }
}

/// Whatever has come of the cut answer, the client gets only the other engine's.
#[test]
fn a_call_that_is_repeated_after_a_cut_head_gets_the_other_engine_s_answer() {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let cuts = cuts(&whole_head());
    let _engines: Vec<_> = ["i-1", "i-2"]
        .into_iter()
        .map(|name| {
            let answer = Answer::Whole(BODY.to_owned());
            let cut = cuts.iter().flat_map(|cut| {
                // Each cut is followed by whole answers, so that the repeated request finds one.
                [raw(cut.clone(), true), answer.clone(), answer.clone()]
            });
            deployment.start_engine("tools", name, Script::first(cut, answer.clone()))
        })
        .collect();
    let gateway = deployment.gateways[0].callers();
    wait_until("the engines are known", || {
        tool_call("first")
            .send(gateway)
            .is_some_and(|reply| reply.status == 200)
    });
    let mut served = 0;
    for number in 0..2 * cuts.len() {
        let reply = tool_call(&format!("r-{number}")).send(gateway);
        let reply = reply.unwrap_or_default();
        if reply.status == 200 {
            served += 1;
            assert!(reply.is_whole, "{reply:?}");
            assert_eq!(reply.body, BODY);
        }
    }
    assert!(served > cuts.len(), "{served}");
}
