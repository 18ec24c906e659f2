//! The HTTP server that every stand-in uses: a request in, a typed reply out.
//!
//! Requests run on a pool that grows while all its threads are busy, since a streamed answer keeps
//! its thread until it ends.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use ridgeworks_worker_pool::WorkerPool;
use serde::Serialize;
use tiny_http::{Header, Request, Response, Server};

use crate::connection_wake::{self, ServerActivity};
use crate::failure::Failure;
use crate::incoming::Incoming;

const STOP_POLL_INTERVAL: Duration = Duration::from_millis(2);
const HANDLER_STACK_BYTES: usize = 512 * 1024;

/// Writes the body of a streamed answer.
pub type StreamBody = Box<dyn FnOnce(&mut ChunkWriter) -> io::Result<()> + Send>;

/// What a handler answers.
pub enum Reply {
    /// A JSON document.
    Json {
        /// HTTP status code.
        status: u16,
        /// The document.
        body: Vec<u8>,
    },
    /// Plain text, such as counters.
    Text(String),
    /// A body written piece by piece.
    Stream {
        /// Its media type.
        content_type: &'static str,
        /// What writes it.
        body: StreamBody,
    },
    /// No answer; the handler has closed the connection.
    Nothing,
}

impl Reply {
    /// A document with status 200.
    pub fn json(document: &impl Serialize) -> Self {
        Self::json_with_status(200, document)
    }

    /// A document with another status.
    pub fn json_with_status(status: u16, document: &impl Serialize) -> Self {
        let body = serde_json::to_vec(document).expect("replies have a JSON form");
        Self::Json { status, body }
    }
}

/// Sends pieces of a body with the chunked transfer coding, each at once.
pub struct ChunkWriter {
    writer: Box<dyn Write + Send>,
}

impl ChunkWriter {
    fn start(mut writer: Box<dyn Write + Send>, content_type: &str) -> io::Result<Self> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: {content_type}\r\nCache-Control: no-store\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        writer.flush()?;
        Ok(Self { writer })
    }

    /// Sends one piece and flushes it.
    pub fn send(&mut self, piece: &[u8]) -> io::Result<()> {
        let mut chunk = format!("{:x}\r\n", piece.len()).into_bytes();
        chunk.extend_from_slice(piece);
        chunk.extend_from_slice(b"\r\n");
        self.writer.write_all(&chunk)?;
        self.writer.flush()
    }

    fn finish(mut self) -> io::Result<()> {
        self.writer.write_all(b"0\r\n\r\n")?;
        self.writer.flush()
    }
}

type Handler = dyn Fn(&Incoming) -> Result<Reply, Failure> + Send + Sync;

/// A running HTTP server.
pub struct HttpServer {
    server: Arc<Server>,
    address: SocketAddr,
    open_requests: Arc<AtomicUsize>,
    activity: Arc<ServerActivity>,
    accepting: Option<JoinHandle<()>>,
}

impl HttpServer {
    /// Binds the address (port 0 chooses a free one) and serves requests with `handler`.
    pub fn start(
        listen: SocketAddr,
        handler: impl Fn(&Incoming) -> Result<Reply, Failure> + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen)?;
        // Accepted connections inherit this option; tiny_http offers no way to set it on them.
        rustix::net::sockopt::set_tcp_nodelay(&listener, true)?;
        let address = listener.local_addr()?;
        let server = Server::from_listener(listener, None).map_err(io::Error::other)?;
        let server = Arc::new(server);
        let open_requests = Arc::new(AtomicUsize::new(0));
        let activity = Arc::<ServerActivity>::default();
        connection_wake::start(address, Arc::clone(&activity));
        let handler: Arc<Handler> = Arc::new(handler);
        let accepting = {
            let (server, open_requests) = (Arc::clone(&server), Arc::clone(&open_requests));
            let activity = Arc::clone(&activity);
            thread::spawn(move || accept(&server, &handler, &open_requests, &activity))
        };
        Ok(Self {
            server,
            address,
            open_requests,
            activity,
            accepting: Some(accepting),
        })
    }

    /// The address it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes no further requests and waits until those under way are answered.
    pub fn stop(&mut self) {
        let Some(accepting) = self.accepting.take() else {
            return;
        };
        self.activity.stopping.store(true, Ordering::SeqCst);
        self.server.unblock();
        let _ = accepting.join();
        while self.open_requests.load(Ordering::SeqCst) > 0 {
            thread::sleep(STOP_POLL_INTERVAL);
        }
    }
}

fn accept(
    server: &Server,
    handler: &Arc<Handler>,
    open_requests: &Arc<AtomicUsize>,
    activity: &ServerActivity,
) {
    let pool = WorkerPool::new("http", HANDLER_STACK_BYTES);
    while let Ok(request) = server.recv() {
        activity.received.fetch_add(1, Ordering::Relaxed);
        open_requests.fetch_add(1, Ordering::SeqCst);
        let (handler, open_requests) = (Arc::clone(handler), Arc::clone(open_requests));
        pool.run(move || {
            answer(request, handler.as_ref());
            open_requests.fetch_sub(1, Ordering::SeqCst);
        })
        .expect("the machine has a thread left");
    }
}

fn answer(mut request: Request, handler: &Handler) {
    let reply = Incoming::read(&mut request).and_then(|incoming| handler(&incoming));
    // A client that went away before its answer is no fault of the server.
    let _ = match reply {
        Ok(reply) => send(request, reply),
        Err(failure) => refuse(request, &failure),
    };
}

fn send(request: Request, reply: Reply) -> io::Result<()> {
    match reply {
        Reply::Json { status, body } => respond(request, status, "application/json", body, None),
        Reply::Text(text) => respond(request, 200, "text/plain", text.into_bytes(), None),
        Reply::Stream { content_type, body } => {
            let mut writer = ChunkWriter::start(request.into_writer(), content_type)?;
            body(&mut writer)?;
            writer.finish()
        }
        Reply::Nothing => {
            drop(request.into_writer());
            Ok(())
        }
    }
}

fn refuse(request: Request, failure: &Failure) -> io::Result<()> {
    let body = failure.body().to_string().into_bytes();
    let retry_after = failure.retry_after_seconds();
    respond(
        request,
        failure.status(),
        "application/json",
        body,
        retry_after,
    )
}

fn respond(
    request: Request,
    status: u16,
    content_type: &str,
    body: Vec<u8>,
    retry_after: Option<u64>,
) -> io::Result<()> {
    let mut response = Response::from_data(body).with_status_code(status);
    response.add_header(header("Content-Type", content_type));
    if let Some(seconds) = retry_after {
        response.add_header(header("Retry-After", &seconds.to_string()));
    }
    request.respond(response)
}

fn header(name: &str, value: &str) -> Header {
    Header::from_bytes(name, value).expect("header texts of this program are ASCII")
}
