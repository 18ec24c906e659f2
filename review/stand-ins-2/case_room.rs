//! RECOVER: ordinary turns fill the memory that replicas have for them before the first ones may be dropped. From then on no turn
//! that is kept ends any more: engines run each of them, and each is broken off at its end.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::case_reservation::Program;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const GATEWAYS: usize = 3;
const CLIENTS: usize = 28;
/// Bytes of a turn's input, as on average at sbmsu-ridge, and small ones without the trouble.
const INPUT: usize = 17_000;
const SMALL_INPUT: usize = 600;
const TRAFFIC: Duration = Duration::from_secs(66);
const RECOVER: Duration = Duration::from_secs(12);

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, GATEWAYS, 3)?;
    deployment.configure(
        &[Route {
            name: "r-2b9wu3f",
            prefix: "/pufi791/",
            kind: "streaming",
            service: "map-agents",
            timeout_ms: 3_000,
            target_ms: 200,
            attempts: 2,
            retain: true,
            resumable: false,
        }],
        &["map-agents"],
        &[],
    );
    for _ in 0..8 {
        let engine = deployment.add_engine("map-agents")?;
        engine.set(|behaviour| behaviour.events = 3);
    }
    if !deployment.wait_until_ready(Duration::from_secs(20)) {
        return Err(cannot_run("the deployment is not ready"));
    }
    thread::sleep(Duration::from_secs(4));
    let callers: Vec<_> = (0..GATEWAYS)
        .map(|gateway| deployment.callers(gateway))
        .collect();
    let is_over = Arc::new(AtomicBool::new(false));
    let before = Instant::now();
    let bytes = if has_trouble { INPUT } else { SMALL_INPUT };
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (callers, record, is_over) =
                (callers.clone(), record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut sent = Vec::new();
                let mut number = client;
                while !is_over.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let call = Program::new().turn(&"x".repeat(bytes));
                    let reply = call.send(callers[number % callers.len()], &record);
                    sent.push((at, reply.is_served()));
                    number += 1;
                    thread::sleep(Duration::from_millis(400));
                }
                sent
            })
        })
        .collect();
    thread::sleep(TRAFFIC);
    let fault = Instant::now();
    deployment.kill_all(Duration::from_millis(1_000))?;
    let back = Instant::now();
    thread::sleep(RECOVER + Duration::from_secs(8));
    is_over.store(true, Ordering::SeqCst);
    let sent: Vec<(Instant, bool)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let count = |from: Instant, to: Instant| {
        let within = sent.iter().filter(|(at, _)| *at >= from && *at < to);
        within.fold((0, 0), |(all, served), (_, is_served)| {
            (all + 1, served + usize::from(*is_served))
        })
    };
    let (all_before, served_before) = count(before, fault);
    let (all_after, served_after) = count(back + RECOVER, back + RECOVER + Duration::from_secs(30));
    record.say(&format!(
        "before the final fault {served_before} of {all_before} turns were served; of those sent more than {} s after the machines were back {served_after} of {all_after}",
        RECOVER.as_secs()
    ));
    if all_after < 20 || served_before * 4 < all_before {
        return Err(cannot_run("too few turns"));
    }
    let broken = (served_after * 4 < all_after).then(|| {
        format!("RECOVER: {served_before} of {all_before} turns served before the final fault, {served_after} of {all_after} after recover_s")
    });
    Ok(Verdict { broken })
}
