//! Three node processes with a platform and an engine in the test's own process.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use ridgeworks_api::client::{ClientSettings, OperatorClient};
use ridgeworks_api::v1;
use ridgeworks_domain::{NodeId, RegionName, RunId, ServiceName, ZoneName};
use ridgeworks_membership::{Incarnation, Member, MemberState, rendezvous};
use ridgeworks_stand_ins::engine::{Engine, EngineOptions};
use ridgeworks_stand_ins::platform::{Platform, PlatformOptions};
use serde_json::{Value, json};
use tempfile::TempDir;
use ureq::Agent;

pub const SERVICE: &str = "assistant";
const TOKEN: &str = "token-a";
const TOKEN_SHA256: &str = "a70bf50e531ce1a817561f2f5d5b6645d4e806becf58ccc5e8cf6b8045a090a8";
const NAMES: [&str; 3] = ["na", "nb", "nc"];
const START_TIMEOUT: Duration = Duration::from_secs(15);

/// Asks again until there is an answer, as a client does that is refused with a time to come back;
/// gives up after a while.
pub fn ask_until_answered<T>(mut ask: impl FnMut() -> Option<T>) -> Option<T> {
    let start = Instant::now();
    while start.elapsed() < START_TIMEOUT {
        let answer = ask();
        if answer.is_some() {
            return answer;
        }
        thread::sleep(Duration::from_millis(50));
    }
    None
}

/// Waits until a condition holds, and fails after `within`.
pub fn eventually(what: &str, within: Duration, mut holds: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        assert!(start.elapsed() < within, "not within {within:?}: {what}");
        thread::sleep(Duration::from_millis(50));
    }
    start.elapsed()
}

pub struct NodeProcess {
    pub name: &'static str,
    pub edge: SocketAddr,
    pub links: SocketAddr,
    child: Child,
}

impl NodeProcess {
    fn start(
        folder: &Path,
        name: &'static str,
        links: &str,
        peer: Option<SocketAddr>,
        platform: SocketAddr,
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ridgeworksd"));
        command.arg("--settings").arg(folder.join("node.toml"));
        command.args(["--name", name, "--zone", name, "--listen", "127.0.0.1:0"]);
        command.args(["--link-listen", links, "--platform", &platform.to_string()]);
        command.arg("--data-dir").arg(folder.join(name));
        command
            .arg("--log-file")
            .arg(folder.join(format!("{name}.log")));
        if let Some(peer) = peer {
            command.args(["--peer", &peer.to_string()]);
        }
        let mut child = command
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut line = String::new();
        let mut output = BufReader::new(child.stdout.take().unwrap());
        output.read_line(&mut line).unwrap();
        let words: Vec<&str> = line.split_whitespace().collect();
        Self {
            name,
            edge: words[1].parse().unwrap(),
            links: words[3].parse().unwrap(),
            child,
        }
    }

    /// Ends the process as a crash would.
    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for NodeProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

pub struct Cluster {
    pub folder: TempDir,
    pub nodes: Vec<NodeProcess>,
    pub engines: Vec<Engine>,
    pub platform: Platform,
    agent: Agent,
}

impl Cluster {
    /// Three nodes in three zones, with these engines, ready for runs.
    pub fn start(engines: Vec<EngineOptions>) -> Self {
        Self::start_with(engines, "")
    }

    /// The same, with further settings of the nodes.
    pub fn start_with(engines: Vec<EngineOptions>, settings: &str) -> Self {
        Self::start_nodes(&NAMES, engines, settings)
    }

