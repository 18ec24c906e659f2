//! Stand-ins for the scripts of this review, with nothing but the standard library: the platform's store, model
//! engines and plain servers, clients, and a small deployment of the project's own processes on loopback.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

pub fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

// ---------------------------------------------------------------- JSON

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number, as written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse_value(bytes, &mut at)?;
        skip_blanks(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Table(fields) => fields
                .iter()
                .find(|(key, _)| key == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        match self {
            Json::Text(text) => Some(text),
            _ => None,
        }
    }

    pub fn number(&self) -> Option<u64> {
        match self {
            Json::Number(number) => number.parse::<f64>().ok().map(|number| number as u64),
            _ => None,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(items) => items,
            _ => &[],
        }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        write_value(self, &mut out);
        out
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(bytes, at)?;
                        skip_blanks(bytes, at);
                        if *bytes.get(*at)? != b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((key, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match *bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(items));
                    }
                    b',' => *at += 1,
                    _ => items.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => word(bytes, at, "true", Json::Bool(true)),
        b'f' => word(bytes, at, "false", Json::Bool(false)),
        b'n' => word(bytes, at, "null", Json::Null),
        _ => {
            let from = *at;
            while *at < bytes.len()
                && (bytes[*at].is_ascii_alphanumeric() || b"+-.".contains(&bytes[*at]))
            {
                *at += 1;
            }
            (*at > from)
                .then(|| Json::Number(String::from_utf8_lossy(&bytes[from..*at]).into_owned()))
        }
    }
}

fn word(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    if *bytes.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let code =
                            char::from_u32(u32::from_str_radix(hex, 16).ok()?).unwrap_or('?');
                        out.extend_from_slice(code.to_string().as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}

fn write_value(value: &Json, out: &mut String) {
    match value {
        Json::Null => out.push_str("null"),
        Json::Bool(value) => out.push_str(if *value { "true" } else { "false" }),
        Json::Number(number) => out.push_str(number),
        Json::Text(text) => write_text(text, out),
        Json::List(items) => {
            out.push('[');
            for (index, item) in items.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_value(item, out);
            }
            out.push(']');
        }
        Json::Table(fields) => {
            out.push('{');
            for (index, (key, item)) in fields.iter().enumerate() {
                if index > 0 {
                    out.push(',');
                }
                write_text(key, out);
                out.push(':');
                write_value(item, out);
            }
            out.push('}');
        }
    }
}

fn write_text(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            '\n' => out.push_str("\\n"),
            '\r' => out.push_str("\\r"),
            '\t' => out.push_str("\\t"),
            c if (c as u32) < 32 => {
                let _ = write!(out, "\\u{:04x}", c as u32);
            }
            c => out.push(c),
        }
    }
    out.push('"');
}

// ---------------------------------------------------------------- record

/// What was sent, answered and run, with the time since the start; also what `record.txt` holds.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Record {
    pub fn new() -> Self {
        Record {
            began: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let line = format!(
            "{:8.3} s  {}",
            self.began.elapsed().as_secs_f64(),
            text.as_ref()
        );
        println!("{line}");
        lock(&self.lines).push(line);
    }

    pub fn since_start(&self) -> Duration {
        self.began.elapsed()
    }

    pub fn save(&self, path: &Path) {
        let text = lock(&self.lines).join("\n") + "\n";
        let _ = fs::write(path, text);
    }
}

