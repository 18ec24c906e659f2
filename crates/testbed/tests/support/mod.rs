//! A node that answers what a test tells it to.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use tiny_http::{Header, Response, Server};

/// What a request carried.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Its path.
    pub path: String,
    /// Its call key, if it has one in a header.
    pub call: Option<String>,
}

/// What is answered.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// The body.
    pub body: String,
}

/// A node whose answers are given one by one.
pub struct StubNode {
    server: Arc<Server>,
    seen: Arc<Mutex<Vec<Seen>>>,
    thread: Option<JoinHandle<()>>,
}

impl StubNode {
    /// Starts a node that gives these answers in order, then none.
    pub fn start(answers: Vec<Answer>) -> Self {
        let server = Arc::new(Server::http("127.0.0.1:0").expect("a free port"));
        let seen = Arc::<Mutex<Vec<Seen>>>::default();
        let thread = {
            let (server, seen) = (Arc::clone(&server), Arc::clone(&seen));
            thread::spawn(move || serve(&server, &seen, answers))
        };
        Self {
            server,
            seen,
            thread: Some(thread),
        }
    }

    /// Where it serves.
    pub fn address(&self) -> SocketAddr {
        self.server.server_addr().to_ip().expect("an IP address")
    }

    /// The requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.lock().expect("no holder panics").clone()
    }
}

impl Drop for StubNode {
    fn drop(&mut self) {
        self.server.unblock();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

fn serve(server: &Server, seen: &Mutex<Vec<Seen>>, answers: Vec<Answer>) {
    for answer in answers {
        let Ok(request) = server.recv() else {
            return;
        };
        let call = request
            .headers()
            .iter()
            .find(|header| header.field.equiv("x-ridgeworks-call"));
        let entry = Seen {
            path: request.url().to_owned(),
            call: call.map(|header| header.value.to_string()),
        };
        seen.lock().expect("no holder panics").push(entry);
        let close = Header::from_bytes("connection", "close").expect("a valid header");
        let response = Response::from_string(answer.body)
            .with_status_code(answer.status)
            .with_header(close);
        let _ = request.respond(response);
    }
}

/// An answer in one piece.
pub fn ok(body: impl ToString) -> Answer {
    Answer {
        status: 200,
        body: body.to_string(),
    }
}

/// A stream of these pieces; without its end it is one that broke.
pub fn stream(pieces: &[&str], ended: bool) -> Answer {
    let chunk = |choice: serde_json::Value| {
        serde_json::json!({
            "id": "1", "object": "chat.completion.chunk", "created": 0, "model": "model",
            "choices": [choice],
        })
    };
    let mut body = String::new();
    for piece in pieces {
        let event = chunk(serde_json::json!({
            "index": 0, "delta": {"content": piece}, "finish_reason": null
        }));
        body.push_str(&format!("data: {event}\n\n"));
    }
    if ended {
        let event = chunk(serde_json::json!({"index": 0, "delta": {}, "finish_reason": "stop"}));
        body.push_str(&format!("data: {event}\n\ndata: [DONE]\n\n"));
    }
    ok(body)
}