    /// The same with these nodes, each in a zone of its own; the first three vote on the configuration.
    pub fn start_nodes(
        names: &[&'static str],
        engines: Vec<EngineOptions>,
        settings: &str,
    ) -> Self {
        let folder = tempfile::tempdir().unwrap();
        let platform = Platform::start(PlatformOptions::local("platform")).unwrap();
        let file = settings_file() + settings;
        fs::write(folder.path().join("node.toml"), file).unwrap();
        let mut nodes: Vec<NodeProcess> = Vec::new();
        for name in names.iter().copied() {
            let peer = nodes.first().map(|node| node.links);
            let node =
                NodeProcess::start(folder.path(), name, "127.0.0.1:0", peer, platform.address());
            nodes.push(node);
        }
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(Duration::from_secs(10)))
            .build()
            .new_agent();
        let mut cluster = Self {
            folder,
            nodes,
            engines: Vec::new(),
            platform,
            agent,
        };
        for options in engines {
            cluster.add_engine(options);
        }
        cluster.configure();
        cluster
    }

    /// Starts a killed node again, at its former link address.
    pub fn restart(&mut self, node: usize, with_disk: bool) {
        let (name, links) = (self.nodes[node].name, self.nodes[node].links.to_string());
        if !with_disk {
            fs::remove_dir_all(self.folder.path().join(name)).unwrap();
        }
        let peer = self.nodes[(node + 1) % self.nodes.len()].links;
        let platform = self.platform.address();
        let folder = self.folder.path();
        self.nodes[node] = NodeProcess::start(folder, name, &links, Some(peer), platform);
    }

    /// Position of the node of this name.
    pub fn position(&self, name: &str) -> usize {
        let mut names = self.nodes.iter().map(|node| node.name);
        names.position(|known| known == name).unwrap()
    }

    /// Whether some node has logged this.
    pub fn has_logged(&self, part: &str) -> bool {
        let mut nodes = self.nodes.iter();
        nodes.any(|node| {
            let file = self.folder.path().join(format!("{}.log", node.name));
            fs::read_to_string(file).is_ok_and(|text| text.contains(part))
        })
    }

    /// Names of the nodes that a run's number names as its replicas.
    pub fn replicas(&self, run: RunId) -> Vec<&'static str> {
        let hints = run.replica_hints();
        let named = |node: &&NodeProcess| {
            let id = NodeId::from_name(node.name);
            hints.iter().any(|hint| hint.matches(id))
        };
        let found = self.nodes.iter().filter(named);
        found.map(|node| node.name).collect()
    }

    pub fn add_engine(&mut self, options: EngineOptions) {
        let name = options.name.clone();
        let engine = Engine::start(options).unwrap();
        let machine = json!({"address": engine.address().to_string(), "service": SERVICE, "zone": "na", "slots": 8});
        let url = format!("http://{}/machines/{name}", self.platform.address());
        let answer = self.agent.put(&url).send_json(machine).unwrap();
        assert!(answer.status().is_success());
        self.engines.push(engine);
    }

    fn configure(&self) {
        let server = format!("http://{}", self.nodes[0].edge);
        let client = OperatorClient::new(ClientSettings::new(vec![server], TOKEN.to_owned()));
        let start = Instant::now();
        for (index, object) in objects().into_iter().enumerate() {
            let request = v1::ApplyRequest {
                object: Some(serde_json::from_value(object).unwrap()),
                expected_version: 0,
                operation_id: format!("configure-{index}"),
            };
            loop {
                match client.apply(&request) {
                    Ok(_) => break,
                    Err(error) => assert!(start.elapsed() < START_TIMEOUT, "{error}"),
                }
            }
        }
    }

    /// Opens a run through some node; asks again until one is there.
    pub fn open(&self) -> RunId {
        self.open_program("placement")
    }

    /// The same with a run of this program.
    pub fn open_program(&self, program: &str) -> RunId {
        let mut run = None;
        eventually("a run is opened", START_TIMEOUT, || {
            let body = json!({"program": program});
            run = self.post("/v1/runs", &[], &body).and_then(|answer| {
                let run = answer["run"].as_str()?;
                run.parse().ok()
            });
            run.is_some()
        });
        run.unwrap()
    }