// ---------------------------------------------------------------- HTTP, both sides

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line: `METHOD TARGET VERSION` or `VERSION STATUS TEXT`.
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        let found = headers.find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads bytes up to the end of a head; `None` if the connection ends before.
fn read_head(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    loop {
        if let Some(end) = find(buffer, b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&buffer[..end]).into_owned();
            buffer.drain(..end + 4);
            let mut lines = head.split("\r\n");
            let first = lines.next().unwrap_or_default().to_owned();
            let headers = lines.filter_map(|line| line.split_once(':'));
            let headers =
                headers.map(|(name, value)| (name.trim().to_owned(), value.trim().to_owned()));
            return Ok(Some(Message {
                first,
                headers: headers.collect(),
                body: Vec::new(),
            }));
        }
        if fill(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
}

fn fill(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<usize> {
    let mut chunk = [0; 16 * 1024];
    let read = stream.read(&mut chunk)?;
    buffer.extend_from_slice(&chunk[..read]);
    Ok(read)
}

fn find(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).position(|window| window == what)
}

/// Reads a whole request; `None` if the connection ends before.
pub fn read_request(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(stream, buffer)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    let length: usize = length.unwrap_or(0);
    while buffer.len() < length {
        if fill(stream, buffer)? == 0 {
            return Ok(None);
        }
    }
    message.body = buffer.drain(..length).collect();
    Ok(Some(message))
}

// ---------------------------------------------------------------- the platform's store

struct Stored {
    revision: u64,
    made: u64,
    spec: Json,
    status: Json,
}

struct Change {
    revision: u64,
    kind: String,
    gone: bool,
    object: Json,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    objects: BTreeMap<(String, String), Stored>,
    history: Vec<Change>,
}

/// The store as the pages describe it: lists, watches, conditions on revisions. It loses nothing and answers at once.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<StoreState>, Condvar)>,
}

fn render(name: &str, stored: &Stored) -> Json {
    let number = |value: u64| Json::Number(value.to_string());
    let metadata = Json::Table(vec![
        ("name".into(), Json::Text(name.into())),
        ("revision".into(), number(stored.revision)),
        ("made".into(), number(stored.made)),
        ("finalizers".into(), Json::List(Vec::new())),
        ("deleting".into(), Json::Bool(false)),
    ]);
    Json::Table(vec![
        ("metadata".into(), metadata),
        ("spec".into(), stored.spec.clone()),
        ("status".into(), stored.status.clone()),
    ])
}

impl Store {
    pub fn start(ip: Ipv4Addr) -> io::Result<Store> {
        let listener = TcpListener::bind((ip, 0))?;
        let store = Store {
            address: listener.local_addr()?,
            shared: Arc::default(),
        };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Makes an object or replaces its `spec`, as the operator and the engines do.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.change(kind, name, |stored| stored.spec = spec);
    }

    pub fn object(&self, kind: &str, name: &str) -> Option<Json> {
        let state = lock(&self.shared.0);
        let stored = state.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(render(name, stored))
    }

    pub fn remove(&self, kind: &str, name: &str) -> bool {
        let mut state = lock(&self.shared.0);
        let Some(stored) = state.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        state.revision += 1;
        let change = Change {
            revision: state.revision,
            kind: kind.to_owned(),
            gone: true,
            object: render(
                name,
                &Stored {
                    revision: state.revision,
                    ..stored
                },
            ),
        };
        state.history.push(change);
        self.shared.1.notify_all();
        true
    }

