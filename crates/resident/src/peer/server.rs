//! Answers requests of other nodes.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::codec;
use super::encoding::{MessageKind, decode, encode, frame_number};
use super::extension::ExtensionRequest;
use super::message::{Envelope, PeerReply, PeerRequest};
use super::rejected::REJECTED;
use crate::http_client::configure_socket;

/// Replies that may wait for a slow reader before its connection is read no further.
const MAX_WAITING_REPLIES: usize = 256;
/// A link by which nothing is asked for so long is closed, somewhat later than whoever asks closes it: its connection may
/// have fallen silent for good, and would be held for ever.
const IDLE_LIMIT: Duration = Duration::from_secs(30);
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Takes requests of other nodes.
pub trait PeerService: 'static {
    /// Answers through `reply`, now or later.
    fn on_request(&self, request: PeerRequest, reply: oneshot::Sender<PeerReply>);
}

/// Listens until the process ends.
pub async fn serve(address: SocketAddr, service: Rc<impl PeerService>) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
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
    let (replies, mut waiting) = mpsc::channel::<Bytes>(MAX_WAITING_REPLIES);
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
            Request::NotKnown(Some(number)) => {
                let body = PeerReply::Unsupported;
                if let Ok(frame) = encode(&Envelope { number, body }) {
                    permit.send(frame);
                }
                continue;
            }
            Request::NotKnown(None) => continue,
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

/// What has come by a connection.
enum Request {
    Known(Envelope<PeerRequest>),
    /// Something that this version does not know or cannot read, with its number where that can be told.
    NotKnown(Option<u64>),
}

/// Reads a request; `None` where the connection is of no use any more. What cannot be read costs whoever asked that one
/// answer: others may wait for theirs by the same connection.
fn read(frame: &[u8], from: IpAddr) -> Option<Request> {
    match decode::<Envelope<PeerRequest>>(frame) {
        Ok(envelope) => {
            if let PeerRequest::Extension(ExtensionRequest::Unknown(kind)) = envelope.body {
                REJECTED.on_unknown(from, kind);
                return Some(Request::NotKnown(Some(envelope.number)));
            }
            Some(Request::Known(envelope))
        }
        Err(error) => {
            REJECTED.on_unreadable(from, MessageKind::Request, error);
            (!error.is_corruption()).then(|| Request::NotKnown(frame_number(frame)))
        }
    }
}
