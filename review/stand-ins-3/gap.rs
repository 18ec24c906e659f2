//! A program comes back within `retention_s` of its last turn, and its next turn takes half a minute. What it was told is
//! acknowledged whole, and must be there when it goes on.

#[path = "harness.rs"]
mod harness;

use std::sync::Arc;
use std::thread;
use std::time::Instant;

use harness::{Call, Deployment, Engine, Message, Work, has_trouble, lock, ms, route};

/// The program's aim, from its begin.
const AIM_MS: u64 = 180_000;
/// How long the program stays away after its first turn; `retention_s` is 60.
const AWAY_MS: u64 = 58_500;
const SHORTLY_MS: u64 = 4_000;
/// Events of the long turn, and the time between two of them.
const EVENTS: usize = 18;
const GAP_MS: u64 = 2_000;

fn turn(began: Instant, program: &str, id: &str, previous: Option<&str>, input: &str) -> Call {
    let left = ms(AIM_MS).saturating_sub(began.elapsed()).as_millis();
    let call = Call::new("POST", "/talk/1", id, ms(44_000))
        .header("Ridgeworks-Program-Id", program)
        .header("Ridgeworks-Session-Id", format!("{program}-s"))
        .header("Ridgeworks-Finish-Ms", left)
        .header("Ridgeworks-Token-Budget", 100_000)
        .header("Ridgeworks-Model", "m")
        .header("Ridgeworks-Token-Count", "100,450")
        .header("Ridgeworks-Prefix-Hash", "5c1e07a2:100")
        .body(input);
    match previous {
        Some(previous) => call.header("Ridgeworks-Previous-Turn", previous),
        None => call,
    }
}

fn main() {
    let mut d = Deployment::new(8, 3);
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"resumable\":false,\"gap_aim_ms\":300";
    d.configure(
        3,
        &format!(
            "[{}]",
            route("talk", "/talk/", "streaming", "models", 45_000, kept)
        ),
    );
    let record = d.record.clone();
    let work = Arc::new(|request: &Message| {
        let is_long = request.body.ends_with(b"<two>");
        let (events, gap) = if is_long { (EVENTS, GAP_MS) } else { (4, 50) };
        Work::Stream {
            data: (1..=events)
                .map(|number| format!("[piece {number}]"))
                .collect(),
            first: ms(20),
            gap: ms(gap),
        }
    });
    let engines: Vec<Engine> = (0..3u8)
        .map(|index| {
            Engine::start(
                d.ip(200 + index),
                &format!("i-{index}"),
                &record,
                work.clone(),
            )
            .expect("an engine")
        })
        .collect();
    for (engine, zone) in engines.iter().zip(["zone-a", "zone-b", "zone-c"]) {
        engine.register(&d.store, "models", zone);
    }
    d.start_all();
    if !d.wait_ready(3) {
        d.finish(2, "the deployment did not come up");
    }
    thread::sleep(ms(1_500));
    let has_run = |id: &str| {
        engines
            .iter()
            .any(|engine| lock(&engine.runs).iter().any(|run| run.id() == id))
    };
    let began = Instant::now();
    let first = turn(began, "p1", "turn-1", None, "<one>").send(d.fronts[0].front(), |_| ());
    record.line(format!("turn-1: {}", first.describe()));
    if first.status != 200 || !first.whole {
        d.finish(2, "the first turn was not served");
    }
    let away = if has_trouble() { AWAY_MS } else { SHORTLY_MS };
    record.line(format!("the program stays away for {away} ms"));
    thread::sleep(ms(away));
    let second =
        turn(began, "p1", "turn-2", Some("turn-1"), "<two>").send(d.fronts[1].front(), |_| ());
    record.line(format!("turn-2: {}", second.describe()));
    if second.status != 200 || !second.whole {
        d.finish(2, "the second turn was not served");
    }
    let answered = Instant::now();
    // The third turn, sent again after each refusal; beside each try a first turn of another program.
    let (mut tries, mut gone, mut firsts, mut firsts_run, mut served) = (0, 0, 0, 0, false);
    for number in 0..6 {
        thread::sleep(ms(700));
        let front = d.fronts[(2 + number) % 8].front();
        let id = format!("q{number}-turn-1");
        let other =
            turn(Instant::now(), &format!("q{number}"), &id, None, "<one>").send(front, |_| ());
        record.line(format!(
            "{id}, the first turn of another program: {}",
            other.describe()
        ));
        firsts += 1;
        firsts_run += usize::from(has_run(&id));
        let id = format!("turn-3-{number}");
        let answer = turn(began, "p1", &id, Some("turn-2"), "<three>").send(front, |_| ());
        record.line(format!(
            "{id}, {} ms after turn-2 was answered whole: {}",
            answered.elapsed().as_millis(),
            answer.describe()
        ));
        tries += 1;
        gone += usize::from(matches!(answer.status, 404 | 410));
        served = has_run(&id);
        if served || matches!(answer.status, 400..=404 | 410 | 413) {
            break;
        }
    }
    record.line(format!(
        "the third turn: {tries} tries, {gone} answered 404 or 410, reached an engine: {served}; {firsts_run} of {firsts} first turns reached one"
    ));
    if gone > 0 {
        d.finish(
            1,
            "BROKEN: 404 for a turn that names one answered whole less than `retention_s` ago",
        );
    }
    if !served && tries >= 5 && firsts_run * 10 >= firsts * 9 {
        d.finish(1, "BROKEN: a turn that names one answered whole less than `retention_s` ago reaches no engine in five tries and more");
    }
    d.finish(
        if served { 0 } else { 2 },
        if served {
            "HELD"
        } else {
            "neither served nor tried five times"
        },
    )
}