    fn change(&self, kind: &str, name: &str, change: impl FnOnce(&mut Stored)) -> Json {
        let mut state = lock(&self.shared.0);
        state.revision += 1;
        let revision = state.revision;
        let new = Stored {
            revision,
            made: revision,
            spec: Json::Null,
            status: Json::Null,
        };
        let key = (kind.to_owned(), name.to_owned());
        let stored = state.objects.entry(key).or_insert(new);
        change(stored);
        stored.revision = revision;
        let object = render(name, stored);
        let kind = kind.to_owned();
        state.history.push(Change {
            revision,
            kind,
            gone: false,
            object: object.clone(),
        });
        self.shared.1.notify_all();
        object
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            let (status, body) = self.answer(&request);
            let body = body.write();
            let head = format!(
                "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            stream.write_all((head + &body).as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Message) -> (u16, Json) {
        let none = || Json::Table(Vec::new());
        let (path, query) = request
            .target()
            .split_once('?')
            .unwrap_or((request.target(), ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, none());
        };
        let query: BTreeMap<&str, &str> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .collect();
        let mut parts = path.splitn(3, '/');
        let kind = parts.next().unwrap_or_default();
        let (name, is_status) = (parts.next(), parts.next() == Some("status"));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let known = name.and_then(|name| self.object(kind, name));
        let wanted = body
            .get("metadata")
            .and_then(|metadata| metadata.get("revision"))
            .and_then(Json::number);
        let wanted = wanted.or_else(|| query.get("revision")?.parse().ok());
        let revision = |object: &Json| {
            object
                .get("metadata")
                .and_then(|metadata| metadata.get("revision")?.number())
        };
        match (request.method(), name) {
            ("GET", None) => match query.get("watch") {
                Some(from) => self.watch(kind, from.parse().unwrap_or(0), &query),
                None => self.list(kind, query.get("after").copied()),
            },
            ("GET", Some(_)) => known.map_or((404, none()), |object| (200, object)),
            ("POST", None) => {
                let Some(name) = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name")?.text())
                else {
                    return (400, none());
                };
                if let Some(object) = self.object(kind, name) {
                    return (409, object);
                }
                let spec = body.get("spec").cloned().unwrap_or(Json::Null);
                (200, self.change(kind, name, |stored| stored.spec = spec))
            }
            ("PUT", Some(name)) => {
                let Some(known) = known else {
                    return (404, none());
                };
                if wanted.is_some() && wanted != revision(&known) {
                    return (409, known);
                }
                let field = if is_status { "status" } else { "spec" };
                let value = body.get(field).cloned().unwrap_or(Json::Null);
                if known.get(field) == Some(&value) {
                    return (200, known);
                }
                let object = self.change(kind, name, |stored| {
                    if is_status {
                        stored.status = value;
                    } else {
                        stored.spec = value;
                    }
                });
                (200, object)
            }
            ("DELETE", Some(name)) => (if self.remove(kind, name) { 200 } else { 404 }, none()),
            _ => (405, none()),
        }
    }

    fn list(&self, kind: &str, after: Option<&str>) -> (u16, Json) {
        const PAGE: usize = 500;
        let state = lock(&self.shared.0);
        let of_kind = state.objects.iter().filter(|((of, name), _)| {
            of == kind && after.is_none_or(|after| name.as_str() > after)
        });
        let all: Vec<Json> = of_kind
            .map(|((_, name), stored)| render(name, stored))
            .collect();
        let more = all.len() > PAGE;
        let items = all.into_iter().take(PAGE).collect();
        let at = Json::Number(state.revision.to_string());
        (
            200,
            Json::Table(vec![
                ("items".into(), Json::List(items)),
                ("more".into(), Json::Bool(more)),
                ("at".into(), at),
            ]),
        )
    }

    fn watch(&self, kind: &str, from: u64, query: &BTreeMap<&str, &str>) -> (u16, Json) {
        let wait = query
            .get("wait_ms")
            .and_then(|wait| wait.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + ms(wait);
        let mut state = lock(&self.shared.0);
        loop {
            let changes = state
                .history
                .iter()
                .filter(|change| change.kind == kind && change.revision > from);
            let events: Vec<Json> = changes
                .map(|change| {
                    Json::Table(vec![
                        ("object".into(), change.object.clone()),
                        ("gone".into(), Json::Bool(change.gone)),
                    ])
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let at = Json::Number(state.revision.to_string());
                return (
                    200,
                    Json::Table(vec![
                        ("events".into(), Json::List(events)),
                        ("at".into(), at),
                    ]),
                );
            }
            state = self
                .shared
                .1
                .wait_timeout(state, left)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        }
    }
}

// ---------------------------------------------------------------- engines

/// What one request is to be answered with.
#[derive(Clone, Debug)]
pub enum Work {
    /// A stream of events with these data, the first one after `first`, the others `gap` apart.
    Stream {
        data: Vec<String>,
        first: Duration,
        gap: Duration,
    },
    /// A whole body.
    Whole { body: Arc<Vec<u8>>, after: Duration },
}

/// A request that an engine ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub engine: String,
    pub request: Message,
    pub at: Duration,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request
            .header("ridgeworks-request-id")
            .unwrap_or_default()
    }
}

/// An engine that does what a sound one does: it refuses what is meant for another one, takes a stream up after
/// `Last-Event-Id`, and drops a request whose connection closes.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    pub runs: Arc<Mutex<Vec<Run>>>,
    /// Requests that it runs at the moment.
    pub running: Arc<AtomicU64>,
    crashed: Arc<AtomicBool>,
    open: Arc<Mutex<Vec<TcpStream>>>,
}

