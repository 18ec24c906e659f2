//! Small HTTP servers for what the platform and on-call ask: readiness and metrics.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};

/// A connection that sends no whole head for so long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Pause after the system refused to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// A short answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextResponse {
    /// Its status.
    pub status: StatusCode,
    /// Media type of its body.
    pub content_type: &'static str,
    /// Its body.
    pub body: String,
}

impl TextResponse {
    /// An answer without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: String::new(),
        }
    }
}

/// Answers requests by their path until the process ends.
pub async fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> TextResponse + 'static,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    let answer = Rc::new(answer);
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => serve_connection(stream, Rc::clone(&answer)),
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}

fn serve_connection(stream: TcpStream, answer: Rc<impl Fn(&str) -> TextResponse + 'static>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let short = answer(request.uri().path());
        async move { Ok::<_, std::convert::Infallible>(response(short)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::task::spawn_local(async move {
        // A connection that breaks off here concerns nobody else.
        let _ = connection.await;
    });
}

fn response(short: TextResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(short.body)));
    *response.status_mut() = short.status;
    let content_type = HeaderValue::from_static(short.content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
