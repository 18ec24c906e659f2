//! The platform's metadata store: objects with revisions, lists, watches and compare-and-swap.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Request, read_request};
use crate::json::Json;
use crate::lock;

/// "4 ms an answer", and 1.4 ms each way between zones.
const ANSWER_TIME: Duration = Duration::from_micros(6_800);
/// The way that a new connection takes besides.
const HANDSHAKE_TIME: Duration = Duration::from_micros(2_800);

#[derive(Debug, Clone)]
struct Object {
    revision: u64,
    made: u64,
    spec: Json,
    status: Json,
}

#[derive(Debug)]
struct Event {
    revision: u64,
    kind: String,
    object: Json,
    gone: bool,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    history: Vec<Event>,
}

impl State {
    fn render(&self, kind: &str, name: &str) -> Option<Json> {
        let object = self.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(render(name, object))
    }

    fn change(&mut self, kind: &str, name: &str, update: impl FnOnce(&mut Object)) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        let next = self.revision + 1;
        let object = self.objects.entry(key).or_insert(Object {
            revision: 0,
            made: next,
            spec: Json::Null,
            status: Json::Null,
        });
        let before = (object.spec.clone(), object.status.clone());
        update(object);
        // A write that changes nothing raises no revision.
        if object.revision == 0 || before != (object.spec.clone(), object.status.clone()) {
            object.revision = next;
            self.revision = next;
            let rendered = render(name, object);
            self.log(kind, rendered, false);
        }
        self.render(kind, name).unwrap_or(Json::Null)
    }

    fn log(&mut self, kind: &str, object: Json, gone: bool) {
        self.history.push(Event {
            revision: self.revision,
            kind: kind.to_owned(),
            object,
            gone,
        });
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let removed = self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let Some(object) = removed else {
            return false;
        };
        self.revision += 1;
        self.log(kind, render(name, &object), true);
        true
    }
}

fn render(name: &str, object: &Object) -> Json {
    let metadata = Json::table([
        ("name", Json::text(name)),
        ("revision", Json::number(object.revision)),
        ("made", Json::number(object.made)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    Json::table([
        ("metadata", metadata),
        ("spec", object.spec.clone()),
        ("status", object.status.clone()),
    ])
}

#[derive(Debug, Default)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

/// A running store.
#[derive(Debug, Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl Store {
    /// Starts a store at a free port of this address.
    pub fn start(ip: IpAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((ip, 0))?;
        let address = listener.local_addr()?;
        let shared = Arc::<Shared>::default();
        let serving = Arc::clone(&shared);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&serving);
                std::thread::spawn(move || serve(stream, &shared));
            }
        });
        Ok(Self { address, shared })
    }

    /// Creates an object or replaces its `spec`, as the operator or an engine does.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        lock(&self.shared.state).change(kind, name, |object| object.spec = spec);
        self.shared.changed.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        lock(&self.shared.state).remove(kind, name);
        self.shared.changed.notify_all();
    }

    /// An object as it is served; `None` if there is none.
    pub fn object(&self, kind: &str, name: &str) -> Option<Json> {
        lock(&self.shared.state).render(kind, name)
    }

    /// Waits until a condition on the state's object holds; false after the limit.
    pub fn wait_for(
        &self,
        kind: &str,
        name: &str,
        limit: Duration,
        holds: impl Fn(&Json) -> bool,
    ) -> bool {
        let until = Instant::now() + limit;
        let mut state = lock(&self.shared.state);
        loop {
            if state
                .render(kind, name)
                .is_some_and(|object| holds(&object))
            {
                return true;
            }
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return false;
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited
                .map(|(state, _)| state)
                .unwrap_or_else(|error| error.into_inner().0);
        }
    }
}

fn serve(stream: TcpStream, shared: &Shared) {
    let _ = stream.set_nodelay(true);
    let Ok(mut writer) = stream.try_clone() else {
        return;
    };
    let mut reader = BufReader::new(stream);
    let mut handshake = HANDSHAKE_TIME;
    while let Ok(Some(request)) = read_request(&mut reader) {
        std::thread::sleep(ANSWER_TIME + std::mem::take(&mut handshake));
        let (status, body) = answer(&request, shared);
        let body = body.to_string();
        let head = format!(
            "HTTP/1.1 {status} Answer\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
            body.len()
        );
        if writer.write_all((head + &body).as_bytes()).is_err() {
            return;
        }
    }
}