pub type Worker = Arc<dyn Fn(&Message) -> Work + Send + Sync>;

impl Engine {
    pub fn start(ip: Ipv4Addr, id: &str, record: &Record, work: Worker) -> io::Result<Engine> {
        let listener = TcpListener::bind((ip, 0))?;
        let engine = Engine {
            id: id.to_owned(),
            address: listener.local_addr()?,
            runs: Arc::default(),
            running: Arc::default(),
            crashed: Arc::default(),
            open: Arc::default(),
        };
        let (serving, record) = (engine.clone(), record.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.crashed.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(stream) = stream.try_clone() {
                    lock(&serving.open).push(stream);
                }
                let (engine, record, work) = (serving.clone(), record.clone(), work.clone());
                thread::spawn(move || {
                    let _ = stream.set_nodelay(true);
                    let _ = engine.serve(stream, &record, &work);
                });
            }
        });
        Ok(engine)
    }

    /// Writes its entry into the store.
    pub fn register(&self, store: &Store, service: &str, zone: &str) {
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":8,\
             \"state\":\"ready\",\"cold_left_ms\":0,\"seq\":1}}",
            self.address
        );
        store.put("servers", &self.id, Json::parse(&text).expect("an entry"));
    }

    /// Its process ends at once: nothing listens any more and all connections are closed.
    pub fn crash(&self) {
        self.crashed.store(true, Ordering::SeqCst);
        // Wakes the listener, which then goes.
        let _ = TcpStream::connect(self.address);
        for stream in lock(&self.open).drain(..) {
            let _ = stream.shutdown(std::net::Shutdown::Both);
        }
    }

    fn serve(&self, mut stream: TcpStream, record: &Record, work: &Worker) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            let id = request
                .header("ridgeworks-request-id")
                .unwrap_or_default()
                .to_owned();
            let target = request.target().to_owned();
            if target == "/healthz" || target == "/v1/report" {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nRidgeworks-Instance-Id: {}\r\nContent-Length: 2\r\n\r\n{{}}",
                    self.id
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            let expected = request.header("ridgeworks-expect-instance");
            if expected.is_some_and(|expected| expected != self.id) || id.is_empty() {
                let status = if id.is_empty() {
                    "400 Bad Request"
                } else {
                    "421 Misdirected Request"
                };
                let head = format!(
                    "HTTP/1.1 {status}\r\nRidgeworks-Request-Id: {id}\r\nRidgeworks-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
                );
                stream.write_all(head.as_bytes())?;
                continue;
            }
            let run = Run {
                engine: self.id.clone(),
                request: request.clone(),
                at: record.since_start(),
            };
            lock(&self.runs).push(run);
            record.line(format!(
                "{} runs {id}: {target}, body of {} bytes",
                self.id,
                request.body.len()
            ));
            let seal = format!(
                "HTTP/1.1 200 OK\r\nRidgeworks-Request-Id: {id}\r\nRidgeworks-Server-Seal: seal-{}-{id}\r\n",
                self.id
            );
            self.running.fetch_add(1, Ordering::SeqCst);
            let sent = match work(&request) {
                Work::Whole { body, after } => {
                    thread::sleep(after);
                    let head = format!("{seal}Content-Length: {}\r\n\r\n", body.len());
                    stream
                        .write_all(head.as_bytes())
                        .and_then(|()| stream.write_all(&body))
                }
                Work::Stream { data, first, gap } => {
                    send_events(&mut stream, &request, &seal, &data, first, gap)
                }
            };
            self.running.fetch_sub(1, Ordering::SeqCst);
            match &sent {
                Ok(()) => record.line(format!("{} has ended {id}", self.id)),
                Err(error) => record.line(format!("{} was cut off at {id}: {error}", self.id)),
            }
            sent?;
        }
        Ok(())
    }
}

