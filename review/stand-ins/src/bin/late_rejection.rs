//! Engines that are full reject requests. During a disruption of five seconds one of the two engines sends one answer
//! too many for three answers in a hundred: a copy of the answer, in the place where the next one is due.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use ridgeworks_review_stand_ins::client::Call;
use ridgeworks_review_stand_ins::http::{Request, read_request};
use ridgeworks_review_stand_ins::node::{Deployment, plain_service, route};
use ridgeworks_review_stand_ins::record::Record;
use ridgeworks_review_stand_ins::{has_trouble, lock};

/// Slots of an engine of `creche-files`, and the requests that it queues beyond that.
const SLOTS: usize = 6;
const QUEUE: usize = 4;
const WORK: Duration = Duration::from_millis(39);
/// Share of the answers with one too many: 3 in 100.
const EXTRA_EVERY: u64 = 34;
const CLIENTS: usize = 48;
const DISRUPTION: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 2_000;

struct Engine {
    id: String,
    address: SocketAddr,
    open: Mutex<usize>,
    slots: Mutex<usize>,
    answers: AtomicU64,
    extras: AtomicU64,
    is_disrupted: AtomicBool,
    record: Arc<Record>,
    /// Runs by request id, over all engines.
    runs: Arc<Mutex<BTreeMap<String, Vec<String>>>>,
}

impl Engine {
    /// Whether the engine takes the request, or is full.
    fn admit(&self) -> bool {
        let mut open = lock(&self.open);
        let admits = *open < SLOTS + QUEUE;
        *open += usize::from(admits);
        admits
    }

    fn run(&self, id: &str) {
        while {
            let mut busy = lock(&self.slots);
            let waits = *busy >= SLOTS;
            *busy += usize::from(!waits);
            waits
        } {
            std::thread::sleep(Duration::from_millis(1));
        }
        self.record.line(&format!("engine {} runs {id}", self.id));
        lock(&self.runs)
            .entry(id.to_owned())
            .or_default()
            .push(self.id.clone());
        std::thread::sleep(WORK);
        *lock(&self.slots) -= 1;
        *lock(&self.open) -= 1;
    }

    fn answer(&self, request: &Request) -> Option<String> {
        let id = request.header("ridgeworks-request-id").unwrap_or_default();
        let expected = request.header("ridgeworks-expect-instance");
        if expected.is_some_and(|expected| expected != self.id) {
            return Some(format!(
                "HTTP/1.1 421 Misdirected Request\r\nRidgeworks-Request-Id: {id}\r\nRidgeworks-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                self.id
            ));
        }
        if !self.admit() {
            self.record
                .line(&format!("engine {} is full, rejects {id}", self.id));
            return Some(format!(
                "HTTP/1.1 503 Service Unavailable\r\nRidgeworks-Request-Id: {id}\r\nRidgeworks-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
            ));
        }
        self.run(id);
        let body = format!("done {id}");
        Some(format!(
            "HTTP/1.1 200 OK\r\nRidgeworks-Request-Id: {id}\r\nRidgeworks-Server-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))
    }
}

fn serve(stream: TcpStream, engine: &Engine) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let mut late: Option<String> = None;
    while let Ok(Some(request)) = read_request(&mut reader) {
        if let Some(copy) = late.take() {
            let id = request.header("ridgeworks-request-id").unwrap_or_default();
            let first = copy.lines().take(2).collect::<Vec<_>>().join(" / ");
            engine.record.line(&format!(
                "engine {} sends one answer too many where that of {id} is due: {first}",
                engine.id
            ));
            if writer.write_all(copy.as_bytes()).is_err() {
                return;
            }
        }
        let Some(answer) = engine.answer(&request) else {
            return;
        };
        let count = engine.answers.fetch_add(1, Ordering::SeqCst) + 1;
        if engine.is_disrupted.load(Ordering::SeqCst) && count.is_multiple_of(EXTRA_EVERY) {
            engine.extras.fetch_add(1, Ordering::SeqCst);
            late = Some(answer.clone());
        }
        if writer.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn start_engine(
    deployment: &Deployment,
    id: &str,
    record: &Arc<Record>,
    runs: &Arc<Mutex<BTreeMap<String, Vec<String>>>>,
) -> Option<Arc<Engine>> {
    let listener = TcpListener::bind((deployment.network.ip(251), 0)).ok()?;
    let engine = Arc::new(Engine {
        id: id.to_owned(),
        address: listener.local_addr().ok()?,
        open: Mutex::new(0),
        slots: Mutex::new(0),
        answers: AtomicU64::new(0),
        extras: AtomicU64::new(0),
        is_disrupted: AtomicBool::new(false),
        record: Arc::clone(record),
        runs: Arc::clone(runs),
    });
    let serving = Arc::clone(&engine);
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let engine = Arc::clone(&serving);
            std::thread::spawn(move || serve(stream, &engine));
        }
    });
    Some(engine)
}