fn empty() -> Json {
    Json::Table(Vec::new())
}

fn answer(request: &Request, shared: &Shared) -> (u16, Json) {
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((request.target.as_str(), ""));
    let Some(path) = path.strip_prefix("/v1/objects/") else {
        return (404, empty());
    };
    let mut names = path.splitn(3, '/');
    let kind = names.next().unwrap_or_default();
    let name = names.next();
    let is_status = names.next() == Some("status");
    let field = |key: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(found, _)| *found == key)
            .map(|(_, value)| value.to_owned())
    };
    let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
    match (request.method.as_str(), name) {
        ("GET", None) => match field("watch").and_then(|from| from.parse().ok()) {
            Some(from) => {
                let wait = field("wait_ms")
                    .and_then(|wait| wait.parse().ok())
                    .unwrap_or(0);
                watch(shared, kind, from, Duration::from_millis(wait))
            }
            None => list(shared, kind, field("after")),
        },
        ("GET", Some(name)) => match lock(&shared.state).render(kind, name) {
            Some(object) => (200, object),
            None => (404, empty()),
        },
        ("POST", None) => {
            let Some(name) = body.get("metadata").get("name").as_text() else {
                return (400, empty());
            };
            let mut state = lock(&shared.state);
            if let Some(object) = state.render(kind, name) {
                return (409, object);
            }
            let object = state.change(kind, name, |object| object.spec = body.get("spec").clone());
            drop(state);
            shared.changed.notify_all();
            (200, object)
        }
        ("PUT", Some(name)) => {
            let mut state = lock(&shared.state);
            let Some(present) = state.render(kind, name) else {
                return (404, empty());
            };
            let expected = body.get("metadata").get("revision").as_u64();
            let expected =
                expected.or(field("revision").and_then(|revision| revision.parse().ok()));
            if expected.is_some_and(|expected| {
                Some(expected) != present.get("metadata").get("revision").as_u64()
            }) {
                return (409, present);
            }
            let object = state.change(kind, name, |object| {
                if is_status {
                    object.status = body.get("status").clone();
                } else {
                    object.spec = body.get("spec").clone();
                }
            });
            drop(state);
            shared.changed.notify_all();
            (200, object)
        }
        ("DELETE", Some(name)) => {
            let is_removed = lock(&shared.state).remove(kind, name);
            shared.changed.notify_all();
            (if is_removed { 200 } else { 404 }, empty())
        }
        _ => (405, empty()),
    }
}

fn list(shared: &Shared, kind: &str, after: Option<String>) -> (u16, Json) {
    let state = lock(&shared.state);
    let of_kind = state
        .objects
        .iter()
        .filter(|((of, name), _)| of == kind && after.as_ref().is_none_or(|after| name > after));
    let items = of_kind
        .map(|((_, name), object)| render(name, object))
        .collect();
    let at = Json::number(state.revision);
    (
        200,
        Json::table([
            ("items", Json::List(items)),
            ("more", Json::Bool(false)),
            ("at", at),
        ]),
    )
}

fn watch(shared: &Shared, kind: &str, from: u64, wait: Duration) -> (u16, Json) {
    let until = Instant::now() + wait;
    let mut state = lock(&shared.state);
    loop {
        let new = state
            .history
            .iter()
            .filter(|event| event.revision > from && event.kind == kind);
        let events: Vec<Json> = new
            .map(|event| {
                Json::table([
                    ("object", event.object.clone()),
                    ("gone", Json::Bool(event.gone)),
                ])
            })
            .collect();
        let left = until.saturating_duration_since(Instant::now());
        if !events.is_empty() || left.is_zero() {
            let at = Json::number(state.revision);
            return (
                200,
                Json::table([("events", Json::List(events)), ("at", at)]),
            );
        }
        let waited = shared.changed.wait_timeout(state, left);
        state = waited
            .map(|(state, _)| state)
            .unwrap_or_else(|error| error.into_inner().0);
    }
}