fn send_events(
    stream: &mut TcpStream,
    request: &Message,
    seal: &str,
    data: &[String],
    first: Duration,
    gap: Duration,
) -> io::Result<()> {
    let after: usize = request
        .header("last-event-id")
        .and_then(|id| id.parse().ok())
        .unwrap_or(0);
    stream.write_all(
        format!("{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            .as_bytes(),
    )?;
    for (index, data) in data.iter().enumerate().skip(after) {
        thread::sleep(if index == after { first } else { gap });
        let event = format!("id: {}\ndata: {data}\n\n", index + 1);
        stream.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")
}

// ---------------------------------------------------------------- clients

/// An answer as a client saw it.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    /// 0 if no head came.
    pub status: u16,
    pub head: Message,
    pub body: Vec<u8>,
    /// Whether the body came to its end, by its framing.
    pub whole: bool,
    /// How the connection ended, where the answer is not whole.
    pub end: String,
}

impl Answer {
    /// The identifiers and data of the events that came whole.
    pub fn events(&self) -> Vec<(u64, String)> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let whole = text.rfind("\n\n").map_or("", |end| &text[..end]);
        let blocks = whole.split("\n\n").filter(|block| !block.is_empty());
        blocks
            .map(|block| {
                let field = |name: &str| {
                    block
                        .lines()
                        .find_map(|line| line.strip_prefix(name))
                        .unwrap_or_default()
                        .to_owned()
                };
                (field("id: ").parse().unwrap_or(0), field("data: "))
            })
            .collect()
    }

    pub fn describe(&self) -> String {
        let seal = if self.head.header("ridgeworks-server-seal").is_some() {
            "sealed"
        } else {
            "no seal"
        };
        let end = if self.whole {
            "whole".to_owned()
        } else {
            format!("NOT whole ({})", self.end)
        };
        format!(
            "status {}, {seal}, {} bytes, {end}",
            self.status,
            self.body.len()
        )
    }
}

#[derive(Clone, Debug)]
pub struct Call {
    pub method: String,
    pub host: String,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
    /// Bytes a second that the client's line takes; `None` for no limit.
    pub bytes_per_s: Option<usize>,
}

impl Call {
    pub fn new(method: &str, path: &str, id: &str, deadline: Duration) -> Call {
        let headers = vec![
            ("Ridgeworks-Request-Id".to_owned(), id.to_owned()),
            (
                "Ridgeworks-Deadline-Ms".to_owned(),
                deadline.as_millis().to_string(),
            ),
        ];
        Call {
            method: method.to_owned(),
            host: "app.example".to_owned(),
            path: path.to_owned(),
            headers,
            body: Vec::new(),
            deadline,
            bytes_per_s: None,
        }
    }

    pub fn header(mut self, name: &str, value: impl ToString) -> Call {
        self.headers.push((name.to_owned(), value.to_string()));
        self
    }

    pub fn body(mut self, body: &str) -> Call {
        self.body = body.as_bytes().to_vec();
        self
    }

    /// Sends the request on a new connection and reads the answer until its end, a failure or the deadline. `on_bytes` is
    /// called with the answer so far.
    pub fn send(&self, to: SocketAddr, mut on_bytes: impl FnMut(&Answer)) -> Answer {
        let until = Instant::now() + self.deadline;
        let mut answer = Answer::default();
        if let Err(error) = self.exchange(to, until, &mut answer, &mut on_bytes) {
            answer.end = error.to_string();
        }
        answer
    }

