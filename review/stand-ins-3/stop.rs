//! A front machine is stopped in order (SIGTERM) while three clients receive answers of 8 MB through it. The line of each
//! client brings 10 Mbit/s.

#[path = "harness.rs"]
mod harness;

use std::sync::Arc;
use std::thread;

use harness::{Call, Deployment, Engine, Message, Work, has_trouble, ms, route};

fn main() {
    let size = 8_000_000;
    // 10 Mbit/s, in bytes a second.
    let rate = 1_250_000;
    let mut d = Deployment::new(4, 3);
    d.configure(
        3,
        &format!(
            "[{}]",
            route("file", "/file/", "idempotent", "files", 10_000, "")
        ),
    );
    let record = d.record.clone();
    let body = Arc::new(vec![b'm'; size]);
    let work = Arc::new(move |_: &Message| Work::Whole {
        body: body.clone(),
        after: ms(20),
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
        engine.register(&d.store, "files", zone);
    }
    d.start_all();
    if !d.wait_ready(3) {
        d.finish(2, "the deployment did not come up");
    }
    thread::sleep(ms(4_000));
    let to = d.fronts[0].front();
    let clients: Vec<_> = (0..3)
        .map(|index| {
            let record = record.clone();
            thread::spawn(move || {
                let mut call = Call::new("GET", "/file/map", &format!("map-{index}"), ms(9_500));
                call.bytes_per_s = Some(rate);
                record.line(format!("client {index} sends map-{index}"));
                let answer = call.send(to, |_| ());
                record.line(format!("client {index}: {}", answer.describe()));
                answer
            })
        })
        .collect();
    thread::sleep(ms(500));
    if has_trouble() {
        record.line("SIGTERM of the front machine that took the requests");
        d.fronts[0].signal("TERM");
    }
    let mut said = false;
    while !clients.iter().all(|client| client.is_finished()) {
        if let (false, Some(status)) = (said, d.fronts[0].ended()) {
            said = true;
            record.line(format!(
                "the process of the front machine has ended: {status}"
            ));
        }
        thread::sleep(ms(20));
    }
    let answers: Vec<_> = clients
        .into_iter()
        .map(|client| client.join().expect("a client"))
        .collect();
    let cut = answers
        .iter()
        .filter(|answer| !(answer.status == 200 && answer.whole))
        .count();
    if cut > 0 {
        d.finish(1, &format!("BROKEN: {cut} connections were closed in the middle of answers that an engine had given whole"));
    }
    d.finish(0, "HELD: all answers came whole")
}
