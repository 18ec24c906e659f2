//! A small deployment on loopback: processes of `ridgeworksd resident`, a store, engines.

use std::fs::{self, File};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::client::Call;
use crate::engine::{EVENT_TOKENS, Engine, Run};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

/// The processes that run, for the case that the program has to end at once.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Kills all processes that were started.
pub fn kill_running() {
    let running = RUNNING
        .lock()
        .map(|running| running.clone())
        .unwrap_or_default();
    for id in running {
        let _ = Command::new("sh")
            .arg("-c")
            .arg(format!("kill -9 {id}"))
            .status();
    }
}

const ZONES: [&str; 3] = ["base-hall", "summit-hall", "town-hall"];

pub struct Node {
    pub ip: Ipv4Addr,
    settings: PathBuf,
    text: String,
    log: PathBuf,
    child: Option<Child>,
}

pub struct Deployment {
    pub record: Record,
    pub store: Store,
    pub gateways: Vec<Node>,
    pub replicas: Vec<Node>,
    pub engines: Vec<Engine>,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub port: u16,
    folder: PathBuf,
    subnet: u8,
    version: u64,
}

/// One route of the configuration.
pub struct Route {
    pub name: &'static str,
    pub prefix: &'static str,
    pub kind: &'static str,
    pub service: &'static str,
    pub timeout_ms: u64,
    pub target_ms: u64,
    pub attempts: u64,
    pub retain: bool,
    pub resumable: bool,
}

impl Route {
    fn json(&self) -> Json {
        let mut fields = vec![
            ("name", Json::text(self.name)),
            ("host", Json::text(crate::client::HOST)),
            ("path_prefix", Json::text(self.prefix)),
            ("kind", Json::text(self.kind)),
            ("timeout_ms", Json::number(self.timeout_ms)),
            ("target_latency_ms", Json::number(self.target_ms)),
            ("priority", Json::number(0)),
            ("service", Json::text(self.service)),
            ("max_attempts", Json::number(self.attempts)),
        ];
        if self.kind == "streaming" {
            fields.push(("retain", Json::Bool(self.retain)));
            fields.push(("retention_s", Json::Number("60.0".to_owned())));
            fields.push(("sticky", Json::Bool(true)));
            fields.push(("resumable", Json::Bool(self.resumable)));
            fields.push(("gap_aim_ms", Json::number(300)));
        }
        Json::object(fields)
    }
}

fn service(name: &str, is_model: bool) -> Json {
    let mut fields = vec![
        ("name", Json::text(name)),
        ("health_path", Json::text("/healthz")),
        ("max_conns", Json::number(160)),
        ("protocol", Json::text("h1")),
        ("tls", Json::Bool(false)),
    ];
    if is_model {
        let engine = Json::object(vec![
            ("slots", Json::number(12)),
            ("kv_capacity", Json::number(490_370)),
            ("event_tokens", Json::number(EVENT_TOKENS)),
        ]);
        fields.push(("engine", engine));
    }
    Json::object(fields)
}