    fn exchange(
        &self,
        to: SocketAddr,
        until: Instant,
        answer: &mut Answer,
        on_bytes: &mut impl FnMut(&Answer),
    ) -> io::Result<()> {
        let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let mut head = format!(
            "{} {} HTTP/1.1\r\nHost: {}\r\n",
            self.method, self.path, self.host
        );
        for (name, value) in &self.headers {
            let _ = write!(head, "{name}: {value}\r\n");
        }
        if !self.body.is_empty() {
            let _ = write!(head, "Content-Length: {}\r\n", self.body.len());
        }
        head.push_str("\r\n");
        stream.write_all(head.as_bytes())?;
        stream.write_all(&self.body)?;
        let mut buffer = Vec::new();
        stream.set_read_timeout(Some(left(until)?))?;
        let Some(head) = read_head(&mut stream, &mut buffer)? else {
            return Err(io::Error::new(
                io::ErrorKind::UnexpectedEof,
                "closed without an answer",
            ));
        };
        answer.status = head
            .first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0);
        let chunked = head
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length: Option<usize> = head
            .header("content-length")
            .and_then(|length| length.parse().ok());
        answer.head = head;
        let began = Instant::now();
        let mut taken = 0;
        loop {
            if chunked {
                loop {
                    let Some(line) = find(&buffer, b"\r\n") else {
                        break;
                    };
                    let size =
                        usize::from_str_radix(String::from_utf8_lossy(&buffer[..line]).trim(), 16);
                    let size =
                        size.map_err(|_| io::Error::new(io::ErrorKind::InvalidData, "no chunk"))?;
                    if buffer.len() < line + 2 + size + 2 {
                        break;
                    }
                    answer
                        .body
                        .extend_from_slice(&buffer[line + 2..line + 2 + size]);
                    buffer.drain(..line + 2 + size + 2);
                    answer.whole = size == 0;
                    on_bytes(answer);
                    if answer.whole {
                        return Ok(());
                    }
                }
            } else {
                answer.body.append(&mut buffer);
                answer.whole = answer.body.len() >= length.unwrap_or(0) && length.is_some();
                on_bytes(answer);
                if answer.whole {
                    return Ok(());
                }
            }
            if let Some(rate) = self.bytes_per_s {
                // A line that takes so many bytes a second: what is ahead of it is read later.
                let due = Duration::from_secs_f64(taken as f64 / rate as f64);
                thread::sleep(due.saturating_sub(began.elapsed()));
            }
            stream.set_read_timeout(Some(left(until)?))?;
            let read = fill(&mut stream, &mut buffer)?;
            taken += read;
            if read == 0 {
                return Err(io::Error::new(
                    io::ErrorKind::UnexpectedEof,
                    "closed in the middle",
                ));
            }
        }
    }
}

fn left(until: Instant) -> io::Result<Duration> {
    let left = until.saturating_duration_since(Instant::now());
    if left.is_zero() {
        return Err(io::Error::new(
            io::ErrorKind::TimedOut,
            "deadline of the client",
        ));
    }
    Ok(left)
}

// ---------------------------------------------------------------- the deployment

static NEXT: AtomicU64 = AtomicU64::new(1);

/// One of the project's processes.
pub struct Node {
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    pub is_front: bool,
    settings: PathBuf,
    log: PathBuf,
    data: PathBuf,
    child: Option<Child>,
    started: bool,
}

const FRONT: u16 = 8149;
const READINESS: u16 = 8141;
const PEERS: u16 = 7380;
const ZONES: [&str; 3] = ["zone-a", "zone-b", "zone-c"];

impl Node {
    pub fn front(&self) -> SocketAddr {
        SocketAddr::V4(SocketAddrV4::new(self.ip, FRONT))
    }

    /// Starts it as the deploy file says.
    pub fn start(&mut self) {
        if self.started {
            let text = fs::read_to_string(&self.settings).expect("settings");
            let text = text.replacen("bootstrap = true", "bootstrap = false", 1);
            fs::write(&self.settings, text).expect("settings");
        }
        let log = File::options()
            .append(true)
            .create(true)
            .open(&self.log)
            .expect("a log file");
        let error = log.try_clone().expect("a log file");
        let child = Command::new("target/release/ridgeworksd")
            .arg("resident")
            .env("RIDGEWORKS_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(error)
            .spawn();
        let child = child.expect("the program starts");
        lock(&STARTED).push(child.id());
        self.child = Some(child);
        self.started = true;
    }

    pub fn pid(&self) -> u32 {
        self.child.as_ref().map_or(0, Child::id)
    }

    /// SIGKILL.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let pid = child.id();
            let _ = child.kill();
            let _ = child.wait();
            lock(&STARTED).retain(|started| *started != pid);
        }
    }

    /// Another signal, by its name for kill(1).
    pub fn signal(&self, name: &str) {
        signal(self.pid(), name);
    }

    /// Whether the process has ended by itself, with its status.
    pub fn ended(&mut self) -> Option<String> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn wipe(&self) {
        let _ = fs::remove_dir_all(&self.data);
    }

    pub fn is_ready(&self) -> bool {
        let to = SocketAddr::V4(SocketAddrV4::new(self.ip, READINESS));
        Call::new("GET", "/v1/ready", "ready", ms(500))
            .send(to, |_| ())
            .status
            == 200
    }

    pub fn log(&self) -> String {
        fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.kill();
    }
}