    /// Makes a chat call and waits for its answer.
    pub fn chat(&self, run: RunId, sequence: u32, max_tokens: u32) -> Option<Value> {
        let mut nodes = self.nodes.iter();
        nodes.find_map(|node| chat_at(&self.agent, node.edge, run, sequence, max_tokens))
    }

    /// Makes a long call, which isn't waited for, through the run's owner.
    pub fn begin_call(&self, run: RunId, max_tokens: u32) {
        let edge = self.nodes[self.owner(run)].edge;
        thread::spawn(move || {
            let agent: Agent = Agent::config_builder().build().into();
            // The nodes are killed before it is answered; before that they may not all be ready, and
            // refuse it with a time to come back.
            ask_until_answered(|| chat_at(&agent, edge, run, 1, max_tokens));
        });
    }

    /// The state of the system as a node sees it.
    pub fn status(&self, node: usize) -> Value {
        let server = format!("http://{}", self.nodes[node].edge);
        let client = OperatorClient::new(ClientSettings::new(vec![server], TOKEN.to_owned()));
        let status = client.status(&v1::StatusRequest::default()).unwrap();
        serde_json::to_value(status).unwrap()
    }

    /// Slots in use by the account of a node that dispatches.
    pub fn in_flight(&self, node: usize) -> Option<usize> {
        self.gauge(node, "dispatcher_in_flight")
    }

    /// A figure that a node publishes of the service.
    pub fn gauge(&self, node: usize, name: &str) -> Option<usize> {
        let url = format!("http://{}/metrics", self.nodes[node].edge);
        let mut answer = self.agent.get(&url).call().ok()?;
        let text = answer.body_mut().read_to_string().ok()?;
        let start = format!("{name}{{");
        let line = text.lines().find(|line| line.contains(&start))?;
        line.rsplit(' ').next()?.parse().ok()
    }

    pub fn close(&self, run: RunId) {
        eventually("the run is closed", START_TIMEOUT, || {
            let path = format!("/v1/runs/{run}/close");
            self.post(&path, &[], &json!({})).is_some()
        });
    }

    /// The answer of the first node that gives one.
    pub fn post(&self, path: &str, headers: &[(&str, &str)], body: &Value) -> Option<Value> {
        let mut nodes = self.nodes.iter();
        nodes.find_map(|node| post_at(&self.agent, node.edge, path, headers, body))
    }

    /// Reads from the first node that answers.
    pub fn read(&self, path: &str) -> Option<Value> {
        self.nodes.iter().find_map(|node| {
            let url = format!("http://{}{path}", node.edge);
            let request = self.agent.get(&url);
            let request = request.header("authorization", format!("Bearer {TOKEN}"));
            let mut answer = request.call().ok()?;
            let success = answer.status().is_success();
            success
                .then(|| answer.body_mut().read_json().ok())
                .flatten()
        })
    }

    pub fn get(&self, address: SocketAddr, path: &str) -> Value {
        let url = format!("http://{address}{path}");
        let mut answer = self.agent.get(&url).call().unwrap();
        answer.body_mut().read_json().unwrap()
    }

    pub fn agent(&self) -> &Agent {
        &self.agent
    }

    /// Runs of which an engine holds context.
    pub fn contexts(&self, engine: usize) -> Vec<String> {
        let listed = self.get(self.engines[engine].address(), "/contexts");
        let listed = listed.as_array().unwrap().iter();
        listed
            .map(|context| context["run"].as_str().unwrap().to_owned())
            .collect()
    }

    /// Position of the node that dispatches the calls of the service.
    pub fn dispatcher(&self) -> usize {
        let members: Vec<Member> = self.nodes.iter().map(member).collect();
        let service = ServiceName::new(SERVICE).unwrap();
        let found = rendezvous::dispatcher_for(&service, 0, members.iter()).unwrap();
        let mut names = self.nodes.iter().map(|node| node.name);
        names.position(|name| name == found.name).unwrap()
    }

