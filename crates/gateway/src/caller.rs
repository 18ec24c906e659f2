//! The client's side of one request: the head and body of its answer, and whether it still waits.

use std::convert::Infallible;
use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::Response;
use http_body::{Body, Frame, SizeHint};
use tokio::sync::{mpsc, oneshot};

/// Pieces of an answer that may wait for a slow client.
const MAX_WAITING_PIECES: usize = 32;

/// The answer was broken off; the connection is closed without its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BrokenOff;

impl fmt::Display for BrokenOff {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("the answer was broken off")
    }
}

impl std::error::Error for BrokenOff {}

/// The client has gone away.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerGone;

/// Body of an answer to a client.
#[derive(Debug)]
pub enum CallerBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Pieces as they come.
    Stream(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl From<Infallible> for BrokenOff {
    fn from(never: Infallible) -> Self {
        match never {}
    }
}

impl Body for CallerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            Self::Whole(bytes) => {
                let bytes = bytes.take().filter(|bytes| !bytes.is_empty());
                Poll::Ready(bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
            Self::Stream(pieces) => {
                let piece = pieces.poll_recv(context);
                piece.map(|piece| piece.map(|piece| piece.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Self::Stream(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// A client that waits for the head of its answer.
#[derive(Debug)]
pub struct Caller {
    head: oneshot::Sender<Response<CallerBody>>,
}

impl Caller {
    /// A caller and where its answer comes out.
    pub fn new() -> (Self, oneshot::Receiver<Response<CallerBody>>) {
        let (head, receiver) = oneshot::channel();
        (Self { head }, receiver)
    }

    /// Ends when the client has gone away.
    pub async fn gone(&mut self) {
        self.head.closed().await;
    }

    /// Gives a whole answer.
    pub fn answer(self, response: Response<Bytes>) {
        let response = response.map(|bytes| CallerBody::Whole(Some(bytes)));
        // A client that has gone away needs no answer.
        let _ = self.head.send(response);
    }

    /// Gives the head of a streamed answer.
    pub fn begin(self, head: Response<()>) -> Result<StreamingCaller, CallerGone> {
        let (pieces, receiver) = mpsc::channel(MAX_WAITING_PIECES);
        let response = head.map(|()| CallerBody::Stream(receiver));
        self.head.send(response).map_err(|_| CallerGone)?;
        Ok(StreamingCaller { pieces })
    }
}

/// A client in the middle of a streamed answer. Dropping it ends the answer as complete.
#[derive(Debug)]
pub struct StreamingCaller {
    pieces: mpsc::Sender<Result<Bytes, BrokenOff>>,
}

impl StreamingCaller {
    /// Ends when the client has gone away.
    pub async fn gone(&self) {
        self.pieces.closed().await;
    }

    /// Passes bytes on; waits while the client reads too slowly.
    pub async fn send(&self, bytes: Bytes) -> Result<(), CallerGone> {
        self.pieces.send(Ok(bytes)).await.map_err(|_| CallerGone)
    }

    /// Breaks the answer off.
    pub async fn break_off(self) {
        // A client that has gone away has noticed by itself.
        let _ = self.pieces.send(Err(BrokenOff)).await;
    }
}
