//! Processor time that one replica takes for the requests of many gateways, as a process of its own on loopback.
//!
//! `replica_load PROGRAM [TURNS_PER_SECOND...]`; `make bench-replica` builds the program first. Each turn is a reservation, a
//! settlement and, one time in three, a record of 4 KB; answers are timed from the moment they were due to be asked. On a machine that was half
//! busy, without link-time optimisation: 135 turns a second take 0.085 cores and 173 transactions a second, 400 take 0.205 and 497.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use hdrhistogram::Histogram;
use ridgeworks_platform_stand_ins::client;
use ridgeworks_platform_stand_ins::deployment::{Deployment, Process};
use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, ReplicaId, ReplicaRequest, Settlement, TurnId,
    TurnRecord,
};
use ridgeworks_resident::peer::{PeerLinks, PeerReply, PeerRequest};
use tokio::time::Instant;

/// Gateways that the turns come through.
const GATEWAYS: usize = 259;
/// Port of the deployment's nodes for each other.
const PEER_PORT: u16 = 27_380;
const MEASURED: Duration = Duration::from_secs(8);
const PATIENCE: Duration = Duration::from_millis(700);
const TURNS_PER_PROGRAM: u64 = 4;
const RECORD_BYTES: usize = 4_000;
const KEEP_MS: u64 = 90_000;
const MOST_TOKENS: u64 = 600;
/// Metric of the replica: transactions of its disk.
const COMMITS: &str = "ridgeworks_disk_commits_total";

/// The replica under load.
#[derive(Clone, Copy)]
struct Target {
    address: SocketAddr,
    id: ReplicaId,
    epoch: Epoch,
}

/// What came of the requests that were waited for.
struct Outcomes {
    micros: Histogram<u64>,
    failed: u64,
}

type Shared = Rc<RefCell<Outcomes>>;

fn target(deployment: &Deployment) -> Target {
    let set = deployment.store.object("ridgeworks-replica-sets", "main");
    let spec = set.expect("a replica set")["spec"].clone();
    let process = &deployment.replicas[0];
    let voters = spec["voters"].as_array().cloned().unwrap_or_default();
    let voter = voters.iter().find(|voter| voter["node"] == process.name);
    let id = voter.and_then(|voter| voter["id"].as_u64());
    Target {
        address: SocketAddr::new(process.ip, PEER_PORT),
        id: ReplicaId(id.expect("the replica votes")),
        epoch: Epoch(spec["epoch"].as_u64().expect("an epoch")),
    }
}

fn reservation(turn: u64, epoch: Epoch) -> ReplicaRequest {
    ReplicaRequest::Charge {
        group: GroupId(0),
        epoch,
        program: program(turn),
        turn: TurnId(format!("{turn:016x}")),
        entry: LedgerEntry {
            reserved_tokens: MOST_TOKENS,
            spent: None,
        },
        ttl_ms: KEEP_MS,
    }
}

fn settlement(turn: u64, epoch: Epoch) -> ReplicaRequest {
    ReplicaRequest::Settle {
        group: GroupId(0),
        epoch,
        settlements: vec![Settlement {
            program: program(turn),
            turn: TurnId(format!("{turn:016x}")),
            entry: LedgerEntry {
                reserved_tokens: MOST_TOKENS,
                spent: Some(MOST_TOKENS / 2),
            },
            ttl_ms: KEEP_MS,
        }],
    }
}

fn record(turn: u64, epoch: Epoch) -> ReplicaRequest {
    ReplicaRequest::Append {
        group: GroupId(0),
        epoch,
        record: TurnRecord {
            turn: TurnId(format!("{turn:016x}")),
            previous: None,
            input: vec![b'x'; RECORD_BYTES],
            output: Vec::new(),
        },
        ttl_ms: KEEP_MS,
    }
}

fn program(turn: u64) -> ProgramId {
    ProgramId(format!("{:014x}", turn / TURNS_PER_PROGRAM))
}

