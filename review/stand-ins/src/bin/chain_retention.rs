//! A program takes turns for 40 seconds and is then stopped. It comes back within the retention of its last turn.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ridgeworks_review_stand_ins::client::Call;
use ridgeworks_review_stand_ins::http::read_request;
use ridgeworks_review_stand_ins::json::Json;
use ridgeworks_review_stand_ins::node::{Deployment, model_service, route, with};
use ridgeworks_review_stand_ins::record::Record;
use ridgeworks_review_stand_ins::{has_trouble, lock};

const RETENTION: Duration = Duration::from_secs(60);
/// Turns of the program, and the time from one to the next, which its tools take.
const TURNS: u64 = 15;
const PACE: Duration = Duration::from_millis(2_800);
/// How long the program is stopped: as long as its last turn is kept but for 6.5 seconds.
const STOPPED: Duration = Duration::from_millis(53_500);
/// The same where it comes back soon.
const SOON: Duration = Duration::from_secs(4);
const TRIES: usize = 10;
const EVENTS: u64 = 8;
const DEADLINE_MS: u64 = 3_000;

type Runs = Arc<Mutex<BTreeMap<String, String>>>;

/// An engine that streams a turn's events.
fn serve(stream: TcpStream, id: &str, record: &Record, runs: &Runs) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let turn = request
            .header("ridgeworks-request-id")
            .unwrap_or_default()
            .to_owned();
        record.line(&format!(
            "engine {id} runs {turn}, body of {} bytes",
            request.body.len()
        ));
        lock(runs).insert(
            turn.clone(),
            String::from_utf8_lossy(&request.body).into_owned(),
        );
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nRidgeworks-Request-Id: {turn}\r\nRidgeworks-Server-Seal: seal-{turn}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {turn}.{number}\n\n");
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            if writer.write_all(text.as_bytes()).is_err() {
                return;
            }
            text.clear();
            std::thread::sleep(Duration::from_millis(5));
        }
        if writer.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

fn start_engine(
    deployment: &Deployment,
    id: &'static str,
    record: &Arc<Record>,
    runs: &Runs,
) -> Option<SocketAddr> {
    let listener = TcpListener::bind((deployment.network.ip(251), 0)).ok()?;
    let address = listener.local_addr().ok()?;
    let (record, runs) = (Arc::clone(record), Arc::clone(runs));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (record, runs) = (Arc::clone(&record), Arc::clone(&runs));
            std::thread::spawn(move || serve(stream, id, &record, &runs));
        }
    });
    Some(address)
}

struct Client {
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
    sent: usize,
}

