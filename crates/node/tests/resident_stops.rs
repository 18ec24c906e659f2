//! Planned stops of gateways, while clients use the connections that they have until the process is gone.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use ridgeworks_platform_stand_ins::client::{call_get, call_post};
use ridgeworks_platform_stand_ins::deployment::{Deployment, HOST, routes, wait_until};
use ridgeworks_platform_stand_ins::{Answer, EngineStandIn, Script};
use rustix::process::Signal;
use serde_json::json;

const PROGRAM: &str = env!("CARGO_BIN_EXE_ridgeworksd");
/// By the settings of the stand-in deployment.
const GRACE: Duration = Duration::from_secs(8);

/// Head and body of a request with a deadline of three seconds.
fn request(method: &str, path: &str, id: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRidgeworks-Request-Id: {id}\r\n\
         Ridgeworks-Deadline-Ms: 3000\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends a request in two parts, with a pause between them, and returns all that comes until the connection closes.
fn exchange(mut connection: TcpStream, parts: [String; 2], pause: Duration) -> JoinHandle<String> {
    thread::spawn(move || {
        let [first, second] = parts;
        let mut sent = connection.write_all(first.as_bytes());
        thread::sleep(pause);
        sent = sent.and_then(|()| connection.write_all(second.as_bytes()));
        let mut answer = Vec::new();
        let read = connection.read_to_end(&mut answer);
        let answer = String::from_utf8_lossy(&answer).into_owned();
        if answer.is_empty() {
            return format!("nothing; sent: {sent:?}, read: {read:?}");
        }
        answer
    })
}

/// The routes with a time-out that outlasts each stop.
fn configure_long_routes(deployment: &mut Deployment) {
    let mut long = routes();
    for route in long.as_array_mut().expect("a list") {
        route["timeout_ms"] = json!(30_000);
    }
    deployment.configure(long);
}

fn start_and_wait(service: &str, script: Script) -> (Deployment, EngineStandIn, SocketAddr) {
    let deployment = Deployment::started(PROGRAM, 1, 0);
    let engine = deployment.start_engine(service, "i-1", script);
    deployment.wait_until_engines_known(1);
    let gateway = deployment.gateways[0].callers();
    (deployment, engine, gateway)
}

fn has_run(engine: &EngineStandIn, id: &str) -> bool {
    let mut runs = engine.runs().into_iter();
    runs.any(|run| run.headers["ridgeworks-request-id"] == id)
}

/// The answer is whole, or a promise that nothing ran which is kept.
fn is_served_or_refused(engine: &EngineStandIn, id: &str, answer: &str) -> bool {
    let is_whole = answer.starts_with("HTTP/1.1 200") && answer.ends_with("0\r\n\r\n");
    let is_refused = answer.starts_with("HTTP/1.1 503") && answer.contains("retry-after");
    is_whole || is_refused && !has_run(engine, id)
}

/// Requests that came late in the grace were passed on and cut at its end.
#[test]
fn requests_that_come_late_in_a_stop_are_served_whole_or_refused() {
    let (deployment, engine, gateway) = start_and_wait(
        "models",
        Script::always(Answer::Stream {
            events: 15,
            gap_ms: 100,
        }),
    );
    deployment.gateways[0].signal(Signal::TERM);
    thread::sleep(Duration::from_millis(500));
    let late = (0..24).map(|number| {
        let connection = TcpStream::connect(gateway).expect("a connection");
        let id = format!("late-{number}");
        let parts = [
            String::new(),
            request("POST", "/chat/x", &id, "late prompt"),
        ];
        let pause = Duration::from_millis(250 * number);
        (id, exchange(connection, parts, pause))
    });
    let late: Vec<_> = late.collect();
    for (id, answer) in late {
        let answer = answer.join().expect("a client");
        // Whoever had not sent anything before the process ended was not read.
        let is_unread = answer.starts_with("nothing") && !has_run(&engine, &id);
        assert!(
            is_unread || is_served_or_refused(&engine, &id, &answer),
            "{id}: {answer}"
        );
    }
}

/// The same where the head came early and the last byte late.
#[test]
fn requests_whose_body_ends_late_in_a_stop_are_served_whole_or_refused() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    configure_long_routes(&mut deployment);
    let stream = Answer::Stream {
        events: 15,
        gap_ms: 100,
    };
    let engine = deployment.start_engine("models", "i-1", Script::always(stream));
    deployment.wait_until_engines_known(1);
    let gateway = deployment.gateways[0].callers();
    deployment.gateways[0].signal(Signal::TERM);
    let calls = (0..8).map(|number| {
        let connection = TcpStream::connect(gateway).expect("a connection");
        let id = format!("slow-{number}");
        let whole = request("POST", "/chat/x", &id, "slow prompt");
        let whole = whole.replace("-Ms: 3000", "-Ms: 9000");
        let (head, body) = whole.split_at(whole.len() - 4);
        let pause = Duration::from_millis(4_000 + 400 * number);
        let parts = [head.to_owned(), body.to_owned()];
        (id, exchange(connection, parts, pause))
    });
    let calls: Vec<_> = calls.collect();
    for (id, answer) in calls {
        let answer = answer.join().expect("a client");
        assert!(
            is_served_or_refused(&engine, &id, &answer),
            "{id}: {answer}"
        );
    }
}