async fn ask(
    links: Rc<PeerLinks>,
    to: Target,
    request: ReplicaRequest,
    due: Instant,
    seen: Shared,
) {
    let request = PeerRequest::Replica { to: to.id, request };
    let reply = links.call(to.address, request, PATIENCE).await;
    let mut seen = seen.borrow_mut();
    match reply {
        Ok(PeerReply::Replica(_)) => {
            let micros = u64::try_from(due.elapsed().as_micros()).unwrap_or(u64::MAX);
            seen.micros.record(micros).expect("within bounds");
        }
        _ => seen.failed += 1,
    }
}

async fn load(to: Target, turns_per_s: u64, first_turn: u64) -> Outcomes {
    let gateways: Vec<Rc<PeerLinks>> = (0..GATEWAYS).map(|_| Rc::default()).collect();
    let seen = Rc::new(RefCell::new(Outcomes {
        micros: Histogram::new(3).expect("a histogram"),
        failed: 0,
    }));
    let began = Instant::now();
    let turns = turns_per_s * MEASURED.as_secs();
    let mut asking = Vec::new();
    for number in 0..turns {
        let due = began + MEASURED.mul_f64(number as f64 / turns as f64);
        tokio::time::sleep_until(due).await;
        let turn = first_turn + number;
        let mut requests = vec![reservation(turn, to.epoch), settlement(turn, to.epoch)];
        if number % 3 == 0 {
            requests.push(record(turn, to.epoch));
        }
        for (index, request) in requests.into_iter().enumerate() {
            let gateway = (turn as usize * 7 + index * 3) % GATEWAYS;
            let links = Rc::clone(&gateways[gateway]);
            let asked = ask(links, to, request, due, Rc::clone(&seen));
            asking.push(tokio::task::spawn_local(asked));
        }
    }
    for asked in asking {
        asked.await.expect("no request panics");
    }
    let outcomes = Rc::into_inner(seen).expect("nobody asks any more");
    outcomes.into_inner()
}

/// Processor seconds of a process so far.
fn cpu_seconds(process: &Process) -> f64 {
    let id = process.id().expect("the process runs");
    let id = i32::try_from(id).expect("process ids are small");
    let stat = procfs::process::Process::new(id).and_then(|process| process.stat());
    let stat = stat.expect("a running process");
    (stat.utime + stat.stime) as f64 / procfs::ticks_per_second() as f64
}

fn counter(process: &Process, name: &str) -> f64 {
    let reply = client::get(process.metrics(), "/metrics").expect("metrics");
    let text = reply.body;
    let mut lines = text.lines();
    let line = lines.find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.and_then(|value| value.parse().ok()).unwrap_or(0.0)
}

fn measure(deployment: &Deployment, turns_per_s: u64, first_turn: u64) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    let replica = &deployment.replicas[0];
    let to = target(deployment);
    let cpu_before = cpu_seconds(replica);
    let commits_before = counter(replica, COMMITS);
    let began = Instant::now();
    let outcomes =
        tokio::task::LocalSet::new().block_on(&runtime, load(to, turns_per_s, first_turn));
    let seconds = began.elapsed().as_secs_f64();
    let cpu = cpu_seconds(replica) - cpu_before;
    let commits = counter(replica, COMMITS) - commits_before;
    let answered = outcomes.micros.len();
    println!(
        "{turns_per_s} turns/s: {:.4} cores, {:.0} us of processor a request, {:.0} commits/s, answers p50 {:.1} ms p99 {:.1} ms, {} failed",
        cpu / seconds,
        cpu / (answered.max(1) as f64) * 1e6,
        commits / seconds,
        outcomes.micros.value_at_quantile(0.5) as f64 / 1e3,
        outcomes.micros.value_at_quantile(0.99) as f64 / 1e3,
        outcomes.failed,
    );
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let program = arguments.next().expect("the program to start");
    let rates: Vec<u64> = arguments.filter_map(|rate| rate.parse().ok()).collect();
    let rates = if rates.is_empty() {
        vec![100, 300, 900]
    } else {
        rates
    };
    let deployment = Deployment::started(Path::new(&program), 0, 3);
    let mut first_turn = 0;
    for rate in rates {
        measure(&deployment, rate, first_turn);
        first_turn += rate * MEASURED.as_secs();
    }
}