impl Client {
    /// Sends a turn to the gateways by turns; its status, and whether its answer was whole.
    fn turn(&mut self, program: &str, id: &str, previous: Option<&str>) -> (u16, bool) {
        let gateway = self.sent % self.gateways.len();
        self.sent += 1;
        let mut call = Call::new("POST", "/talk/turn", id, DEADLINE_MS)
            .header("Ridgeworks-Program-Id", program)
            .header("Ridgeworks-Session-Id", &format!("session-{program}"))
            .header("Ridgeworks-Finish-Ms", "60000")
            .header("Ridgeworks-Token-Budget", "100000")
            .header("Ridgeworks-Token-Count", "100,200")
            .header("Ridgeworks-Model", "m")
            .body(&format!("input of {id};"));
        if let Some(previous) = previous {
            call = call.header("Ridgeworks-Previous-Turn", previous);
        }
        let answer = call.send(self.gateways[gateway]);
        let (status, is_whole) =
            answer.map_or((0, false), |answer| (answer.status, answer.is_whole));
        let end = if is_whole { "whole" } else { "not whole" };
        let after = previous.unwrap_or("nothing");
        self.record.line(&format!(
            "client: turn {id} of {program} after {after}, gateway {}: {status}, {end}",
            gateway + 1
        ));
        (status, is_whole)
    }
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create(
        &std::env::var("RECORD").unwrap_or_else(|_| "review/2/record.txt".to_owned()),
    ));
    let runs: Runs = Arc::default();
    let mut deployment = Deployment::new();
    let talk = route("talk", "/talk/", "streaming", "seat-agents", 2, DEADLINE_MS);
    let talk = with(talk, "retain", Json::Bool(true));
    let talk = with(talk, "retention_s", Json::number(RETENTION.as_secs()));
    deployment.configure(3, vec![talk], vec![model_service("seat-agents", 25)]);
    for id in ["i-engine-1", "i-engine-2"] {
        let Some(address) = start_engine(&deployment, id, &record, &runs) else {
            eprintln!("the case could not run: no free port");
            return ExitCode::from(2);
        };
        deployment.list_engine(id, "seat-agents", address, 16, "ready", 1);
    }
    deployment.start_nodes(2, 3);
    if !deployment.wait_until_ready(3) {
        eprintln!("the case could not run: the deployment did not get ready");
        return ExitCode::from(2);
    }
    record.note("deployment is ready");
    std::thread::sleep(Duration::from_millis(500));
    let gateways = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let mut client = Client {
        gateways,
        record: Arc::clone(&record),
        sent: 0,
    };

    let mut previous: Option<String> = None;
    let mut first_ended = record.seconds();
    for number in 1..=TURNS {
        let began = Instant::now();
        // A turn that fails is sent again under another id after a pause.
        let tries =
            ["", "-again", "-again2", "-again3"].map(|again| format!("turn-{number:02}{again}"));
        let answered = tries.into_iter().find(|id| {
            let is_whole = client.turn("program-a", id, previous.as_deref()) == (200, true);
            if !is_whole {
                std::thread::sleep(Duration::from_millis(400));
            }
            is_whole
        });
        let Some(id) = answered else {
            eprintln!("the case could not run: turn {number} was not answered");
            return ExitCode::from(2);
        };
        if number == 1 {
            first_ended = record.seconds();
        }
        previous = Some(id);
        if number < TURNS {
            std::thread::sleep(PACE.saturating_sub(began.elapsed()));
        }
    }
    let last_ended = Instant::now();
    let last_at = record.seconds();
    let last = previous.unwrap_or_default();
    record.note(&format!(
        "program is stopped: its first turn was answered {:.1} s before its last, {last}",
        last_at - first_ended
    ));
    std::thread::sleep(if has_trouble() { STOPPED } else { SOON });
    record.note(&format!(
        "program comes back {:.1} s after {last} was answered whole",
        last_ended.elapsed().as_secs_f64()
    ));

    // Each try of the turn, and beside it a first turn of another program.
    let (mut tries, mut reached, mut answers) = (0, 0, Vec::new());
    let (mut first_turns, mut first_reached) = (0, 0);
    for number in 1..=TRIES {
        if last_ended.elapsed() > RETENTION - Duration::from_millis(500) {
            break;
        }
        let id = format!("back-{number:02}");
        let (status, is_whole) = client.turn("program-a", &id, Some(&last));
        tries += 1;
        answers.push(status);
        let is_run = lock(&runs).contains_key(&id);
        reached += usize::from(is_run);
        let first = format!("fresh-{number:02}");
        client.turn(&format!("program-b{number}"), &first, None);
        first_turns += 1;
        first_reached += usize::from(lock(&runs).contains_key(&first));
        if is_run && is_whole {
            break;
        }
        std::thread::sleep(Duration::from_millis(450));
    }
    drop(deployment);
    record.note(&format!(
        "{tries} tries of a turn after {last}, answered {answers:?}: {reached} reached an engine; first turns: {first_reached} of {first_turns} reached one"
    ));
    // The rule: five tries or more, while nine tenths of first turns reach an engine; or a 404 or 410.
    let is_denied = answers.iter().any(|status| matches!(status, 404 | 410));
    let is_lost = reached == 0 && tries >= 5 && first_reached * 10 >= first_turns * 9;
    if is_denied || is_lost {
        record.note("LOST: a turn that names a turn answered whole less than retention_s ago");
        return ExitCode::from(1);
    }
    // What reached an engine must be the whole chain.
    let prompt = lock(&runs).get("back-01").cloned().unwrap_or_default();
    let is_chain = (1..=TURNS).all(|number| prompt.contains(&format!("input of turn-{number:02}")));
    if reached == 0 || !is_chain {
        eprintln!("the case could not run: no verdict");
        return ExitCode::from(2);
    }
    ExitCode::SUCCESS
}
