//! Answers requests of other nodes.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio_util::codec::Framed;

use super::codec;
use super::encoding::{decode, encode};
use super::message::{Envelope, PeerReply, PeerRequest};
use crate::http_client::notice_silence;

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
                Ok((stream, _)) => {
                    tokio::task::spawn_local(serve_connection(stream, Rc::clone(&service)));
                }
                Err(_) => tokio::time::sleep(ACCEPT_PAUSE).await,
            }
        }
    });
    Ok(())
}

async fn serve_connection(stream: TcpStream, service: Rc<impl PeerService>) {
    if notice_silence(&stream).is_err() {
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
        let Ok(envelope) = decode::<Envelope<PeerRequest>>(&frame) else {
            break;
        };
        let Ok(permit) = replies.clone().reserve_owned().await else {
            break;
        };
        let (reply, answered) = oneshot::channel();
        service.on_request(envelope.body, reply);
        tokio::task::spawn_local(async move {
            let Ok(body) = answered.await else { return };
            let number = envelope.number;
            if let Ok(frame) = encode(&Envelope { number, body }) {
                permit.send(frame);
            }
        });
    }
    drop(replies);
    let _ = writing.await;
}
