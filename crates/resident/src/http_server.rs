//! A minimal HTTP server for readiness probes and metrics.

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
use tokio::net::TcpStream;

use crate::listen;

/// A connection that sends no complete request head for this long is closed.
const HEAD_TIMEOUT: Duration = Duration::from_secs(30);
/// Delay after a failure to accept a connection, such as a lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// An HTTP response with a text body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TextResponse {
    /// HTTP status code.
    pub status: StatusCode,
    /// Media type of the body.
    pub content_type: &'static str,
    /// Text of the body.
    pub body: String,
}

impl TextResponse {
    /// A response without a body.
    pub fn empty(status: StatusCode) -> Self {
        Self {
            status,
            content_type: "text/plain",
            body: String::new(),
        }
    }
}

/// Serves `address` until the process ends; `answer` gets the path of each request.
pub async fn serve(
    address: SocketAddr,
    answer: impl Fn(&str) -> TextResponse + 'static,
) -> io::Result<()> {
    let listener = listen::tcp(address).await?;
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
        let text_response = answer(request.uri().path());
        async move { Ok::<_, std::convert::Infallible>(response(text_response)) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service);
    tokio::task::spawn_local(async move {
        // An error ends this connection only.
        let _ = connection.await;
    });
}

fn response(text_response: TextResponse) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(text_response.body)));
    *response.status_mut() = text_response.status;
    let content_type = HeaderValue::from_static(text_response.content_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}
