//! A connection opened by this node: queues and writes frames.

use std::net::SocketAddr;
use std::sync::Arc;

use stakker::{CX, fail, fwd_to};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::counters::LinkCounters;
use crate::frame::{HEADER_BYTES, Hello, append_frame};

const POLL_PRIORITY: u32 = 10;
const READ_BYTES: usize = 64;
/// An empty queue with a larger capacity is freed, because a node has a connection to every other node.
const RETAINED_BYTES: usize = 16 * 1024;

/// Actor of one outbound connection. It fails when the connection is lost.
pub(crate) struct Outbound {
    stream: TcpStreamBuf,
    connected: bool,
    max_queued_bytes: usize,
    counters: Arc<LinkCounters>,
}

impl Outbound {
    pub(crate) fn init(
        cx: CX![],
        dial: SocketAddr,
        hello: Hello,
        max_queued_bytes: usize,
        counters: Arc<LinkCounters>,
    ) -> Option<Self> {
        let stream = match TcpStream::connect(dial) {
            Ok(stream) => stream,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        let poll = cx.anymap_get::<MioPoll>();
        let on_ready = fwd_to!([cx], on_ready() as (Ready));
        let interest = Interest::READABLE | Interest::WRITABLE;
        let source = match poll.add(stream, interest, POLL_PRIORITY, on_ready) {
            Ok(source) => source,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        LinkCounters::add(&counters.dialled, 1);
        let mut stream = TcpStreamBuf::new();
        stream.set_nodelay(true);
        stream.init(source);
        append_frame(&mut stream.out, &hello.encode());
        Some(Self {
            stream,
            connected: false,
            max_queued_bytes,
            counters,
        })
    }

    /// Queues one message, or drops it if the queue is full.
    pub(crate) fn send(&mut self, cx: CX![], body: Vec<u8>) {
        if self.stream.out.len() + body.len() > self.max_queued_bytes {
            LinkCounters::add(&self.counters.dropped_messages, 1);
            return;
        }
        append_frame(&mut self.stream.out, &body);
        LinkCounters::add(&self.counters.sent_messages, 1);
        LinkCounters::add(&self.counters.sent_bytes, HEADER_BYTES + body.len());
        if self.connected {
            self.flush(cx);
        }
    }

    fn on_ready(&mut self, cx: CX![], ready: Ready) {
        if ready.is_writable() {
            self.connected = true;
            self.flush(cx);
        }
        if ready.is_readable() {
            self.detect_close(cx);
        }
    }

    fn flush(&mut self, cx: CX![]) {
        if let Err(error) = self.stream.flush() {
            fail!(cx, error);
        }
        if self.stream.out.is_empty() && self.stream.out.capacity() > RETAINED_BYTES {
            self.stream.out = Vec::new();
        }
    }

    // The peer never writes to this connection, so it becomes readable only when it is closed.
    fn detect_close(&mut self, cx: CX![]) {
        loop {
            match self.stream.read(READ_BYTES) {
                ReadStatus::NewData => self.stream.rd = self.stream.wr,
                ReadStatus::WouldBlock => return,
                ReadStatus::EndOfStream => {
                    fail!(cx, std::io::Error::from(std::io::ErrorKind::UnexpectedEof));
                    return;
                }
                ReadStatus::Error(error) => {
                    fail!(cx, error);
                    return;
                }
            }
        }
    }
}
