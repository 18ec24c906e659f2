//! RECOVER: engines lose the answers of some requests, and then all processes are killed. The permits of the sends whose answers were
//! lost stay open, so that no request for the same thing is served after the fault.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::Call;
use crate::deployment::{Deployment, Route};
use crate::record::Record;
use crate::{Outcome, Verdict, cannot_run};

const GATEWAYS: usize = 3;
const ENGINES: usize = 4;
/// 0.5 of the engines; they lose the answers of 0.055 of the requests that they run.
const LOSING: usize = 2;
const ONE_IN: u64 = 18;
/// The fault comes when so many answers were lost lately.
const LOST: usize = 4;
const LATELY: Duration = Duration::from_millis(3_500);
const RECOVER: Duration = Duration::from_secs(12);
const PATH: &str = "/pule252/2f";

fn mode() -> String {
    std::env::var("TROUBLE").unwrap_or_default()
}

/// One request as clients of idempotent requests make it: again after any failure, once.
fn ask(deployment_callers: &[std::net::SocketAddr], number: usize, record: &Record) -> bool {
    for attempt in 0..2 {
        let call = Call::new("get", "GET", PATH, 1_200);
        let reply = call.send(
            deployment_callers[(number + attempt) % deployment_callers.len()],
            record,
        );
        if reply.is_served() {
            return true;
        }
        let wait = reply.retry_after.unwrap_or(0.05).min(0.4);
        thread::sleep(Duration::from_secs_f64(wait));
    }
    false
}

pub fn play(record: &Record, has_trouble: bool) -> Outcome {
    let mut deployment = Deployment::start(record, GATEWAYS, 3)?;
    deployment.configure(
        &[Route {
            name: "r-i9n73hh",
            prefix: "/pule252/",
            kind: "idempotent",
            service: "slope-notify",
            timeout_ms: 1_200,
            target_ms: 80,
            attempts: 2,
            retain: false,
            resumable: false,
        }],
        &[],
        &["slope-notify"],
    );
    for _ in 0..ENGINES {
        let engine = deployment.add_engine("slope-notify")?;
        engine.set(|behaviour| behaviour.work = Duration::from_millis(10));
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
    // Ten clients, each with some requests a second.
    let clients: Vec<_> = (0..10)
        .map(|client| {
            let (callers, record, is_over) =
                (callers.clone(), record.clone(), Arc::clone(&is_over));
            thread::spawn(move || {
                let mut asked = Vec::new();
                let mut number = client;
                while !is_over.load(Ordering::SeqCst) {
                    let at = Instant::now();
                    let is_served = ask(&callers, number, &record);
                    asked.push((at, is_served));
                    number += 1;
                    thread::sleep(Duration::from_millis(180));
                }
                asked
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(4));
    if has_trouble {
        let losing = if mode() == "kill" { 0 } else { LOSING };
        for engine in &deployment.engines[..losing] {
            engine.set(|behaviour| behaviour.loses_one_in = Some(ONE_IN));
        }
        record.say(&format!("{losing} of {ENGINES} engines lose the answers of one in {ONE_IN} of the requests that they run"));
        let until = Instant::now() + Duration::from_secs(6);
        let lost = |time| {
            deployment
                .engines
                .iter()
                .map(|engine| engine.lost_within(time))
                .sum::<usize>()
        };
        while Instant::now() < until && lost(LATELY) < LOST {
            thread::sleep(Duration::from_millis(10));
        }
        // The gateways notice an answer that does not come after some 0.3 s.
        thread::sleep(Duration::from_millis(600));
    } else {
        thread::sleep(Duration::from_secs(4));
    }
    let fault = Instant::now();
    // TROUBLE=loss leaves out the final fault, TROUBLE=kill the lost answers.
    if has_trouble && mode() != "loss" {
        deployment.kill_all(Duration::from_millis(1_000))?;
    }
    let back = Instant::now();
    for engine in &deployment.engines {
        engine.set(|behaviour| behaviour.loses_one_in = None);
    }
    record.line("all engines are sound from now on");
    thread::sleep(RECOVER + Duration::from_secs(14));
    is_over.store(true, Ordering::SeqCst);
    let asked: Vec<(Instant, bool)> = clients
        .into_iter()
        .flat_map(|client| client.join().unwrap())
        .collect();
    let count = |from: Instant, to: Instant| {
        let within = asked.iter().filter(|(at, _)| *at >= from && *at < to);
        let (all, served) = within.fold((0, 0), |(all, served), (_, is_served)| {
            (all + 1, served + usize::from(*is_served))
        });
        (all, served)
    };
    let (all_before, served_before) = count(before, fault);
    let (all_after, served_after) = count(back + RECOVER, back + RECOVER + Duration::from_secs(30));
    record.say(&format!(
        "before the final fault {served_before} of {all_before} were served; of those sent more than {} s after the machines were back {served_after} of {all_after}",
        RECOVER.as_secs()
    ));
    if all_after < 20 || served_before * 4 < all_before {
        return Err(cannot_run("too few requests"));
    }
    let broken = (served_after * 4 < all_after).then(|| {
        format!("RECOVER: {served_before} of {all_before} requests served before the final fault, {served_after} of {all_after} after recover_s")
    });
    Ok(Verdict { broken })
}