    /// Position of the node that owns a run.
    pub fn owner(&self, run: RunId) -> usize {
        let members: Vec<Member> = self.nodes.iter().map(member).collect();
        let found = rendezvous::run_owner_candidates(run, members.iter());
        let mut names = self.nodes.iter().map(|node| node.name);
        names.position(|name| name == found[0].name).unwrap()
    }
}

fn member(node: &NodeProcess) -> Member {
    Member {
        node: NodeId::from_name(node.name),
        name: node.name.to_owned(),
        incarnation: Incarnation(1),
        address: node.links,
        zone: ZoneName::new(node.name).unwrap(),
        region: RegionName::new("default").unwrap(),
        has_disk: true,
        state: MemberState::Alive,
    }
}

fn settings_file() -> String {
    format!(
        "configuration_voters = [\"na\", \"nb\", \"nc\"]\n\
         bootstrap_partners = [{{ name = \"alpha\", token_sha256 = \"{TOKEN_SHA256}\" }}]\n"
    )
}

fn objects() -> Vec<Value> {
    let object = |kind: &str, name: &str, field: &str, value: Value| {
        let metadata = json!({"kind": kind, "name": name, "partner": "alpha"});
        json!({"metadata": metadata, field: value})
    };
    vec![
        object(
            "OBJECT_KIND_PARTNER",
            "alpha",
            "partner",
            json!({"tokenSha256": TOKEN_SHA256, "latencyWeight": 50}),
        ),
        object(
            "OBJECT_KIND_PRIORITY_CLASS",
            "routine",
            "priorityClass",
            json!({"rank": 5}),
        ),
        object(
            "OBJECT_KIND_PRIORITY_CLASS",
            "alarm",
            "priorityClass",
            json!({"rank": 9, "urgent": true}),
        ),
        object(
            "OBJECT_KIND_SERVICE",
            SERVICE,
            "service",
            json!({"kind": "SERVICE_KIND_MODEL", "attemptTimeoutMs": 30_000, "maxAttempts": 3}),
        ),
        object(
            "OBJECT_KIND_PROGRAM",
            "placement",
            "program",
            json!({"class": "routine", "services": [SERVICE], "budget": 1_000_000, "maxCalls": 1_000}),
        ),
        object(
            "OBJECT_KIND_PROGRAM",
            "alert",
            "program",
            json!({"class": "alarm", "services": [SERVICE], "budget": 1_000_000, "maxCalls": 1_000}),
        ),
    ]
}

/// Makes a chat call through one node.
pub fn chat_at(
    agent: &Agent,
    edge: SocketAddr,
    run: RunId,
    sequence: u32,
    max_tokens: u32,
) -> Option<Value> {
    chat_with(agent, edge, run, sequence, max_tokens, &[])
}

/// The same with further headers.
pub fn chat_with(
    agent: &Agent,
    edge: SocketAddr,
    run: RunId,
    sequence: u32,
    max_tokens: u32,
    further: &[(&str, &str)],
) -> Option<Value> {
    let run = run.to_string();
    let key = format!("call-{sequence}-{run}");
    let sequence = sequence.to_string();
    let mut headers = vec![
        ("x-ridgeworks-run", run.as_str()),
        ("x-ridgeworks-call", key.as_str()),
        ("x-ridgeworks-sequence", sequence.as_str()),
    ];
    headers.extend_from_slice(further);
    let messages = json!([{"role": "user", "content": "word ".repeat(64)}]);
    let body = json!({"model": SERVICE, "max_tokens": max_tokens, "messages": messages});
    post_at(agent, edge, "/v1/chat/completions", &headers, &body)
}

fn post_at(
    agent: &Agent,
    edge: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: &Value,
) -> Option<Value> {
    let url = format!("http://{edge}{path}");
    let mut request = agent.post(&url);
    request = request.header("authorization", format!("Bearer {TOKEN}"));
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let mut answer = request.send_json(body).ok()?;
    let success = answer.status().is_success();
    success
        .then(|| answer.body_mut().read_json().ok())
        .flatten()
}
