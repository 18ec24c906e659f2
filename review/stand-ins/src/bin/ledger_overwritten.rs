//! A storage machine is retired while another one is down; the others are killed meanwhile and return within a second.
//! Programs that had spent their budgets before go on afterwards.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ridgeworks_review_stand_ins::client::{Call, is_ready};
use ridgeworks_review_stand_ins::http::read_request;
use ridgeworks_review_stand_ins::json::Json;
use ridgeworks_review_stand_ins::node::{Deployment, STALE_SEED, model_service, route, with};
use ridgeworks_review_stand_ins::record::Record;
use ridgeworks_review_stand_ins::{has_trouble, lock};

/// Programs with one small turn, which fill the replicas' disks as a minute of traffic does.
const PROGRAMS: usize = 1_500;
/// Every so many of them spend the rest of their budget.
const SPENDER_EVERY: usize = 5;
const EVENT_TOKENS: u64 = 25;
const SMALL_TURN: u64 = 25;
const LARGE_TURN: u64 = 500;
const BUDGET: u64 = 1_050;
const DEADLINE_MS: u64 = 3_000;
const THREADS: usize = 24;

/// An engine that streams as many events as the turn may have.
fn serve(stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    while let Ok(Some(request)) = read_request(&mut reader) {
        let turn = request.header("ridgeworks-request-id").unwrap_or_default();
        let count = request.header("ridgeworks-token-count").unwrap_or("0,0");
        let most: u64 = count
            .split_once(',')
            .and_then(|(_, most)| most.parse().ok())
            .unwrap_or(0);
        let mut text = format!(
            "HTTP/1.1 200 OK\r\nRidgeworks-Request-Id: {turn}\r\nRidgeworks-Server-Seal: seal-{turn}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        for number in 1..=most / EVENT_TOKENS {
            let event = format!("id: {number}\ndata: {turn}.{number}\n\n");
            text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
        }
        text.push_str("0\r\n\r\n");
        if writer.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn start_engine(deployment: &Deployment, id: &str) -> Option<()> {
    let listener = TcpListener::bind((deployment.network.ip(251), 0)).ok()?;
    deployment.list_engine(
        id,
        "seat-agents",
        listener.local_addr().ok()?,
        16,
        "ready",
        1,
    );
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            std::thread::spawn(move || serve(stream));
        }
    });
    Some(())
}

struct Clients {
    gateways: Vec<SocketAddr>,
    record: Arc<Record>,
    sent: AtomicUsize,
    /// Tokens handed to clients, by program.
    tokens: Mutex<BTreeMap<usize, u64>>,
}

impl Clients {
    /// Sends one attempt at a turn; its status, 0 without an answer.
    fn attempt(&self, program: usize, most: u64) -> u16 {
        let number = self.sent.fetch_add(1, Ordering::SeqCst);
        let id = format!("r{number:06}");
        let call = Call::new("POST", "/chat/turn", &id, DEADLINE_MS)
            .header(
                "Ridgeworks-Program-Id",
                &format!("program-{:08x}", (program as u32).wrapping_mul(0x9e37_79b9)),
            )
            .header("Ridgeworks-Session-Id", &format!("session-{program}"))
            .header("Ridgeworks-Finish-Ms", "60000")
            .header("Ridgeworks-Token-Budget", &BUDGET.to_string())
            .header("Ridgeworks-Token-Count", &format!("100,{most}"))
            .header("Ridgeworks-Model", "m")
            .body(&format!("input of {id}"));
        let answer = call.send(self.gateways[number % self.gateways.len()]);
        let status = answer.as_ref().map_or(0, |answer| answer.status);
        let body = answer.map(|answer| answer.body).unwrap_or_default();
        let events = String::from_utf8_lossy(&body)
            .lines()
            .filter(|line| line.starts_with("data: "))
            .count() as u64;
        *lock(&self.tokens).entry(program).or_default() += events * EVENT_TOKENS;
        self.record.line(&format!(
            "client: {id} of program {program}, at most {most} tokens: {status}, {events} events"
        ));
        status
    }

