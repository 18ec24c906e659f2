//! A stand-in of the platform's store: objects by kind and name, revisions, watches.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Reader, write_answer};
use crate::json::Json;

#[derive(Default)]
struct State {
    revision: u64,
    /// By kind and name: revision of the last change, revision of its making, spec, status.
    objects: BTreeMap<(String, String), (u64, u64, Json, Json)>,
    /// Revision, kind, object, whether it is gone.
    history: Vec<(u64, String, Json, bool)>,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

fn render(name: &str, stored: &(u64, u64, Json, Json)) -> Json {
    let metadata = Json::object(vec![
        ("name", Json::text(name)),
        ("revision", Json::number(stored.0)),
        ("made", Json::number(stored.1)),
        ("finalizers", Json::List(Vec::new())),
        ("deleting", Json::Bool(false)),
    ]);
    Json::object(vec![
        ("metadata", metadata),
        ("spec", stored.2.clone()),
        ("status", stored.3.clone()),
    ])
}

impl State {
    fn put(&mut self, kind: &str, name: &str, spec: Option<Json>, status: Option<Json>) -> Json {
        let key = (kind.to_owned(), name.to_owned());
        let known = self.objects.get(&key).cloned();
        let mut stored = known
            .clone()
            .unwrap_or((0, self.revision + 1, Json::Null, Json::Null));
        stored.2 = spec.unwrap_or(stored.2);
        stored.3 = status.unwrap_or(stored.3);
        // What changes nothing raises no revision.
        if known.as_ref() == Some(&stored) {
            return render(name, &stored);
        }
        self.revision += 1;
        stored.0 = self.revision;
        let object = render(name, &stored);
        self.objects.insert(key, stored);
        self.history
            .push((self.revision, kind.to_owned(), object.clone(), false));
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let Some(stored) = self.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        self.revision += 1;
        self.history
            .push((self.revision, kind.to_owned(), render(name, &stored), true));
        true
    }
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
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

    /// What the operator or an engine writes.
    pub fn put(&self, kind: &str, name: &str, spec: Json) {
        self.shared
            .0
            .lock()
            .unwrap()
            .put(kind, name, Some(spec), None);
        self.shared.1.notify_all();
    }

    pub fn remove(&self, kind: &str, name: &str) {
        self.shared.0.lock().unwrap().remove(kind, name);
        self.shared.1.notify_all();
    }

    pub fn has_any(&self, kind: &str) -> bool {
        let state = self.shared.0.lock().unwrap();
        state.objects.keys().any(|(of, _)| of == kind)
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = Reader::new(stream.try_clone()?);
        while let Some(head) = reader.head()? {
            let mut body = Vec::new();
            reader.body(&head, |piece| body.extend_from_slice(piece))?;
            let body = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
            // An answer takes a few milliseconds.
            thread::sleep(Duration::from_millis(4));
            let (status, answer) = self.answer(head.word(0), head.word(1), &body);
            let kind = ("Content-Type", "application/json".to_owned());
            write_answer(&mut stream, status, &[kind], answer.write().as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, method: &str, target: &str, body: &Json) -> (u16, Json) {
        let empty = || Json::object(Vec::new());
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let Some(path) = path.strip_prefix("/v1/objects/") else {
            return (404, empty());
        };
        let mut names = path.split('/');
        let kind = names.next().unwrap_or_default();
        let name = names.next();
        let is_status = names.next() == Some("status");
        let option = |key: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find(|(name, _)| *name == key)
                .map(|(_, value)| value.to_owned())
        };
        let (lock, changed) = &*self.shared;
        let mut state = lock.lock().unwrap();
        match (method, name) {
            ("GET", None) => {
                if let Some(from) = option("watch").and_then(|from| from.parse::<u64>().ok()) {
                    let wait = option("wait_ms")
                        .and_then(|wait| wait.parse().ok())
                        .unwrap_or(0);
                    let until = Instant::now() + Duration::from_millis(wait);
                    loop {
                        let events = state.history.iter();
                        let events = events.filter(|entry| entry.0 > from && entry.1 == kind);
                        let events: Vec<Json> = events
                            .map(|entry| {
                                Json::object(vec![
                                    ("gone", Json::Bool(entry.3)),
                                    ("object", entry.2.clone()),
                                ])
                            })
                            .collect();
                        let left = until.saturating_duration_since(Instant::now());
                        if !events.is_empty() || left.is_zero() {
                            let fields = vec![
                                ("events", Json::List(events)),
                                ("at", Json::number(state.revision)),
                            ];
                            return (200, Json::object(fields));
                        }
                        state = changed.wait_timeout(state, left).unwrap().0;
                    }
                }
                let after = option("after").unwrap_or_default();
                let items = state.objects.iter();
                let items = items.filter(|((of, name), _)| of == kind && *name > after);
                let items: Vec<Json> = items
                    .map(|((_, name), stored)| render(name, stored))
                    .collect();
                let fields = vec![
                    ("items", Json::List(items)),
                    ("more", Json::Bool(false)),
                    ("at", Json::number(state.revision)),
                ];
                (200, Json::object(fields))
            }
            ("GET", Some(name)) => match state.objects.get(&(kind.to_owned(), name.to_owned())) {
                Some(stored) => (200, render(name, stored)),
                None => (404, empty()),
            },
            ("POST", None) => {
                let name = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("name"));
                let Some(name) = name.and_then(Json::as_text) else {
                    return (400, empty());
                };
                if let Some(stored) = state.objects.get(&(kind.to_owned(), name.to_owned())) {
                    return (409, render(name, stored));
                }
                let object = state.put(kind, name, body.get("spec").cloned(), None);
                changed.notify_all();
                (200, object)
            }
            ("PUT", Some(name)) => {
                let Some(stored) = state.objects.get(&(kind.to_owned(), name.to_owned())) else {
                    return (404, empty());
                };
                let expected = body
                    .get("metadata")
                    .and_then(|metadata| metadata.get("revision"));
                if expected
                    .and_then(Json::as_number)
                    .is_some_and(|expected| expected != stored.0)
                {
                    return (409, render(name, stored));
                }
                let object = if is_status {
                    state.put(kind, name, None, body.get("status").cloned())
                } else {
                    state.put(kind, name, body.get("spec").cloned(), None)
                };
                changed.notify_all();
                (200, object)
            }
            ("DELETE", Some(name)) => {
                let is_removed = state.remove(kind, name);
                changed.notify_all();
                (if is_removed { 200 } else { 404 }, empty())
            }
            _ => (405, empty()),
        }
    }
}
