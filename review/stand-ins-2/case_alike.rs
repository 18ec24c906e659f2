//! DENIED: several engines crash at one moment while many clients ask for the same thing. From then on each proper request for it is
//! answered 400 by every machine.

use std::thread;
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const GATEWAYS: usize = 3;
const ENGINES: usize = 25;
/// 0.12 of the engines of the service.
const CRASHED: usize = 3;
const CLIENTS: usize = 15;
const PATH: &str = "/pule252/2f";

fn request() -> Call {
    Call::new("get", "GET", PATH, 2_000)
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, GATEWAYS, 3)?;
    deployment.configure(
        &[Route {
            name: "r-i9n73hh",
            prefix: "/pule252/",
            kind: "idempotent",
            service: "archive-app",
            timeout_ms: 2_000,
            target_ms: 400,
            attempts: 2,
            retain: false,
            resumable: false,
        }],
        &[],
        &["archive-app"],
    );
    for _ in 0..ENGINES {
        let engine = deployment.add_engine("archive-app")?;
        engine.set(|behaviour| behaviour.work = Duration::from_millis(150));
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    // Clients ask for the same thing at the same time, and some engines crash meanwhile.
    let asking: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (to, record) = (deployment.callers(number % GATEWAYS), record.clone());
            thread::spawn(move || request().send(to, &record))
        })
        .collect();
    thread::sleep(Duration::from_millis(60));
    if has_trouble {
        let busy: Vec<_> = deployment
            .engines
            .iter()
            .filter(|engine| engine.busy() > 0)
            .take(CRASHED)
            .cloned()
            .collect();
        if busy.len() < CRASHED {
            return Err(cannot_run("too few engines were at work"));
        }
        record.say(&format!(
            "{CRASHED} of {ENGINES} engines crash at the same moment"
        ));
        let crashing: Vec<_> = busy
            .into_iter()
            .map(|engine| thread::spawn(move || engine.crash()))
            .collect();
        crashing
            .into_iter()
            .for_each(|thread| thread.join().unwrap());
    }
    let first: Vec<u16> = asking
        .into_iter()
        .map(|thread| thread.join().unwrap().status)
        .collect();
    record.say(&format!("the {CLIENTS} requests under way got {first:?}"));
    let denied_first = first.iter().filter(|status| **status == 400).count();
    // Other clients ask for it later; all engines that are left are sound.
    thread::sleep(Duration::from_secs(5));
    let until = Instant::now() + Duration::from_secs(12);
    let mut number = 0;
    let (mut served, mut denied, mut other) = (0, denied_first, 0);
    while Instant::now() < until {
        let reply = request().send(deployment.callers(number % GATEWAYS), record);
        number += 1;
        match reply.status {
            400..=407 | 409..=420 | 422..=428 | 430..=499 if reply.seal.is_none() => denied += 1,
            200 if reply.is_served() => served += 1,
            _ => other += 1,
        }
        thread::sleep(Duration::from_millis(100));
    }
    let all = CLIENTS + number;
    let allowed = 5 + all / 500;
    record.say(&format!(
        "{number} later requests: {served} served, {other} others; of all {all} requests {denied} got a 4xx of a machine's own, allowed are {allowed}"
    ));
    let broken = (denied > allowed).then(|| {
        format!("DENIED: {denied} of {all} proper requests ended with a 4xx of the machines' own, allowed are {allowed}")
    });
    Ok(Verdict { broken })
}