    /// Sends a turn, again after a promise that it didn't run, until it is answered otherwise or the limit is reached.
    fn turn(&self, program: usize, most: u64, limit: Instant) -> u16 {
        loop {
            let status = self.attempt(program, most);
            if status != 503 || Instant::now() >= limit {
                return status;
            }
            std::thread::sleep(Duration::from_millis(150));
        }
    }

    /// Runs a task for each program, a few at a time.
    fn for_each(
        self: &Arc<Self>,
        programs: Vec<usize>,
        task: impl Fn(&Self, usize) + Send + Sync + 'static,
    ) {
        let queue = Arc::new(Mutex::new(programs));
        let task = Arc::new(task);
        let threads: Vec<_> = (0..THREADS)
            .map(|_| {
                let (clients, queue, task) =
                    (Arc::clone(self), Arc::clone(&queue), Arc::clone(&task));
                std::thread::spawn(move || {
                    loop {
                        let next = lock(&queue).pop();
                        let Some(program) = next else {
                            return;
                        };
                        task(&clients, program);
                    }
                })
            })
            .collect();
        for thread in threads {
            let _ = thread.join();
        }
    }
}

fn spenders() -> Vec<usize> {
    (0..PROGRAMS)
        .filter(|program| program % SPENDER_EVERY == 0)
        .collect()
}

fn set_of(object: &Json) -> Json {
    let spec = object.get("spec");
    spec.get("sets").items().first().unwrap_or(spec).clone()
}

fn cannot_run(why: &str) -> ExitCode {
    eprintln!("the case could not run: {why}");
    ExitCode::from(2)
}

/// The disruption. Returns why it could not be carried out.
fn disrupt(
    deployment: &mut Deployment,
    clients: &Arc<Clients>,
    record: &Record,
) -> Result<(), &'static str> {
    // replica-1 is down; programs go on with the other two.
    deployment.replicas[0].kill();
    let killed_at = Instant::now();
    record.note("replica-1 is killed");
    spend(clients);
    record.note(&format!(
        "budgets are spent, {:.2} s later",
        killed_at.elapsed().as_secs_f64()
    ));
    std::thread::sleep(Duration::from_millis(500));
    deployment.store.put(
        "retirements",
        "replica-3",
        Json::table([("duration_s", Json::number(8))]),
    );
    record.note(&format!(
        "the operator asks for replica-3 to be emptied, {:.2} s later",
        killed_at.elapsed().as_secs_f64()
    ));
    let is_changing = |object: &Json| !set_of(object).get("incoming").is_null();
    if !deployment.store.wait_for(
        "ridgeworks-replica-sets",
        "main",
        Duration::from_secs(10),
        is_changing,
    ) {
        return Err("the replica set did not begin to change");
    }
    record.note(&format!(
        "the replica set is changing, {:.2} s later",
        killed_at.elapsed().as_secs_f64()
    ));
    // The change waits for replica-1. Meanwhile the other two are killed at the same moment and return within a second.
    std::thread::sleep(Duration::from_millis(600));
    deployment.replicas[1].kill();
    deployment.replicas[2].kill();
    let all_killed_at = Instant::now();
    record.note("replica-2 and replica-3 are killed");
    deployment.replicas[0].start();
    record.note(&format!(
        "replica-1 starts, {:.2} s after it was killed",
        killed_at.elapsed().as_secs_f64()
    ));
    std::thread::sleep(Duration::from_millis(380));
    deployment.replicas[1].start();
    record.note(&format!(
        "replica-2 starts, {:.2} s after it was killed",
        all_killed_at.elapsed().as_secs_f64()
    ));
    std::thread::sleep(Duration::from_millis(540));
    deployment.replicas[2].start();
    record.note(&format!(
        "replica-3 starts, {:.2} s after it was killed",
        all_killed_at.elapsed().as_secs_f64()
    ));
    let is_emptied =
        |object: &Json| object.get("status").get("state").as_text() == Some("succeeded");
    if !deployment.store.wait_for(
        "retirements",
        "replica-3",
        Duration::from_secs(25),
        is_emptied,
    ) {
        return Err("the retirement did not succeed");
    }
    record.note(&format!(
        "replica-3 is emptied and removed, {:.2} s after the kill",
        all_killed_at.elapsed().as_secs_f64()
    ));
    deployment.replicas[2].kill();
    deployment.store.remove("retirements", "replica-3");
    Ok(())
}

