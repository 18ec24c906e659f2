//! Four of 29 servers of a plain service crash at once while clients call it, each with the same GET. The other 25 are
//! sound, and the clients' requests are proper.

#[path = "harness.rs"]
mod harness;

use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use harness::{Call, Deployment, Engine, Message, Work, has_trouble, lock, ms, route};

const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

fn main() {
    let mut d = Deployment::new(8, 3);
    d.configure(
        3,
        &format!(
            "[{}]",
            route("report", "/report/", "idempotent", "files", 4_000, "")
        ),
    );
    let record = d.record.clone();
    let body = Arc::new(b"the report of today".to_vec());
    let work = Arc::new(move |_: &Message| Work::Whole {
        body: body.clone(),
        after: ms(600),
    });
    let start = |index: u8, id: String| {
        Engine::start(d.ip(130 + index), &id, &record, work.clone()).expect("an engine")
    };
    let engines: Vec<Engine> = (0..29u8)
        .map(|index| start(index, format!("i-{index}")))
        .collect();
    for (index, engine) in engines.iter().enumerate() {
        engine.register(&d.store, "files", ZONES[index % 3]);
    }
    let ip_of_new = d.ip(160);
    d.start_all();
    if !d.wait_ready(3) {
        d.finish(2, "the deployment did not come up");
    }
    thread::sleep(ms(4_000));

    // Clients of no program: twenty requests a second in all, over all front machines, for 40 s. Each attempt is its own
    // request; after a 400 a client does not try again, after another failure it does once, elsewhere.
    let fronts: Vec<_> = d.fronts.iter().map(|front| front.front()).collect();
    let statuses: Arc<Mutex<Vec<(Duration, u16)>>> = Arc::default();
    let began = Instant::now();
    let mut clients = Vec::new();
    let mut crashed_at = None;
    for number in 0..800usize {
        let due = ms(50 * number as u64);
        thread::sleep(due.saturating_sub(began.elapsed()));
        if number == 120 && has_trouble() {
            // Four servers of one rack, all at work.
            let busy = engines
                .iter()
                .filter(|engine| engine.running.load(Ordering::SeqCst) > 0);
            let rack: Vec<Engine> = busy.take(4).cloned().collect();
            let names: Vec<&str> = rack.iter().map(|engine| engine.id.as_str()).collect();
            record.line(format!("crash of the servers {names:?}"));
            rack.iter().for_each(Engine::crash);
            crashed_at = Some(began.elapsed());
            let (store, record, work) = (d.store.clone(), record.clone(), work.clone());
            thread::spawn(move || {
                // Three heartbeats later their entries are gone; after 4.5 s other servers start.
                thread::sleep(ms(3_600));
                rack.iter().for_each(|engine| {
                    store.remove("servers", &engine.id);
                });
                thread::sleep(ms(900));
                for index in 0..4 {
                    let id = format!("i-new-{index}");
                    let engine =
                        Engine::start(ip_of_new, &id, &record, work.clone()).expect("an engine");
                    engine.register(&store, "files", ZONES[index % 3]);
                    record.line(format!("server {id} has started"));
                }
            });
        }
        let (fronts, statuses, record) = (fronts.clone(), statuses.clone(), record.clone());
        clients.push(thread::spawn(move || {
            for attempt in 0..2 {
                let call = Call::new(
                    "GET",
                    "/report/today",
                    &format!("r{number}-{attempt}"),
                    ms(4_000),
                );
                let sent = began.elapsed();
                let answer = call.send(fronts[(number + attempt) % fronts.len()], |_| ());
                record.line(format!("r{number}-{attempt}: {}", answer.describe()));
                lock(&statuses).push((sent, answer.status));
                if answer.status == 400 || (answer.status == 200 && answer.whole) {
                    return;
                }
                let wait = answer
                    .head
                    .header("retry-after")
                    .and_then(|after| after.parse().ok());
                thread::sleep(Duration::from_secs_f64(wait.unwrap_or(0.1)));
            }
        }));
    }
    for client in clients {
        let _ = client.join();
    }
    let statuses = lock(&statuses).clone();
    let mut counts: BTreeMap<u16, usize> = BTreeMap::new();
    statuses
        .iter()
        .for_each(|(_, status)| *counts.entry(*status).or_default() += 1);
    record.line(format!("{} requests, by status {counts:?}", statuses.len()));
    // "Machines in touch": the crash of a server is no disruption of a front machine. Only what was sent over 3 s after it
    // is counted here, all the same.
    let after = crashed_at.map_or(Duration::MAX, |at| at + ms(3_000));
    let denied = statuses
        .iter()
        .filter(|(sent, status)| *status == 400 && *sent > after)
        .count();
    record.line(format!(
        "{denied} requests that were sent over 3 s after the crash were answered 400"
    ));
    if denied > 5 + statuses.len() / 500 {
        d.finish(1, "BROKEN: proper requests that the configuration allows end with a 4xx of the system's own");
    }
    d.finish(0, "HELD")
}
