//! A stand-in of an engine: it serves what it is sent, tells the record what it ran, and is in the platform's store.

use std::io::{self, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, Reader, write_answer};
use crate::json::Json;
use crate::record::Record;
use crate::store::Store;

pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Tokens in each event.
pub const EVENT_TOKENS: u64 = 25;

/// How an engine behaves now.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time to serve a plain request.
    pub work: Duration,
    /// Events of a stream, and the pause before each.
    pub events: u64,
    pub gap: Duration,
    /// The answer to one in so many of the requests that it runs is lost (`answer_lost`).
    pub loses_one_in: Option<u64>,
    /// The stream of this request is broken off once, in the middle of the event after this one (`garble`).
    pub breaks: Option<(String, u64)>,
    /// What it generates begins with a line feed, so that each event has an empty `data` line first, as `text/event-stream` has it.
    pub begins_with_line_feed: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            work: Duration::from_millis(20),
            events: 11,
            gap: Duration::from_millis(20),
            loses_one_in: None,
            breaks: None,
            begins_with_line_feed: false,
        }
    }
}

/// One request that an engine began to work on.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub engine: String,
    pub request: String,
    pub body: Vec<u8>,
}

struct Shared {
    id: String,
    service: String,
    behaviour: Mutex<Behaviour>,
    is_dead: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
    busy: AtomicU64,
    taken: AtomicU64,
    lost: Mutex<Vec<Instant>>,
    record: Record,
    runs: Arc<Mutex<Vec<Run>>>,
}

/// A running engine.
#[derive(Clone)]
pub struct Engine {
    pub id: String,
    pub address: SocketAddr,
    zone: String,
    shared: Arc<Shared>,
    store: Store,
}

impl Engine {
    pub fn start(
        id: &str,
        service: &str,
        zone: &str,
        address: SocketAddr,
        store: &Store,
        record: &Record,
        runs: &Arc<Mutex<Vec<Run>>>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            service: service.to_owned(),
            behaviour: Mutex::default(),
            is_dead: AtomicBool::new(false),
            open: Mutex::default(),
            busy: AtomicU64::new(0),
            taken: AtomicU64::new(0),
            lost: Mutex::default(),
            record: record.clone(),
            runs: Arc::clone(runs),
        });
        let engine = Self {
            id: id.to_owned(),
            address: listener.local_addr()?,
            zone: zone.to_owned(),
            shared: Arc::clone(&shared),
            store: store.clone(),
        };
        thread::spawn(move || {
            while !shared.is_dead.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                if let Ok(copy) = stream.try_clone() {
                    shared.open.lock().unwrap().push(copy);
                }
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    let _ = serve(&shared, stream);
                });
            }
        });
        engine.write_entry("ready");
        Ok(engine)
    }

    fn write_entry(&self, state: &str) {
        let spec = Json::object(vec![
            ("service", Json::text(&self.shared.service)),
            ("address", Json::text(&self.address.to_string())),
            ("zone", Json::text(&self.zone)),
            ("version", Json::text("v1")),
            ("slots", Json::number(12)),
            ("state", Json::text(state)),
            ("cold_left_ms", Json::number(0)),
            ("seq", Json::number(1)),
        ]);
        self.store.put("servers", &self.id, spec);
    }

    /// Says in the store that it will leave.
    pub fn drain(&self) {
        self.write_entry("draining");
        self.shared
            .record
            .line(&format!("store: {} is draining, acknowledged", self.id));
    }

    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.shared.behaviour.lock().unwrap());
    }

    /// Requests at work now.
    pub fn busy(&self) -> u64 {
        self.shared.busy.load(Ordering::SeqCst)
    }

    /// Answers that were lost in this last time.
    pub fn lost_within(&self, time: Duration) -> usize {
        let lost = self.shared.lost.lock().unwrap();
        lost.iter().filter(|at| at.elapsed() < time).count()
    }

    /// Ends as a process does that crashes: nothing listens any more, its connections break, and its entry goes after three
    /// heartbeats.
    pub fn crash(&self) {
        self.shared.is_dead.store(true, Ordering::SeqCst);
        // The listener is closed by its thread.
        thread::sleep(Duration::from_millis(4));
        for stream in self.shared.open.lock().unwrap().drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
        self.shared
            .record
            .line(&format!("engine {} crashed", self.id));
        let engine = self.clone();
        thread::spawn(move || {
            thread::sleep(3 * HEARTBEAT);
            engine.store.remove("servers", &engine.id);
            engine
                .shared
                .record
                .line(&format!("store: entry of {} lapsed", engine.id));
        });
    }
}

