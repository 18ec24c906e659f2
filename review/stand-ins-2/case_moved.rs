//! DENIED: the operator moves a route to another service while turns are under way. What these have generated is reckoned by the new
//! configuration, which does not have their service any more, and so as many times what it was: the next turns are answered 402.

use std::thread;
use std::time::Duration;

use crate::case_reservation::Program;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const PROGRAMS: usize = 12;
const GATEWAYS: usize = 3;

fn route(service: &'static str) -> Route {
    Route {
        name: "r-2b9wu3f",
        prefix: "/pufi791/",
        kind: "streaming",
        service,
        timeout_ms: 3_000,
        target_ms: 200,
        attempts: 2,
        retain: true,
        resumable: false,
    }
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, GATEWAYS, 3)?;
    deployment.configure(&[route("map-agents")], &["map-agents"], &[]);
    for service in ["map-agents", "map-agents-b"] {
        for _ in 0..4 {
            let engine = deployment.add_engine(service)?;
            engine.set(|behaviour| behaviour.gap = Duration::from_millis(100));
        }
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    // The first turns of all programs, 1.1 s each.
    let turns: Vec<_> = (0..PROGRAMS)
        .map(|number| {
            let (to, record) = (deployment.callers(number % GATEWAYS), record.clone());
            thread::spawn(move || {
                let mut program = Program::new();
                let call = program.turn("input 1;");
                let reply = call.send(to, &record);
                let is_served = reply.is_served();
                program.take(&call, &reply);
                is_served.then_some(program)
            })
        })
        .collect();
    thread::sleep(Duration::from_millis(500));
    if has_trouble {
        deployment.configure(&[route("map-agents-b")], &["map-agents-b"], &[]);
        record.say("the operator moves the route to another service; the configuration does not have the first one any more");
    }
    let programs: Option<Vec<Program>> =
        turns.into_iter().map(|turn| turn.join().unwrap()).collect();
    let programs = programs.ok_or_else(|| cannot_run("a first turn was not served"))?;
    thread::sleep(Duration::from_secs(4));
    let (mut denied, mut served, mut other) = (0, 0, 0);
    for (number, program) in programs.iter().enumerate() {
        let call = program.turn("input 2;");
        let reply = call.send(deployment.callers((number + 1) % GATEWAYS), record);
        match reply.status {
            400..=407 | 409..=420 | 422..=428 | 430..=499 if reply.seal.is_none() => denied += 1,
            200 if reply.is_served() => served += 1,
            _ => other += 1,
        }
    }
    let spent: Vec<u64> = programs.iter().map(|program| program.spent).collect();
    let all = 2 * PROGRAMS;
    let allowed = 5 + all / 500;
    record.say(&format!(
        "tokens that the programs had generated: {spent:?}; of {PROGRAMS} next turns {served} were served, {other} got others, {denied} a 4xx of a machine's own, allowed are {allowed}"
    ));
    let broken = (denied > allowed).then(|| {
        format!("DENIED: {denied} of {all} proper requests ended with a 4xx of the machines' own, allowed are {allowed}")
    });
    Ok(Verdict { broken })
}
