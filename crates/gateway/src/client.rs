//! The client's side of one exchange: sends the response and detects disconnection.

use std::collections::VecDeque;
use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

use crate::memory_budget::MemoryReservation;

/// Chunks of a response that may be queued for a slow client.
const MAX_QUEUED_CHUNKS: usize = 32;

/// The response was aborted; its connection is closed without a proper end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseAborted;

impl fmt::Display for ResponseAborted {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the response was aborted")
    }
}

impl std::error::Error for ResponseAborted {}

/// The client disconnected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClientDisconnected;

/// A whole body in pieces, with the memory that is reserved for it until the client has it.
#[derive(Debug, Default)]
pub struct WholeBody {
    pieces: VecDeque<Bytes>,
    /// Number of bytes of all pieces.
    bytes: u64,
    reservation: Option<MemoryReservation>,
}

impl WholeBody {
    /// Adds a piece at the end.
    pub fn push(&mut self, piece: Bytes) {
        if piece.is_empty() {
            return;
        }
        self.bytes += piece.len() as u64;
        self.pieces.push_back(piece);
    }

    /// Number of bytes of the pieces that have not been taken.
    pub fn len(&self) -> usize {
        usize::try_from(self.bytes).unwrap_or(usize::MAX)
    }

    /// The bytes that have not been taken.
    pub fn bytes(&self) -> impl Iterator<Item = u8> {
        self.pieces.iter().flatten().copied()
    }

    /// Keeps memory reserved until the last piece has been taken.
    pub fn keep(&mut self, reservation: MemoryReservation) {
        self.reservation = Some(reservation);
    }

    fn take(&mut self) -> Option<Bytes> {
        let piece = self.pieces.pop_front()?;
        self.bytes -= piece.len() as u64;
        Some(piece)
    }
}

/// Body of a response to a client.
#[derive(Debug)]
pub enum ClientBody {
    /// The part of a whole body that has not been taken.
    Whole(WholeBody),
    /// Chunks as they arrive.
    Stream(mpsc::Receiver<Result<Bytes, ResponseAborted>>),
}

impl From<Infallible> for ResponseAborted {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for ClientBody {
    type Data = Bytes;
    type Error = ResponseAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, ResponseAborted>>> {
        match self.get_mut() {
            Self::Whole(whole) => {
                let piece = whole.take();
                Poll::Ready(piece.map(|piece| Ok(Frame::data(piece))))
            }
            Self::Stream(chunks) => {
                let chunk = chunks.poll_recv(context);
                chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(whole) => whole.bytes == 0,
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(whole) => SizeHint::with_exact(whole.bytes),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A client that waits for the head of its response.
#[derive(Debug)]
pub struct WaitingClient {
    head: oneshot::Sender<Response<ClientBody>>,
}

impl WaitingClient {
    /// Creates a client and the receiver of its response.
    pub fn new() -> (Self, oneshot::Receiver<Response<ClientBody>>) {
        let (head, receiver) = oneshot::channel();
        (Self { head }, receiver)
    }

    /// Completes when the client has disconnected.
    pub async fn disconnected(&mut self) {
        self.head.closed().await;
    }

    /// Sends a whole response.
    pub fn answer(self, response: Response<WholeBody>) {
        let response = response.map(ClientBody::Whole);
        // Fails only if the client has disconnected.
        let _ = self.head.send(response);
    }

    /// Sends the head of a streamed response.
    pub fn start_stream(self, head: Response<()>) -> Result<StreamingClient, ClientDisconnected> {
        let (chunks, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let response = head.map(|()| ClientBody::Stream(receiver));
        self.head.send(response).map_err(|_| ClientDisconnected)?;
        Ok(StreamingClient { chunks })
    }
}

/// A client that receives a streamed response. Dropping it ends the response as complete.
#[derive(Debug)]
pub struct StreamingClient {
    chunks: mpsc::Sender<Result<Bytes, ResponseAborted>>,
}

impl StreamingClient {
    /// Completes when the client has disconnected.
    pub async fn disconnected(&self) {
        self.chunks.closed().await;
    }

    /// Queues bytes for the client; waits while the queue is full.
    pub async fn send(&self, bytes: Bytes) -> Result<(), ClientDisconnected> {
        self.chunks
            .send(Ok(bytes))
            .await
            .map_err(|_| ClientDisconnected)
    }

    /// Aborts the response, so that the client sees that it is incomplete.
    pub async fn abort(self) {
        // Fails only if the client has disconnected.
        let _ = self.chunks.send(Err(ResponseAborted)).await;
    }
}
