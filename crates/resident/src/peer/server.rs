//! Serves requests of other nodes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::codec;
use super::encoding::{MessageKind, decode, encode, frame_number};
use super::extension::ExtensionRequest;
use super::message::{Envelope, PeerReply, PeerRequest};
use super::rejected::REJECTED;
use crate::http_client::configure_socket;
use crate::listen;

/// Maximum number of in-flight requests of a connection; no more are read until replies have been sent.
const MAX_IN_FLIGHT_REQUESTS: usize = 256;
/// A connection without a request for this long is closed, since it may have fallen silent without an error and would
/// stay open for ever. Longer than the idle limit of the requester.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Handler of requests of other nodes.
pub trait PeerService: 'static {
    /// Handles a request and sends its reply through `reply`, now or later. If `reply` is dropped, the requester gets none.
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>);
}

/// Binds `address` and serves it until the process ends.
pub async fn serve(address: SocketAddr, service: Rc<impl PeerService>) -> io::Result<()> {
    let listener = listen::tcp(address).await?;
    tokio::task::spawn_local(async move {
        loop {
            match listener.accept().await {
                Ok((stream, from)) => {
                    let service = Rc::clone(&service);
                    tokio::task::spawn_local(serve_connection(stream, from.ip(), service));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}

async fn serve_connection(stream: TcpStream, from: IpAddr, service: Rc<impl PeerService>) {
    if configure_socket(&stream).is_err() {
        return;
    }
    let (mut writer, mut reader) = Framed::new(stream, codec()).split();
    let (replies, mut waiting) = mpsc::channel::<Bytes>(MAX_IN_FLIGHT_REQUESTS);
    let writing = tokio::task::spawn_local(async move {
        while let Some(frame) = waiting.recv().await {
            if writer.send(frame).await.is_err() {
                break;
            }
        }
    });
    while let Ok(Some(Ok(frame))) = tokio::time::timeout(IDLE_LIMIT, reader.next()).await {
        let Some(request) = read(&frame, from) else {
            break;
        };
        let Ok(permit) = replies.clone().reserve_owned().await else {
            break;
        };
        let (number, request) = match request {
            Request::Known(envelope) => (envelope.number, envelope.body),
            Request::Unrecognized(Some(number)) => {
                let body = PeerReply::Unsupported;
                if let Ok(frame) = encode(&Envelope { number, body }) {
                    permit.send(frame);
                }
                continue;
            }
            Request::Unrecognized(None) => continue,
        };
        let (reply, answered) = oneshot::channel();
        service.on_request(request, reply);
        tokio::task::spawn_local(async move {
            let Ok(body) = answered.await else { return };
            if let Ok(frame) = encode(&Envelope { number, body }) {
                permit.send(frame);
            }
        });
    }
    drop(replies);
    let _ = writing.await;
}

/// A received request.
enum Request {
    Known(Envelope<PeerRequest>),
    /// A request that is unknown or can't be decoded, with its number where the frame has one.
    Unrecognized(Option<u64>),
}

/// Decodes a request; `None` where the connection can't be used any more. One that can't be decoded doesn't close the connection,
/// which other requests may be using.
fn read(frame: &[u8], from: IpAddr) -> Option<Request> {
    match decode::<Envelope<PeerRequest>>(frame) {
        Ok(envelope) => {
            if let PeerRequest::Extension(ExtensionRequest::Unknown(kind)) = envelope.body {
                REJECTED.on_unknown(from, kind);
                return Some(Request::Unrecognized(Some(envelope.number)));
            }
            Some(Request::Known(envelope))
        }
        Err(error) => {
            REJECTED.on_unreadable(from, MessageKind::Request, error);
            (!error.is_corruption()).then(|| Request::Unrecognized(frame_number(frame)))
        }
    }
}
