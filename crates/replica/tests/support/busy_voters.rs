//! A replica that copies before it joins a set, from voters that are busy.

use std::cell::{Cell, RefCell};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use ridgeworks_records::{
    Epoch, GroupId, LedgerEntry, ProgramId, Replica, ReplicaGroups, ReplicaId, ReplicaReply,
    ReplicaRequest, ReplicaSet, ReplicaState, TurnId, TurnRecord,
};
use ridgeworks_replica::disk;
use ridgeworks_resident::logging::LogCounters;
use ridgeworks_resident::peer::{
    PeerLinks, PeerReply, PeerRequest, PeerService, PrepareRequest, serve,
};
use ridgeworks_resident::settings::NodeSettings;
use ridgeworks_resident::shutdown::EarlyReloads;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

const NODE: &str = "replica-new";
const GROUP: GroupId = GroupId(0);
const EPOCH: Epoch = Epoch(1);
const TTL_MS: u64 = 60_000;
const MAX_TOTAL_TURN_BYTES: usize = 256 * 1024 * 1024;
const VOTERS: u64 = 5;
/// Turns of which a program consists.
const PROGRAM_TURNS: u64 = 6;
const TICK: Duration = Duration::from_millis(50);
/// Time that a busy voter takes for each request of the copier, one after the other.
const REQUEST_TIME: Duration = Duration::from_millis(150);
const ASK_INTERVAL: Duration = Duration::from_millis(200);
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

type Job = (ReplicaRequest, oneshot::Sender<PeerReply>);

/// A voter with records that replies late.
struct BusyVoter {
    state: RefCell<ReplicaState>,
    requests: mpsc::UnboundedSender<Job>,
    /// Number of turns that the copier was sent.
    sent_turns: Cell<usize>,
}

impl BusyVoter {
    async fn start(replica: &Replica, groups: &ReplicaGroups) -> Rc<Self> {
        let (requests, jobs) = mpsc::unbounded_channel();
        let mut state = ReplicaState::new(replica.id, MAX_TOTAL_TURN_BYTES);
        state.set_log_id(replica.id.0);
        state.adopt(groups.clone());
        let state = RefCell::new(state);
        let voter = Rc::new(Self {
            state,
            requests,
            sent_turns: Cell::new(0),
        });
        let address: SocketAddr = replica.address.parse().expect("an address");
        let service = Rc::new(Service(Rc::clone(&voter)));
        serve(address, service).await.expect("a free port");
        tokio::task::spawn_local(Rc::clone(&voter).work(jobs));
        voter
    }

    async fn work(self: Rc<Self>, mut jobs: mpsc::UnboundedReceiver<Job>) {
        while let Some((request, reply_sender)) = jobs.recv().await {
            sleep(REQUEST_TIME).await;
            let handled = self.state.borrow_mut().handle(request, now_ms());
            if let ReplicaReply::Fetched { records } = &handled.reply {
                self.sent_turns.set(self.sent_turns.get() + records.len());
            }
            // The requester may have given up.
            let _ = reply_sender.send(PeerReply::Replica(handled.reply));
        }
    }

    /// Keeps a turn and charges it to its program.
    fn keep(&self, number: u64, output_bytes: usize) {
        let turn = TurnId(format!("turn-{number}"));
        let charge = ReplicaRequest::Charge {
            group: GROUP,
            epoch: EPOCH,
            program: ProgramId(format!("program-{}", number / PROGRAM_TURNS)),
            turn: turn.clone(),
            entry: LedgerEntry {
                reserved_tokens: 100,
                spent: None,
            },
            ttl_ms: TTL_MS,
        };
        let append = ReplicaRequest::Append {
            group: GROUP,
            epoch: EPOCH,
            record: TurnRecord {
                turn,
                previous: None,
                input: b"input".to_vec(),
                output: vec![b'o'; output_bytes],
            },
            ttl_ms: TTL_MS,
        };
        let mut state = self.state.borrow_mut();
        state.handle(charge, now_ms());
        state.handle(append, now_ms());
    }
}

struct Service(Rc<BusyVoter>);

impl PeerService for Service {
    fn on_request(&self, request: PeerRequest, reply_sender: oneshot::Sender<PeerReply>) {
        if let PeerRequest::Replica { request, .. } = request {
            // The voter runs until the test ends.
            let _ = self.0.requests.send((request, reply_sender));
        }
    }
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now();
    let since = now.duration_since(std::time::UNIX_EPOCH);
    u64::try_from(since.expect("a clock after 1970").as_millis()).expect("a time in range")
}

fn free_address() -> SocketAddr {
    let ip = IpAddr::V4(Ipv4Addr::LOCALHOST);
    let listener = std::net::TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("a bound listener")
}