/// One client: sends requests that may run once, and retries only after a promise, with another id, as the pages say.
fn client(
    number: usize,
    gateways: Vec<SocketAddr>,
    until: Instant,
    record: Arc<Record>,
    answers: Arc<Mutex<BTreeMap<String, u16>>>,
) {
    let mut count = 0;
    while Instant::now() < until {
        for attempt in 0..2_usize {
            count += 1;
            let id = format!("c{number:02}-{count:04}");
            let call = Call::new("POST", "/once/change", &id, DEADLINE_MS)
                .header("Ridgeworks-Affinity-Key", &number.to_string());
            record.line(&format!("client sends {id}"));
            let answer = call
                .body("a change")
                .send(gateways[(number + attempt) % gateways.len()]);
            let status = answer.as_ref().map_or(0, |answer| answer.status);
            record.line(&format!("client gets {status} for {id}"));
            lock(&answers).insert(id, status);
            if status != 503 {
                break;
            }
            let after = answer.and_then(|answer| {
                answer
                    .header("retry-after")
                    .and_then(|after| after.parse::<f64>().ok())
            });
            std::thread::sleep(Duration::from_secs_f64(
                after.unwrap_or(0.1).clamp(0.0, 0.6),
            ));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
}

fn main() -> ExitCode {
    let record = Arc::new(Record::create(
        &std::env::var("RECORD").unwrap_or_else(|_| "review/1/record.txt".to_owned()),
    ));
    let runs = Arc::new(Mutex::new(BTreeMap::new()));
    let answers = Arc::new(Mutex::new(BTreeMap::new()));
    let mut deployment = Deployment::new();
    deployment.configure(
        3,
        vec![route(
            "once",
            "/once/",
            "non_idempotent",
            "creche-files",
            1,
            DEADLINE_MS,
        )],
        vec![plain_service("creche-files")],
    );
    let engines: Vec<_> = ["i-engine-1", "i-engine-2"]
        .iter()
        .filter_map(|id| start_engine(&deployment, id, &record, &runs))
        .collect();
    if engines.len() < 2 {
        eprintln!("the case could not run: no free port");
        return ExitCode::from(2);
    }
    for engine in &engines {
        deployment.list_engine(
            &engine.id,
            "creche-files",
            engine.address,
            SLOTS as u64,
            "ready",
            1,
        );
    }
    deployment.start_nodes(2, 3);
    if !deployment.wait_until_ready(3) {
        eprintln!("the case could not run: the deployment did not get ready");
        return ExitCode::from(2);
    }
    record.note("deployment is ready");
    std::thread::sleep(Duration::from_secs(4));
    let gateways: Vec<SocketAddr> = deployment
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let until = Instant::now() + Duration::from_secs(9);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (gateways, record, answers) =
                (gateways.clone(), Arc::clone(&record), Arc::clone(&answers));
            std::thread::spawn(move || client(number, gateways, until, record, answers))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(2));
    let before = engines[0].answers.load(Ordering::SeqCst);
    record.note(if has_trouble() {
        "disruption begins"
    } else {
        "no disruption"
    });
    engines[0]
        .is_disrupted
        .store(has_trouble(), Ordering::SeqCst);
    std::thread::sleep(DISRUPTION);
    engines[0].is_disrupted.store(false, Ordering::SeqCst);
    let during = engines[0].answers.load(Ordering::SeqCst) - before;
    record.note("disruption over");
    for client in clients {
        let _ = client.join();
    }
    std::thread::sleep(Duration::from_millis(500));
    drop(deployment);
    let runs = lock(&runs);
    let answers = lock(&answers);
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, engines)| engines.len() > 1)
        .collect();
    for (id, engines) in &twice {
        record.note(&format!(
            "TWICE: {id} ran at {} (client got {})",
            engines.join(" and "),
            answers.get(*id).copied().unwrap_or(0)
        ));
    }
    let promised = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let refused: Vec<_> = answers
        .iter()
        .filter(|(id, status)| promised(**status) && runs.contains_key(*id))
        .collect();
    for (id, status) in &refused {
        record.note(&format!(
            "REFUSED: {id} got {status}, yet ran at {}",
            runs[*id].join(" and ")
        ));
    }
    let extras = engines[0].extras.load(Ordering::SeqCst);
    record.note(&format!(
        "{} requests, {} with success, {} promised not to run, {} without an answer; {extras} answers too many among {during} of one engine; {} ran twice, {} refused and run",
        answers.len(),
        answers.values().filter(|status| **status == 200).count(),
        answers.values().filter(|status| promised(**status)).count(),
        answers.values().filter(|status| **status == 0).count(),
        twice.len(),
        refused.len(),
    ));
    if answers.values().filter(|status| **status == 200).count() < 50 {
        eprintln!("the case could not run: too few requests were served");
        return ExitCode::from(2);
    }
    if twice.is_empty() && refused.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(1)
    }
}
