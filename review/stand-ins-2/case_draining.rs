//! DRAIN: a stream that breaks off is taken up again at the same engine, although that engine has been draining for longer than
//! `drain_ms`.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const DRAIN: Duration = Duration::from_millis(2_000);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, 2, 3)?;
    deployment.configure(
        &[Route {
            name: "r-2b9wu3f",
            prefix: "/lohu930/",
            kind: "streaming",
            service: "map-agents",
            timeout_ms: 5_000,
            target_ms: 200,
            attempts: 1,
            retain: false,
            resumable: true,
        }],
        &["map-agents"],
        &[],
    );
    for _ in 0..3 {
        let engine = deployment.add_engine("map-agents")?;
        engine.set(|behaviour| {
            behaviour.events = 18;
            behaviour.gap = Duration::from_millis(200);
        });
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let mut call = Call::new("stream", "POST", "/lohu930/2f", 5_000);
    call.headers = vec![
        ("Ridgeworks-Model", "m".to_owned()),
        ("Ridgeworks-Token-Count", "1460,575".to_owned()),
        (
            "Ridgeworks-Prefix-Hash",
            "5c1e07a2:800,91bd3f06:410,e4402b7d:250".to_owned(),
        ),
    ];
    call.body = b"the input".to_vec();
    let (to, quiet) = (deployment.callers(0), record.clone());
    let sent = call.clone();
    let streaming = thread::spawn(move || sent.send(to, &quiet));
    thread::sleep(Duration::from_millis(300));
    let busy = deployment
        .engines
        .iter()
        .find(|engine| engine.busy() > 0)
        .cloned();
    let engine = busy.ok_or_else(|| cannot_run("no engine is at work"))?;
    engine.drain();
    let acknowledged = Instant::now();
    if has_trouble {
        // 13 events come within 2.7 s, then the engine breaks this stream off.
        engine.set(|behaviour| behaviour.breaks = Some((call.id.clone(), 13)));
    }
    let reply = streaming
        .join()
        .map_err(|_| cannot_run("the client failed"))?;
    let runs = deployment.runs.lock().unwrap().clone();
    let late = runs
        .iter()
        .filter(|run| run.engine == engine.id && run.at > acknowledged + DRAIN);
    let late: Vec<_> = late
        .map(|run| (run.request.clone(), run.at - acknowledged))
        .collect();
    record.say(&format!(
        "the stream: status {}, whole {}; requests that reached {} later than {} ms after it was draining: {late:?}",
        reply.status, reply.is_whole, engine.id, DRAIN.as_millis()
    ));
    let broken = late.first().map(|(request, after)| {
        format!("DRAIN: {request} reached an engine {} ms after the store had acknowledged it as draining", after.as_millis())
    });
    Ok(Verdict { broken })
}
