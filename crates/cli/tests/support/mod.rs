//! A stub node that speaks the published schema, and the command line run against it.
#![allow(
    dead_code,
    reason = "each test file is a crate of its own and uses a part of this module"
)]

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::process::{Command, Output};
use std::sync::{Arc, Mutex};
use std::thread;

use ridgeworks_api::connect::{RequestHead, encode_error};
use ridgeworks_api::v1::object::Specification;
use ridgeworks_api::v1::{self, ObjectKind};
use ridgeworks_api::{ConnectError, OperatorMethod, OperatorRequest, OperatorResponse};
use socket2::{Domain, Socket, Type};

pub const TOKEN: &str = "north-secret";

/// What the stub does with a request.
pub enum Reaction {
    Answer(OperatorResponse),
    Fail(ConnectError),
    /// Takes the request and sends what is no HTTP answer.
    LoseAnswer,
}

/// A stub node on a port of its own.
pub struct StubNode {
    pub address: String,
    requests: Arc<Mutex<Vec<OperatorRequest>>>,
}

impl StubNode {
    /// Starts a node that reacts as `react` says; `react` gets the number of the request, from 0.
    pub fn start(react: impl Fn(usize, &OperatorRequest) -> Reaction + Send + 'static) -> Self {
        let server = tiny_http::Server::http("127.0.0.1:0").expect("binds");
        let address = server.server_addr().to_string();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let record = Arc::clone(&requests);
        thread::spawn(move || {
            for (number, mut request) in server.incoming_requests().enumerate() {
                let reaction = match read(&mut request) {
                    Ok(read) => {
                        let reaction = react(number, &read);
                        record.lock().expect("is sound").push(read);
                        reaction
                    }
                    Err(error) => Reaction::Fail(error),
                };
                respond(request, reaction);
            }
        });
        Self { address, requests }
    }

    /// A node that answers every request in the same way.
    pub fn answering(answer: OperatorResponse) -> Self {
        Self::start(move |_, _| Reaction::Answer(answer.clone()))
    }

    /// A node that refuses every request in the same way.
    pub fn failing(error: ConnectError) -> Self {
        Self::start(move |_, _| Reaction::Fail(error.clone()))
    }

    /// The requests that came so far.
    pub fn requests(&self) -> Vec<OperatorRequest> {
        self.requests.lock().expect("is sound").clone()
    }

    /// The changes that came so far.
    pub fn applied(&self) -> Vec<v1::ApplyRequest> {
        let apply = |request| match request {
            OperatorRequest::Apply(apply) => Some(apply),
            _ => None,
        };
        self.requests().into_iter().filter_map(apply).collect()
    }

    /// Runs the command line against this node.
    pub fn run(&self, arguments: &[&str]) -> Finished {
        run_with_servers(&self.address, arguments)
    }
}

fn header<'a>(request: &'a tiny_http::Request, name: &'static str) -> &'a str {
    let found = request
        .headers()
        .iter()
        .find(|header| header.field.equiv(name));
    found.map_or("", |header| header.value.as_str())
}

fn read(request: &mut tiny_http::Request) -> Result<OperatorRequest, ConnectError> {
    let mut body = Vec::new();
    request.as_reader().read_to_end(&mut body).expect("reads");
    if header(request, "authorization") != format!("Bearer {TOKEN}") {
        return Err(ConnectError::Unauthenticated);
    }
    let method = OperatorMethod::from_path(request.url())?;
    let head = RequestHead {
        content_type: Some(header(request, "content-type")),
        ..RequestHead::default()
    };
    OperatorRequest::decode(method, &head, &body)
}

fn respond(request: tiny_http::Request, reaction: Reaction) {
    let content_type = header(&request, "content-type").to_owned();
    let answer = match reaction {
        Reaction::Answer(answer) => answer.encode(&content_type).expect("encodes"),
        Reaction::Fail(error) => encode_error(&error),
        Reaction::LoseAnswer => {
            let mut writer = request.into_writer();
            writer.write_all(b"broken\r\n\r\n").expect("writes");
            writer.flush().expect("writes");
            return;
        }
    };
    let response = tiny_http::Response::from_data(answer.body).with_status_code(answer.status);
    // The command may have ended already.
    let _ = request.respond(response);
}

/// An address that refuses connections as long as this value lives.
pub struct ClosedAddress {
    pub address: String,
    /// Bound but not listening, so that nobody else gets the port.
    _socket: Socket,
}

pub fn closed_address() -> ClosedAddress {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("binds");
    let address = socket.local_addr().expect("is bound");
    ClosedAddress {
        address: address.as_socket().expect("IPv4").to_string(),
        _socket: socket,
    }
}

/// A command that ended.
#[derive(Debug)]
pub struct Finished {
    pub status: i32,
    pub standard_output: String,
    pub standard_error: String,
}

impl Finished {
    /// Standard output as JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_str(&self.standard_output).expect("is JSON")
    }

    /// The first words of the lines on standard output that are not empty.
    pub fn words(&self) -> Vec<Vec<&str>> {
        let lines = self.standard_output.lines();
        lines
            .map(|line| line.split_whitespace().collect())
            .filter(|words: &Vec<&str>| !words.is_empty())
            .collect()
    }
}

/// Runs the command line with the stub's token against these servers.
pub fn run_with_servers(servers: &str, arguments: &[&str]) -> Finished {
    let mut command = bare_command();
    command
        .env("RIDGEWORKS_SERVER", servers)
        .env("RIDGEWORKS_TOKEN", TOKEN)
        .args(arguments);
    finish(&mut command)
}

/// The command line without any settings from the environment.
pub fn bare_command() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ridgeworks"));
    command
        .env_remove("RIDGEWORKS_SERVER")
        .env_remove("RIDGEWORKS_TOKEN")
        .env_remove("RIDGEWORKS_TOKEN_FILE");
    command
}

/// Waits for the end of a command.
pub fn finish(command: &mut Command) -> Finished {
    let output: Output = command.output().expect("runs");
    let text = |bytes| String::from_utf8(bytes).expect("is text");
    Finished {
        status: output.status.code().expect("ends by itself"),
        standard_output: text(output.stdout),
        standard_error: text(output.stderr),
    }
}

/// A program in this version.
pub fn program(name: &str, version: u64) -> v1::Object {
    v1::Object {
        metadata: Some(v1::Metadata {
            kind: ObjectKind::Program.into(),
            name: name.to_owned(),
            version,
            partner: "north".to_owned(),
            revision: version + 10,
        }),
        specification: Some(Specification::Program(v1::Program {
            class: "routine".to_owned(),
            services: vec!["chat".to_owned()],
            budget: 9_000,
            max_calls: 50,
        })),
    }
}