pub struct Deployment {
    pub store: Store,
    pub fronts: Vec<Node>,
    pub stores: Vec<Node>,
    pub record: Record,
    pub net: (u8, u8),
    folder: PathBuf,
}

impl Deployment {
    /// A store, and nodes that are not started yet.
    pub fn new(fronts: u8, stores: u8) -> Deployment {
        let (net, claim) = free_net();
        let folder = std::env::temp_dir().join(format!(
            "ridgeworks-review-{}-{}",
            std::process::id(),
            NEXT.fetch_add(1, Ordering::SeqCst)
        ));
        fs::create_dir_all(&folder).expect("a temporary folder");
        let ip = |last: u8| Ipv4Addr::new(127, net.0, net.1, last);
        let store = Store::start(ip(250)).expect("a store");
        std::mem::forget(claim);
        let mut deployment = Deployment {
            store,
            fronts: Vec::new(),
            stores: Vec::new(),
            record: Record::new(),
            net,
            folder,
        };
        watch_over(deployment.record.clone());
        for index in 0..fronts {
            let node = deployment.node(true, index);
            deployment.fronts.push(node);
        }
        for index in 0..stores {
            let node = deployment.node(false, index);
            deployment.stores.push(node);
        }
        deployment
    }

    pub fn ip(&self, last: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, last)
    }

    /// Fills the template of the settings as the platform does, for a deployment like sbmsu-ridge with fewer zones.
    fn node(&self, is_front: bool, index: u8) -> Node {
        let (class, last) = if is_front {
            ("front", 1 + index)
        } else {
            ("storage", 101 + index)
        };
        let zone = ZONES[usize::from(index) % 3];
        let name = format!("{class}-{zone}-{}", index / 3 + 1);
        let ip = self.ip(last);
        let data = self.folder.join(format!("{name}-data"));
        let role = if is_front { "gateway" } else { "replica" };
        let seeds: Vec<String> = (1..=3)
            .map(|last| format!("\"{}:8144\"", self.ip(last)))
            .collect();
        let mut text = format!(
            "role = \"{role}\"\nname = \"{name}\"\nzone = \"{zone}\"\naddress = \"{ip}\"\npeer_port = {PEERS}\n\
             bootstrap = true\nseeds = [{}]\n",
            seeds.join(",")
        );
        if !is_front {
            let _ = writeln!(text, "data_folder = \"{}\"", data.display());
        }
        text.push_str("[zones]\n\"zone-a\" = \"region\"\n\"zone-b\" = \"region\"\n\"zone-c\" = \"region\"\n[listen]\n");
        if is_front {
            let _ = writeln!(
                text,
                "callers = \"{ip}:{FRONT}\"\nreadiness = \"{ip}:{READINESS}\""
            );
        }
        let (fds, memory, disk) = if is_front {
            (4100, 260, 0)
        } else {
            (8200, 290, 440)
        };
        let _ = write!(
            text,
            "[limits]\nmemory_mb = {memory}\ndescriptors = {fds}\ndisk_mb = {disk}\n[platform]\nstore = \"{}\"\n\
             [bounds]\ngrace_s = 8\ncontact_ms = 3000\nconfiguration_ms = 2000\nlost_machines = 1\n\
             engine_heartbeat_ms = 1200\n",
            self.store.address
        );
        let settings = self.folder.join(format!("{name}.toml"));
        fs::write(&settings, text).expect("a settings file");
        Node {
            ip,
            zone: zone.to_owned(),
            is_front,
            settings,
            log: self.folder.join(format!("{name}.log")),
            data,
            child: None,
            started: false,
            name,
        }
    }

    /// Writes the first configuration; `routes` is a JSON list.
    pub fn configure(&self, version: u64, routes: &str) {
        let text = format!(
            "{{\"version\":{version},\"routes\":{routes},\"services\":[\
             {{\"name\":\"models\",\"health_path\":\"/healthz\",\"max_conns\":180,\"protocol\":\"h1\",\"tls\":false,\
             \"engine\":{{\"slots\":8,\"kv_capacity\":500000,\"kv_token_bytes\":1,\"link_mbps\":1000.0,\"event_tokens\":25,\
             \"models\":[{{\"name\":\"m\"}}]}}}},\
             {{\"name\":\"files\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
             \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
             \"idle_timeout_ms\":15000}}}}"
        );
        let spec = Json::parse(&text).expect("a configuration");
        self.store.put("config", "main", spec);
    }

    pub fn start_all(&mut self) {
        for node in self.stores.iter_mut().chain(&mut self.fronts) {
            node.start();
        }
    }

    /// The names of the voters; empty while the set changes or if there is none.
    pub fn voters(&self) -> Vec<String> {
        let Some(object) = self.store.object("ridgeworks-replica-sets", "main") else {
            return Vec::new();
        };
        let Some(spec) = object.get("spec") else {
            return Vec::new();
        };
        if spec
            .get("incoming")
            .is_some_and(|incoming| *incoming != Json::Null)
        {
            return Vec::new();
        }
        let voters = spec.get("voters").map(Json::list).unwrap_or_default();
        voters
            .iter()
            .filter_map(|voter| voter.get("node")?.text().map(str::to_owned))
            .collect()
    }

    /// Waits until all front nodes are ready and the replica set has so many voters; false after 30 s.
    pub fn wait_ready(&self, voters: usize) -> bool {
        wait_for(Duration::from_secs(30), || {
            self.voters().len() >= voters && self.fronts.iter().all(Node::is_ready)
        })
    }

    /// Keeps the processes' logs if asked to, for whoever wants to look into a case.
    fn keep_logs(&self) {
        let Ok(folder) = std::env::var("KEEP_LOGS") else {
            return;
        };
        let _ = fs::create_dir_all(&folder);
        for node in self.fronts.iter().chain(&self.stores) {
            let _ = fs::copy(
                &node.log,
                Path::new(&folder).join(format!("{}.log", node.name)),
            );
        }
    }

    /// Ends all processes, writes the record and ends with the status: 1 if the rule was broken, 0 if it held, 2 if
    /// the case could not run.
    pub fn finish(mut self, status: i32, verdict: &str) -> ! {
        self.record.line(verdict);
        for node in self.fronts.iter_mut().chain(&mut self.stores) {
            node.kill();
        }
        self.keep_logs();
        self.record.save(Path::new(&record_path()));
        let _ = fs::remove_dir_all(&self.folder);
        std::process::exit(status)
    }
}