fn serve(shared: &Shared, mut stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut reader = Reader::new(stream.try_clone()?);
    while let Some(head) = reader.head()? {
        let mut body = Vec::new();
        reader.body(&head, |piece| body.extend_from_slice(piece))?;
        if shared.is_dead.load(Ordering::SeqCst) {
            return Ok(());
        }
        if head.word(1) == "/healthz" {
            let id = ("Ridgeworks-Instance-Id", shared.id.clone());
            write_answer(&mut stream, 200, &[id], b"")?;
            continue;
        }
        if head.word(1).starts_with("/v1/") {
            write_answer(&mut stream, 404, &[], b"")?;
            continue;
        }
        shared.busy.fetch_add(1, Ordering::SeqCst);
        let answered = answer(shared, &mut reader, &mut stream, &head, body);
        shared.busy.fetch_sub(1, Ordering::SeqCst);
        if !answered? {
            break;
        }
    }
    Ok(())
}

/// Answers one request; false if the connection is not to be used any more.
fn answer(
    shared: &Shared,
    reader: &mut Reader,
    stream: &mut TcpStream,
    head: &Head,
    body: Vec<u8>,
) -> io::Result<bool> {
    let request = head
        .get("Ridgeworks-Request-Id")
        .unwrap_or_default()
        .to_owned();
    let id = ("Ridgeworks-Request-Id", request.clone());
    let expected = head.get("Ridgeworks-Expect-Instance");
    if expected.is_some_and(|expected| expected != shared.id) {
        let own = ("Ridgeworks-Instance-Id", shared.id.clone());
        write_answer(stream, 421, &[id, own], b"")?;
        return Ok(true);
    }
    let path = head.word(1).to_owned();
    shared.record.line(&format!(
        "engine {} runs {request} {} {path}",
        shared.id,
        head.word(0)
    ));
    shared.runs.lock().unwrap().push(Run {
        at: Instant::now(),
        engine: shared.id.clone(),
        request: request.clone(),
        body,
    });
    let behaviour = shared.behaviour.lock().unwrap().clone();
    let number = shared.taken.fetch_add(1, Ordering::SeqCst);
    let is_lost = behaviour
        .loses_one_in
        .is_some_and(|every| number % every == 0);
    if is_lost {
        reader.is_closed_within(behaviour.work);
        shared.record.line(&format!(
            "engine {} has run {request}, its answer is lost",
            shared.id
        ));
        shared.lost.lock().unwrap().push(Instant::now());
        reader.is_closed_within(Duration::from_secs(60));
        return Ok(false);
    }
    let seal = (
        "Ridgeworks-Server-Seal",
        format!("seal.{}.{request}", shared.id),
    );
    let is_stream = head.get("Ridgeworks-Token-Count").is_some();
    if !is_stream {
        if reader.is_closed_within(behaviour.work) {
            return Ok(false);
        }
        let body = format!("answer of {} to {request}", shared.id);
        write_answer(stream, 200, &[id, seal], body.as_bytes())?;
        return Ok(true);
    }
    let mut out = String::from(
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
    );
    out.push_str(&format!(
        "{}: {}\r\n{}: {}\r\n\r\n",
        id.0, id.1, seal.0, seal.1
    ));
    stream.write_all(out.as_bytes())?;
    let last: u64 = head
        .get("Last-Event-Id")
        .and_then(|last| last.parse().ok())
        .unwrap_or(0);
    for event in last + 1..=behaviour.events {
        if reader.is_closed_within(behaviour.gap) || shared.is_dead.load(Ordering::SeqCst) {
            return Ok(false);
        }
        let first = if behaviour.begins_with_line_feed {
            "data: \n"
        } else {
            ""
        };
        let text = format!("id: {event}\n{first}data: piece {event} of {request}\n\n");
        let now = shared.behaviour.lock().unwrap().clone();
        if now
            .breaks
            .is_some_and(|(of, after)| of == request && event > after)
        {
            let torn = &text[..8];
            shared.behaviour.lock().unwrap().breaks = None;
            stream.write_all(format!("{:x}\r\n{torn}\r\n", torn.len()).as_bytes())?;
            shared.record.line(&format!(
                "engine {} breaks {request} off within event {event}",
                shared.id
            ));
            stream.shutdown(Shutdown::Both)?;
            return Ok(false);
        }
        stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
    }
    stream.write_all(b"0\r\n\r\n")?;
    Ok(true)
}
