//! A small deployment: the processes of the deploy file on loopback addresses, with a store.

use std::fs::File;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime};

use crate::client::is_ready;
use crate::json::Json;
use crate::record::cannot_run;
use crate::store::Store;

/// The `run` line of both roles in `deploy/system.toml`.
const PROGRAM: &str = "target/release/ridgeworksd";
const ARGUMENT: &str = "resident";
const ZONES: [&str; 3] = ["kleinwhk-hall", "eros-room", "olympia-dr"];

/// One process of the deploy file.
pub struct Node {
    pub name: String,
    pub callers: SocketAddr,
    pub readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    data: Option<PathBuf>,
    child: Option<Child>,
}

impl Node {
    pub fn start(&mut self) {
        let log = File::options().append(true).create(true).open(&self.log);
        let Ok(log) = log else {
            return;
        };
        let child = Command::new(PROGRAM)
            .arg(ARGUMENT)
            .env("RIDGEWORKS_CONFIG", &self.settings)
            .stdout(Stdio::from(log))
            .stderr(Stdio::null())
            .stdin(Stdio::null())
            .spawn();
        self.child = child.ok();
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Removes the node's disk, while it does not run.
    pub fn wipe(&self) {
        if let Some(data) = &self.data {
            let _ = std::fs::remove_dir_all(data);
        }
    }

    /// Sends a signal to the process with the shell's `kill`.
    pub fn signal(&self, signal: &str) {
        if let Some(child) = &self.child {
            let _ = Command::new("sh")
                .arg("-c")
                .arg(format!("kill -{signal} {}", child.id()))
                .status();
        }
    }

    /// Whether the process runs.
    pub fn is_running(&mut self) -> bool {
        let child = self.child.as_mut();
        child.is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// The process's log so far.
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The processes, the store and the folder of one case.
pub struct Deployment {
    pub store: Store,
    pub gateways: Vec<Node>,
    pub replicas: Vec<Node>,
    pub network: Network,
    /// Last byte of the seed's address: that of the first gateway, or one where nothing answers.
    pub seed: u8,
    folder: PathBuf,
}

/// Last byte of an address at which no node runs: that of a seed that is stale.
pub const STALE_SEED: u8 = 4;

impl Drop for Deployment {
    fn drop(&mut self) {
        self.gateways.clear();
        self.replicas.clear();
        if std::env::var("KEEP_LOGS").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("logs in {}", self.folder.display());
        }
    }
}

/// Addresses 127.x.y.* and ports that were free when the case began.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    one: u8,
    two: u8,
    port: u16,
}

impl Network {
    pub fn ip(&self, last: u8) -> IpAddr {
        IpAddr::V4(Ipv4Addr::new(127, self.one, self.two, last))
    }

    fn find() -> Self {
        let now = SystemTime::now()
            .duration_since(SystemTime::UNIX_EPOCH)
            .unwrap_or_default();
        let seed = u64::from(now.subsec_nanos()) ^ (u64::from(std::process::id()) << 8);
        for step in 0..200_u64 {
            let mixed = seed.wrapping_add(step).wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let network = Self {
                one: 10 + (mixed >> 56) as u8 % 200,
                two: (mixed >> 48) as u8 % 250 + 1,
                port: 7_300 + 50 * ((mixed >> 40) as u16 % 100),
            };
            if network.is_free() {
                return network;
            }
        }
        cannot_run("no free addresses")
    }