/// A part of the loopback network that nobody uses, with the socket that claims it.
fn free_net() -> ((u8, u8), UdpSocket) {
    let first = std::process::id();
    for step in 0..200 {
        let net = (
            180 + ((first / 250) % 60) as u8,
            1 + ((first + step) % 250) as u8,
        );
        let ip = Ipv4Addr::new(127, net.0, net.1, 253);
        if let Ok(claim) = UdpSocket::bind((ip, 27_139)) {
            return (net, claim);
        }
    }
    panic!("no free part of the loopback network")
}

/// Sends a signal to a process that the test started.
pub fn signal(pid: u32, name: &str) {
    if pid > 0 {
        let _ = Command::new("/bin/sh")
            .args(["-c", &format!("kill -{name} {pid}")])
            .status();
    }
}

/// Processes that were started and may still run.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the test with status 2 if it takes too long.
fn watch_over(record: Record) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(112));
        record.line("the case took too long");
        for pid in lock(&STARTED).iter() {
            signal(*pid, "KILL");
        }
        record.save(Path::new(&record_path()));
        std::process::exit(2);
    });
}

fn record_path() -> String {
    std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned())
}

pub fn wait_for(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if holds() {
            return true;
        }
        thread::sleep(ms(50));
    }
    false
}

/// Whether the disruption is to take place.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A route of the configuration.
pub fn route(
    name: &str,
    prefix: &str,
    kind: &str,
    service: &str,
    timeout_ms: u64,
    more: &str,
) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"app.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\
         \"timeout_ms\":{timeout_ms},\"target_latency_ms\":200,\"priority\":1,\"service\":\"{service}\",\
         \"max_attempts\":2{more}}}"
    )
}