/// What waits for an engine at the end of the grace was cut without an answer.
#[test]
fn what_is_open_at_the_end_of_a_stop_is_answered() {
    let mut deployment = Deployment::started(PROGRAM, 1, 0);
    configure_long_routes(&mut deployment);
    let _tools = deployment.start_engine("tools", "i-1", Script::always(Answer::Silent));
    deployment.wait_until_engines_known(1);
    let gateway = deployment.gateways[0].callers();
    let calls = ["/once/x", "/tool/x"].map(|path| {
        thread::spawn(move || {
            let call = call_post(path, &format!("r-{}", &path[1..5]), "x");
            call.replace("ridgeworks-deadline-ms", "30000")
                .send(gateway)
        })
    });
    thread::sleep(Duration::from_millis(500));
    let stopped = Instant::now();
    deployment.gateways[0].signal(Signal::TERM);
    for call in calls {
        let reply = call.join().expect("a client").expect("an answer");
        assert!([502, 504].contains(&reply.status), "{reply:?}");
        assert!(reply.is_whole, "{reply:?}");
    }
    let took = stopped.elapsed();
    assert!(took > GRACE.mul_f64(5.0 / 6.0) && took < GRACE, "{took:?}");
    wait_until("the process has ended", || {
        deployment.gateways[0].ended() == Some(true)
    });
}

/// The process ended once it had written what its clients had not received yet.
#[test]
fn an_answer_that_a_client_still_receives_is_not_cut_by_a_stop() {
    const BODY_BYTES: usize = 14 * 1024 * 1024;
    let body = "x".repeat(BODY_BYTES);
    let (mut deployment, _engine, gateway) =
        start_and_wait("tools", Script::always(Answer::Whole(body)));
    let mut connection = TcpStream::connect(gateway).expect("a connection");
    let call = request("GET", "/tool/x", "large", "");
    connection.write_all(call.as_bytes()).expect("a request");
    let mut received = connection.read(&mut [0; 1024]).expect("the head");
    deployment.gateways[0].signal(Signal::TERM);
    thread::sleep(Duration::from_secs(4));
    assert!(received > 0 && deployment.gateways[0].ended().is_none());
    let mut piece = vec![0; 64 * 1024];
    loop {
        match connection.read(&mut piece) {
            Ok(0) => break,
            Ok(more) => received += more,
            Err(error) => panic!("cut after {received} bytes: {error}"),
        }
    }
    assert!(received > BODY_BYTES, "{received}");
    wait_until("the process has ended", || {
        deployment.gateways[0].ended() == Some(true)
    });
}

/// A connection that brings nothing does not hold the process.
#[test]
fn unused_connections_do_not_delay_a_stop() {
    let (mut deployment, _engine, gateway) =
        start_and_wait("tools", Script::always(Answer::Whole("fine".to_owned())));
    let reply = call_get("/tool/x", "r-1").send(gateway);
    assert_eq!(reply.expect("an answer").status, 200);
    deployment.gateways[0].signal(Signal::TERM);
    let stopped = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let _unused = TcpStream::connect(gateway).expect("a connection");
    wait_until("the process has ended", || {
        deployment.gateways[0].ended() == Some(true)
    });
    assert!(stopped.elapsed() < Duration::from_secs(5));
}

/// The stop closed connections that had just been opened, while their requests were on the way.
#[test]
fn requests_on_connections_that_are_opened_as_a_stop_begins_are_answered() {
    let (deployment, engine, gateway) =
        start_and_wait("tools", Script::always(Answer::Whole("fine".to_owned())));
    let connect = |_| TcpStream::connect(gateway).expect("a connection");
    let connections: Vec<TcpStream> = (0..16).map(connect).collect();
    // Accepted, and without a request.
    thread::sleep(Duration::from_millis(200));
    deployment.gateways[0].signal(Signal::TERM);
    thread::sleep(Duration::from_millis(200));
    let send = |(number, connection)| {
        let id = format!("r-{number}");
        let call = request("POST", "/once/x", &id, "once");
        let parts = [call, String::new()];
        (id, exchange(connection, parts, Duration::ZERO))
    };
    let calls: Vec<_> = connections.into_iter().enumerate().map(send).collect();
    for (id, answer) in calls {
        let answer = answer.join().expect("a client");
        let is_served = answer.starts_with("HTTP/1.1 200") && answer.ends_with("fine");
        // All come at once to an engine of few slots.
        let is_refused = answer.starts_with("HTTP/1.1 503") && !has_run(&engine, &id);
        assert!(is_served || is_refused, "{id}: {answer}");
        assert!(answer.contains("connection: close"), "{answer}");
    }
}