    fn is_free(&self) -> bool {
        let lasts = [1, 2, 3, 101, 102, 103, 104];
        let ports = [self.port, self.port + 1, self.port + 2, self.port + 3];
        lasts.iter().all(|last| {
            ports
                .iter()
                .all(|port| TcpListener::bind((self.ip(*last), *port)).is_ok())
        })
    }
}

impl Deployment {
    /// Prepares a store and a folder. Ends the case with status 2 if the program was not built.
    pub fn new() -> Self {
        if !Path::new(PROGRAM).exists() {
            cannot_run("the program of the deploy file is not built");
        }
        let network = Network::find();
        let store = Store::start(network.ip(250));
        let store = store.unwrap_or_else(|error| cannot_run(&format!("store: {error}")));
        let name = format!(
            "ridgeworks-review-{}-{}-{}",
            std::process::id(),
            network.one,
            network.two
        );
        let folder = std::env::temp_dir().join(name);
        if let Err(error) = std::fs::create_dir_all(&folder) {
            cannot_run(&format!("folder: {error}"));
        }
        Self {
            store,
            gateways: Vec::new(),
            replicas: Vec::new(),
            network,
            seed: 1,
            folder,
        }
    }

    /// Starts gateways and replicas, as the platform does on the first start.
    pub fn start_nodes(&mut self, gateways: u8, replicas: u8) {
        for index in 1..=replicas {
            let node = self.node("replica", index, 100 + index);
            self.replicas.push(node);
        }
        for index in 1..=gateways {
            let node = self.node("gateway", index, index);
            self.gateways.push(node);
        }
        for node in self.replicas.iter_mut().chain(&mut self.gateways) {
            node.start();
        }
    }

    fn node(&self, role: &str, index: u8, last: u8) -> Node {
        let name = format!("{role}-{index}");
        let ip = self.network.ip(last);
        let port = self.network.port;
        let peer_port = port;
        let callers = SocketAddr::new(ip, port + 1);
        let readiness = SocketAddr::new(ip, port + 2);
        let seed = self.network.ip(self.seed);
        let zone = ZONES[usize::from(index) % 3];
        let settings = self.folder.join(format!("{name}.toml"));
        let listen = match role {
            "gateway" => format!("callers = \"{callers}\"\nreadiness = \"{readiness}\"\n"),
            _ => String::new(),
        };
        let data_folder = (role == "replica").then(|| self.folder.join(format!("{name}-data")));
        let data = data_folder
            .as_ref()
            .map(|folder| format!("data_folder = \"{}\"\n", folder.display()));
        let data = data.unwrap_or_default();
        let (memory, descriptors, disk) = if role == "gateway" {
            (220, 4_100, 0)
        } else {
            (220, 8_200, 260)
        };
        // As deploy/node.toml.template is filled on the site kcp-ridge, with free ports.
        let zones = ZONES
            .map(|zone| format!("\"{zone}\" = \"windhoek\"\n"))
            .concat();
        let text = format!(
            "role = \"{role}\"\nname = \"{name}\"\nzone = \"{zone}\"\naddress = \"{ip}\"\npeer_port = {peer_port}\n\
             seeds = [\"{seed}:{peer_port}\"]\n{data}[zones]\n{zones}[listen]\n{listen}[limits]\n\
             memory_mb = {memory}\ndescriptors = {descriptors}\ndisk_mb = {disk}\n\
             [platform]\nstore = \"{store}\"\n[bounds]\ngrace_s = 8\ncontact_ms = 3000\n\
             configuration_ms = 2000\nlost_machines = 1\n",
            store = self.store.address,
        );
        if let Err(error) = std::fs::write(&settings, text) {
            cannot_run(&format!("settings: {error}"));
        }
        Node {
            log: self.folder.join(format!("{name}.log")),
            data: data_folder,
            name,
            callers,
            readiness,
            settings,
            child: None,
        }
    }