/// The identity of the disk in this folder, which is made.
fn identity(folder: &Path) -> ReplicaId {
    let opened = disk::open(folder, NODE, MAX_TOTAL_TURN_BYTES).expect("the folder opens");
    opened.state.id()
}

/// Starts a replica without a set or a store; returns its address.
fn start_replica(folder: &Path) -> SocketAddr {
    let address = free_address();
    let (ip, port, folder) = (address.ip(), address.port(), folder.display());
    let store = free_address();
    let text = format!(
        "role = \"replica\"\nname = \"{NODE}\"\nzone = \"zone-a\"\naddress = \"{ip}\"\n\
         peer_port = {port}\ndata_folder = \"{folder}\"\n[listen]\n\
         [limits]\nmemory_mb = 300\ndescriptors = 4100\ndisk_mb = 500\n\
         [platform]\nstore = \"{store}\"\n\
         [bounds]\ngrace_s = 8\ncontact_ms = 3000\nconfiguration_ms = 2000\nlost_machines = 2\n"
    );
    let settings = NodeSettings::parse(&text).expect("settings");
    let early_reloads = EarlyReloads::catch().expect("a signal handler");
    tokio::task::spawn_local(async move {
        let counters = Arc::<LogCounters>::default();
        let path = Path::new("unused").to_owned();
        let ran = ridgeworks_replica::run(settings, path, counters, &early_reloads).await;
        ran.expect("a replica");
    });
    address
}

fn voter_set() -> (Vec<Replica>, ReplicaGroups) {
    let voters = (1..=VOTERS).map(|number| Replica {
        id: ReplicaId(number),
        node: format!("replica-{number}"),
        address: free_address().to_string(),
        zone: "zone-a".to_owned(),
    });
    let voters: Vec<Replica> = voters.collect();
    let groups = ReplicaGroups::single(ReplicaSet {
        epoch: EPOCH,
        voters: voters.clone(),
        incoming: None,
    });
    (voters, groups)
}

/// Keeps turns after those with which the voters began.
async fn keep_more_turns(voters: Vec<Rc<BusyVoter>>, kept: KeptTurns) {
    let mut number = kept.count;
    loop {
        sleep(TICK).await;
        for _ in 0..kept.more_per_tick {
            let keep = |voter: &Rc<BusyVoter>| voter.keep(number, kept.output_bytes);
            voters.iter().for_each(keep);
            number += 1;
        }
    }
}

/// Asks a replica to copy until it is prepared; returns how long that took.
async fn prepare(
    address: SocketAddr,
    request: PrepareRequest,
    limit: Duration,
) -> Option<Duration> {
    let links = PeerLinks::default();
    let start = Instant::now();
    while start.elapsed() < limit {
        let request = PeerRequest::Prepare(Box::new(request.clone()));
        let reply = links.call(address, request, ASK_TIMEOUT).await;
        if reply == Ok(PeerReply::Prepared { is_ready: true }) {
            return Some(start.elapsed());
        }
        sleep(ASK_INTERVAL).await;
    }
    None
}

/// The turns of the voters.
#[derive(Clone, Copy)]
pub struct KeptTurns {
    /// How many there are at the beginning.
    pub count: u64,
    /// How many more there are every [`TICK`].
    pub more_per_tick: u64,
    /// Bytes of the output of each.
    pub output_bytes: usize,
}

/// A finished copy.
pub struct Prepared {
    /// How long it took.
    pub took: Duration,
    /// By how much the greatest memory of the process grew meanwhile, in bytes.
    pub memory_growth: u64,
    /// The number of turns that each voter sent.
    pub sent_turns: Vec<usize>,
}

/// The greatest memory of this process so far, in bytes.
fn peak_memory() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the status of the process");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let size = line.expect("a peak").trim().trim_end_matches(" kB");
    size.parse::<u64>().expect("a number of kB") * 1024
}

/// Prepares a new replica that copies from voters with these turns; `None` if it isn't prepared within the limit.
pub fn prepare_new_member(kept: KeptTurns, limit: Duration) -> Option<Prepared> {
    let folder = tempfile::tempdir().expect("a folder");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime");
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let (replicas, groups) = voter_set();
        let mut voters = Vec::new();
        for replica in &replicas {
            let voter = BusyVoter::start(replica, &groups).await;
            (0..kept.count).for_each(|number| voter.keep(number, kept.output_bytes));
            voters.push(voter);
        }
        tokio::task::spawn_local(keep_more_turns(voters.clone(), kept));
        let to = identity(folder.path());
        let address = start_replica(folder.path());
        let group = GROUP;
        let request = PrepareRequest { to, group, groups };
        let peak_before = peak_memory();
        let took = prepare(address, request, limit).await?;
        let sent_turns = voters.iter().map(|voter| voter.sent_turns.get());
        Some(Prepared {
            took,
            memory_growth: peak_memory() - peak_before,
            sent_turns: sent_turns.collect(),
        })
    })
}