impl Deployment {
    /// Starts the store and the processes; no engine yet.
    pub fn start(record: &Record, gateways: usize, replicas: usize) -> io::Result<Self> {
        let nanos = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .map_or(0, |now| now.subsec_nanos());
        let folder = std::env::temp_dir().join(format!("review-2-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&folder)?;
        // A subnet and ports that are free.
        let mut subnet = 20 + (nanos / 1_000 % 200) as u8;
        let mut port = 0;
        for _ in 0..50 {
            let ip = |machine| IpAddr::V4(Ipv4Addr::new(127, 77, subnet, machine));
            let probe = TcpListener::bind((ip(1), 0))?;
            port = probe.local_addr()?.port();
            let is_free = port < 64_000
                && (1..=100).all(|machine| {
                    (port..port + 4).all(|port| {
                        (machine == 1 && port == probe.local_addr().unwrap().port())
                            || TcpListener::bind((ip(machine), port)).is_ok()
                    })
                });
            if is_free {
                break;
            }
            subnet = subnet.wrapping_add(1).max(20);
        }
        let ip = |machine: u8| Ipv4Addr::new(127, 77, subnet, machine);
        let store = Store::start(SocketAddr::new(IpAddr::V4(ip(1)), port))?;
        let mut deployment = Self {
            record: record.clone(),
            store,
            gateways: Vec::new(),
            replicas: Vec::new(),
            engines: Vec::new(),
            runs: Arc::default(),
            port,
            folder,
            subnet,
            version: 1,
        };
        for number in 0..gateways {
            let node = deployment.node("gateway", "front", number, 10 + number as u8)?;
            deployment.gateways.push(node);
        }
        for number in 0..replicas {
            let node = deployment.node("replica", "storage", number, 30 + number as u8)?;
            deployment.replicas.push(node);
        }
        Ok(deployment)
    }

    fn node(&self, role: &str, class: &str, number: usize, machine: u8) -> io::Result<Node> {
        let (port, subnet) = (self.port, self.subnet);
        let ip = Ipv4Addr::new(127, 77, subnet, machine);
        let zone = ZONES[number % ZONES.len()];
        let name = format!("{class}-{zone}-{}", number / ZONES.len() + 1);
        let seed = |machine: u8| format!("\"127.77.{subnet}.{machine}:{}\"", port + 3);
        let mut text = format!(
            "role = \"{role}\"\nname = \"{name}\"\nzone = \"{zone}\"\naddress = \"{ip}\"\npeer_port = {}\nbootstrap = true\nseeds = [{}, {}]\n",
            port + 2,
            seed(10),
            seed(11),
        );
        if role == "replica" {
            let data = self.folder.join(format!("data-{name}"));
            fs::create_dir_all(&data)?;
            text.push_str(&format!("data_folder = \"{}\"\n", data.display()));
        }
        text.push_str("[zones]\n");
        for zone in ZONES {
            text.push_str(&format!("\"{zone}\" = \"serra-branca\"\n"));
        }
        text.push_str("[listen]\n");
        if role == "gateway" {
            text.push_str(&format!(
                "callers = \"{ip}:{port}\"\nreadiness = \"{ip}:{}\"\n",
                port + 1
            ));
        }
        let (memory, descriptors, disk) = if role == "gateway" {
            (260, 4_100, 0)
        } else {
            (130, 8_200, 370)
        };
        text.push_str(&format!(
            "[limits]\nmemory_mb = {memory}\ndescriptors = {descriptors}\ndisk_mb = {disk}\n[platform]\nstore = \"{}\"\n",
            self.store.address,
        ));
        text.push_str(
            "[bounds]\ngrace_s = 8\ncontact_ms = 3000\nconfiguration_ms = 2000\nlost_machines = 1\nengine_heartbeat_ms = 1200\n",
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, &text)?;
        let mut node = Node {
            log: self.folder.join(format!("{name}.log")),
            ip,
            settings,
            text,
            child: None,
        };
        node.run()?;
        Ok(node)
    }

    /// Writes a configuration as the operator does.
    pub fn configure(&mut self, routes: &[Route], models: &[&str], plain: &[&str]) {
        let models = models.iter().map(|name| service(name, true));
        let plain = plain.iter().map(|name| service(name, false));
        let limits = Json::object(vec![
            ("max_header_bytes", Json::number(16_384)),
            ("max_body_bytes", Json::number(4_194_304)),
            ("header_timeout_ms", Json::number(3_000)),
            ("idle_timeout_ms", Json::number(15_000)),
        ]);
        let spec = Json::object(vec![
            ("version", Json::number(self.version)),
            (
                "routes",
                Json::List(routes.iter().map(Route::json).collect()),
            ),
            ("services", Json::List(models.chain(plain).collect())),
            ("limits", limits),
        ]);
        self.version += 3;
        self.store.put("config", "main", spec);
        self.record
            .line("store: configuration written by the operator");
    }

    pub fn add_engine(&mut self, service: &str) -> io::Result<Engine> {
        let number = self.engines.len();
        let ip = Ipv4Addr::new(127, 77, self.subnet, 60 + number as u8);
        let address = SocketAddr::new(IpAddr::V4(ip), self.port);
        let id = format!("i-{number:02}{:04x}", self.port);
        let zone = ZONES[number % ZONES.len()];
        let engine = Engine::start(
            &id,
            service,
            zone,
            address,
            &self.store,
            &self.record,
            &self.runs,
        )?;
        self.engines.push(engine.clone());
        Ok(engine)
    }

    pub fn callers(&self, gateway: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.gateways[gateway].ip), self.port)
    }

    fn is_ready(&self, gateway: usize) -> bool {
        let readiness = SocketAddr::new(IpAddr::V4(self.gateways[gateway].ip), self.port + 1);
        let mut call = Call::new("ready", "GET", "/v1/ready", 500);
        call.headers.clear();
        let quiet = Record::create("/dev/null");
        quiet.is_ok_and(|quiet| call.send(readiness, &quiet).status == 200)
    }

    /// Waits until all gateways say that they are ready and the replica sets are written.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let is_ready = (0..self.gateways.len()).all(|gateway| self.is_ready(gateway));
            if is_ready && self.store.has_any("ridgeworks-replica-sets") {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Whether an engine has begun work on a request.
    pub fn has_run(&self, request: &str) -> bool {
        self.runs
            .lock()
            .unwrap()
            .iter()
            .any(|run| run.request == request)
    }

    /// Kills every process of the system at one moment, and starts all again.
    pub fn kill_all(&mut self, down: Duration) -> io::Result<()> {
        self.record.line("all processes of the system are killed");
        let mut all: Vec<&mut Node> = self.gateways.iter_mut().chain(&mut self.replicas).collect();
        for node in &mut all {
            node.send_kill();
        }
        for node in &mut all {
            node.reap();
        }
        thread::sleep(down);
        for node in &mut all {
            node.run()?;
        }
        self.record
            .line("all processes of the system are started again");
        Ok(())
    }
}

impl Node {
    /// Starts the process with the command of the deploy file.
    pub fn run(&mut self) -> io::Result<()> {
        let log = File::options().append(true).create(true).open(&self.log)?;
        let child = Command::new("target/release/ridgeworksd")
            .arg("resident")
            .env("RIDGEWORKS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        RUNNING.lock().unwrap().push(child.id());
        self.child = Some(child);
        // True only when the whole system starts for the first time.
        self.text = self.text.replace("bootstrap = true", "bootstrap = false");
        thread::sleep(Duration::from_millis(5));
        Ok(())
    }

    fn send_kill(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
        }
    }

    fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.wait();
            RUNNING.lock().unwrap().retain(|id| *id != child.id());
        }
        let _ = fs::write(&self.settings, &self.text);
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        self.send_kill();
        self.reap();
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        for node in self.gateways.iter_mut().chain(&mut self.replicas) {
            node.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            println!("kept {}", self.folder.display());
        }
    }
}