    /// Waits until all gateways are ready and the replica set stands with this number of voters; false after 25 s.
    pub fn wait_until_ready(&self, voters: usize) -> bool {
        let until = Instant::now() + Duration::from_secs(25);
        while Instant::now() < until {
            let all_ready = self
                .gateways
                .iter()
                .all(|gateway| is_ready(gateway.readiness));
            if all_ready && self.voters().len() == voters {
                return true;
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Epoch of the replica set; `None` before there is one.
    pub fn set_epoch(&self) -> Option<u64> {
        let object = self.store.object("ridgeworks-replica-sets", "main")?;
        let spec = object.get("spec");
        let set = spec.get("sets").items().first().unwrap_or(spec);
        set.get("epoch").as_u64()
    }

    /// Names of the nodes of the replica set's voters; empty while the set is changing.
    pub fn voters(&self) -> Vec<String> {
        let Some(object) = self.store.object("ridgeworks-replica-sets", "main") else {
            return Vec::new();
        };
        let spec = object.get("spec");
        let set = spec.get("sets").items().first().unwrap_or(spec);
        if !set.get("incoming").is_null() {
            return Vec::new();
        }
        let names = set
            .get("voters")
            .items()
            .iter()
            .filter_map(|voter| voter.get("node").as_text());
        names.map(str::to_owned).collect()
    }

    /// Writes a configuration, as the operator does.
    pub fn configure(&self, version: u64, routes: Vec<Json>, services: Vec<Json>) {
        let limits = Json::table([
            ("max_header_bytes", Json::number(16_384)),
            ("max_body_bytes", Json::number(4_194_304)),
            ("header_timeout_ms", Json::number(3_000)),
            ("idle_timeout_ms", Json::number(15_000)),
        ]);
        let spec = Json::table([
            ("version", Json::number(version)),
            ("routes", Json::List(routes)),
            ("services", Json::List(services)),
            ("limits", limits),
        ]);
        self.store.put("config", "main", spec);
    }

    /// Lists an engine, as the engine does.
    pub fn list_engine(
        &self,
        id: &str,
        service: &str,
        address: SocketAddr,
        slots: u64,
        state: &str,
        seq: u64,
    ) {
        let spec = Json::table([
            ("service", Json::text(service)),
            ("address", Json::text(&address.to_string())),
            ("zone", Json::text(ZONES[0])),
            ("version", Json::text("v1")),
            ("slots", Json::number(slots)),
            ("state", Json::text(state)),
            ("cold_left_ms", Json::number(0)),
            ("seq", Json::number(seq)),
        ]);
        self.store.put("servers", id, spec);
    }
}

/// A route as the operator writes it.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    attempts: u64,
    timeout_ms: u64,
) -> Json {
    Json::table([
        ("name", Json::text(name)),
        ("host", Json::text(crate::client::HOST)),
        ("path_prefix", Json::text(prefix)),
        ("kind", Json::text(kind)),
        ("timeout_ms", Json::number(timeout_ms)),
        ("target_latency_ms", Json::number(200)),
        ("priority", Json::number(1)),
        ("service", Json::text(service)),
        ("max_attempts", Json::number(attempts)),
        ("retain", Json::Bool(false)),
        ("retention_s", Json::number(60)),
        ("resumable", Json::Bool(false)),
        ("gap_aim_ms", Json::number(300)),
    ])
}

/// Replaces a field of a table.
pub fn with(mut table: Json, key: &str, value: Json) -> Json {
    if let Json::Table(fields) = &mut table {
        fields.retain(|(name, _)| name != key);
        fields.push((key.to_owned(), value));
    }
    table
}

/// A plain service.
pub fn plain_service(name: &str) -> Json {
    Json::table([
        ("name", Json::text(name)),
        ("health_path", Json::text("/healthz")),
        ("max_conns", Json::number(110)),
        ("protocol", Json::text("h1")),
        ("tls", Json::Bool(false)),
    ])
}

/// A service of model engines.
pub fn model_service(name: &str, event_tokens: u64) -> Json {
    let engine = Json::table([
        ("slots", Json::number(16)),
        ("kv_capacity", Json::number(568_127)),
        ("kv_token_bytes", Json::number(1)),
        ("link_mbps", Json::number(1)),
        ("event_tokens", Json::number(event_tokens)),
        (
            "models",
            Json::List(vec![Json::table([("name", Json::text("m"))])]),
        ),
    ]);
    with(plain_service(name), "engine", engine)
}
