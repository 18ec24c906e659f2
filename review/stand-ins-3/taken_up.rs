//! A stream of kept turns is taken up by its client at another gateway, after its own was killed. What the system keeps
//! of the turn must be all of its events.

#[path = "harness.rs"]
mod harness;

use std::cell::Cell;
use std::sync::Arc;
use std::thread;

use harness::{
    Answer, Call, Deployment, Engine, Message, Run, Work, has_trouble, lock, ms, route, signal,
};

const EVENTS: usize = 8;

fn data_of(request: &Message) -> Vec<String> {
    // What an engine makes follows from the last input, so that any engine goes on where another one stopped.
    let body = String::from_utf8_lossy(&request.body).into_owned();
    let input = body
        .rsplit('<')
        .next()
        .unwrap_or_default()
        .trim_end_matches('>')
        .to_owned();
    (1..=EVENTS)
        .map(|number| format!("[{input} piece {number}]"))
        .collect()
}

fn turn(program: &str, id: &str, previous: Option<&str>, input: &str) -> Call {
    let call = Call::new("POST", "/talk/1", id, ms(5_000))
        .header("Ridgeworks-Program-Id", program)
        .header("Ridgeworks-Session-Id", format!("{program}-s"))
        .header("Ridgeworks-Finish-Ms", 30_000)
        .header("Ridgeworks-Token-Budget", 100_000)
        .header("Ridgeworks-Model", "m")
        .header("Ridgeworks-Token-Count", "100,200")
        .header("Ridgeworks-Prefix-Hash", "5c1e07a2:100")
        .body(input);
    match previous {
        Some(previous) => call.header("Ridgeworks-Previous-Turn", previous),
        None => call,
    }
}

fn main() {
    let mut d = Deployment::new(8, 3);
    let kept = ",\"retain\":true,\"retention_s\":60.0,\"resumable\":true,\"gap_aim_ms\":300";
    d.configure(
        3,
        &format!(
            "[{}]",
            route("talk", "/talk/", "streaming", "models", 5_000, kept)
        ),
    );
    let record = d.record.clone();
    let work = Arc::new(|request: &Message| Work::Stream {
        data: data_of(request),
        first: ms(20),
        gap: ms(100),
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
    let runs = || -> Vec<Run> {
        engines
            .iter()
            .flat_map(|engine| lock(&engine.runs).clone())
            .collect()
    };
    let say = |what: &str, answer: &Answer| {
        let ids: Vec<u64> = answer.events().iter().map(|(id, _)| *id).collect();
        record.line(format!("{what}: {}, events {ids:?}", answer.describe()));
    };

    // The first turn of the program.
    let first = turn("p1", "turn-1", None, "<question one>").send(d.fronts[0].front(), |_| ());
    say("turn-1 through the first front machine", &first);
    if first.status != 200 || !first.whole {
        d.finish(2, "the first turn was not served");
    }

    // The second one. Its front machine is killed after the third event.
    let pid = d.fronts[1].pid();
    let killed = Cell::new(false);
    let begun = turn("p1", "turn-2", Some("turn-1"), "<question two>").send(
        d.fronts[1].front(),
        |answer| {
            if has_trouble() && !killed.get() && answer.events().len() >= 3 {
                killed.set(true);
                record.line(format!(
                    "SIGKILL of the second front machine, process {pid}"
                ));
                signal(pid, "KILL");
            }
        },
    );
    say("turn-2 through the second front machine", &begun);
    d.fronts[1].ended();
    let mut seen = begun.events();
    let mut kept_id = "turn-2".to_owned();
    let mut whole = begun.status == 200 && begun.whole;
    // Its client takes the stream up at another front machine, or sends the turn again from its start where it is refused.
    for attempt in 0..4 {
        if whole {
            break;
        }
        thread::sleep(ms(200));
        let last = seen.last().map_or(0, |(id, _)| *id);
        kept_id = format!("turn-2-again-{attempt}");
        let mut call = turn("p1", &kept_id, Some("turn-1"), "<question two>");
        if last > 0 {
            call = call.header("Last-Event-Id", last);
        }
        let answer = call.send(d.fronts[2 + attempt].front(), |_| ());
        say(
            &format!("{kept_id} through another front machine, Last-Event-Id {last}"),
            &answer,
        );
        if answer.status == 200 {
            seen.extend(answer.events());
        } else if answer.status != 0 {
            // Refused: a new stream from the start.
            seen.clear();
        }
        whole = answer.status == 200 && answer.whole;
    }
    if !whole {
        d.finish(2, "the second turn was not served");
    }
    if killed.get() {
        thread::sleep(ms(500));
        d.fronts[1].kill();
        d.fronts[1].start();
    }
    let ids: Vec<u64> = seen.iter().map(|(id, _)| *id).collect();
    record.line(format!(
        "turn-2 was answered whole as {kept_id}; its client has the events {ids:?}"
    ));
    if ids != (1..=EVENTS as u64).collect::<Vec<u64>>() {
        d.finish(2, "the client's events are not those of one stream");
    }

    // The third turn goes on from it, well after the kill.
    thread::sleep(ms(3_500));
    let third =
        turn("p1", "turn-3", Some(&kept_id), "<question three>").send(d.fronts[7].front(), |_| ());
    say("turn-3 through the last front machine", &third);
    let output = |events: &[(u64, String)]| {
        events
            .iter()
            .map(|(_, data)| format!("{data}\n"))
            .collect::<String>()
    };
    let expected = format!(
        "<question one>{}<question two>{}<question three>",
        output(&first.events()),
        output(&seen)
    );
    let all = runs();
    let Some(run) = all.iter().find(|run| run.id() == "turn-3") else {
        d.finish(0, "turn-3 reached no engine: nothing ran with another body");
    };
    let got = String::from_utf8_lossy(&run.request.body).into_owned();
    record.line(format!("an engine has to get: {expected:?}"));
    record.line(format!("an engine got:        {got:?}"));
    if got == expected {
        d.finish(0, "HELD: the engine got the chain's inputs and outputs");
    }
    d.finish(1, "BROKEN: an engine ran a turn whose body isn't the chain's earlier inputs and outputs and then the new input")
}