/// Spenders take two large turns each, which fill their budgets.
fn spend(clients: &Arc<Clients>) {
    let limit = Instant::now() + Duration::from_secs(3);
    clients.for_each(spenders(), move |clients, program| {
        for _ in 0..2 {
            clients.turn(program, LARGE_TURN, limit);
        }
    });
}

fn main() -> ExitCode {
    let path = std::env::var("RECORD").unwrap_or_else(|_| "review/3/record.txt".to_owned());
    let record = Arc::new(Record::create(&path));
    let mut deployment = Deployment::new();
    // "`seeds` ... these may be down or stale."
    deployment.seed = STALE_SEED;
    let chat = with(
        route("chat", "/chat/", "streaming", "seat-agents", 1, DEADLINE_MS),
        "resumable",
        Json::Bool(true),
    );
    deployment.configure(
        3,
        vec![chat],
        vec![model_service("seat-agents", EVENT_TOKENS)],
    );
    for id in ["i-engine-1", "i-engine-2"] {
        if start_engine(&deployment, id).is_none() {
            return cannot_run("no free port");
        }
    }
    deployment.start_nodes(2, 3);
    if !deployment.wait_until_ready(3) {
        return cannot_run("the deployment did not get ready");
    }
    record.note("deployment is ready");
    let clients = Arc::new(Clients {
        gateways: deployment
            .gateways
            .iter()
            .map(|gateway| gateway.callers)
            .collect(),
        record: Arc::clone(&record),
        sent: AtomicUsize::new(0),
        tokens: Mutex::default(),
    });
    let limit = Instant::now() + Duration::from_secs(30);
    clients.for_each((0..PROGRAMS).collect(), move |clients, program| {
        clients.turn(program, SMALL_TURN, limit);
    });
    std::thread::sleep(Duration::from_millis(1_500));
    record.note("all programs have taken a small turn");
    if has_trouble() {
        if let Err(why) = disrupt(&mut deployment, &clients, &record) {
            return cannot_run(why);
        }
    } else {
        spend(&clients);
    }
    let until = Instant::now() + Duration::from_secs(20);
    while !deployment
        .gateways
        .iter()
        .all(|gateway| is_ready(gateway.readiness))
    {
        if Instant::now() > until {
            return cannot_run("the gateways did not get ready again");
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(1));
    let before: BTreeMap<usize, u64> = lock(&clients.tokens).clone();
    let spent = before
        .values()
        .filter(|tokens| **tokens == SMALL_TURN + 2 * LARGE_TURN)
        .count();
    record.note(&format!(
        "{spent} of {} programs have been handed {} tokens, of a budget of {BUDGET}",
        spenders().len(),
        SMALL_TURN + 2 * LARGE_TURN
    ));
    let denied = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&denied);
    let limit = Instant::now() + Duration::from_secs(10);
    clients.for_each(spenders(), move |clients, program| {
        for _ in 0..3 {
            let status = clients.turn(program, LARGE_TURN, limit);
            if status != 200 {
                counted.fetch_add(usize::from(status == 402), Ordering::SeqCst);
                return;
            }
        }
    });
    drop(deployment);
    let tokens = lock(&clients.tokens);
    let over: Vec<_> = tokens
        .iter()
        .filter(|(_, tokens)| **tokens > BUDGET + LARGE_TURN)
        .collect();
    for (program, tokens) in over.iter().take(20) {
        record.note(&format!(
            "BUDGET: program {program} was handed {tokens} tokens, of a budget of {BUDGET}"
        ));
    }
    record.note(&format!(
        "{} programs were handed more than {BUDGET} + {LARGE_TURN} tokens; {} were told 402",
        over.len(),
        denied.load(Ordering::SeqCst)
    ));
    if spent < spenders().len() / 2 {
        return cannot_run("too few programs had spent their budgets");
    }
    if over.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
