//! A connection opened by another node: reads frames from it.

use std::sync::Arc;

use ridgeworks_domain::NodeId;
use stakker::{CX, Fwd, fail, fwd_to, stop};
use stakker_mio::mio::Interest;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::{MioPoll, ReadStatus, Ready, TcpStreamBuf};

use crate::counters::LinkCounters;
use crate::frame::{FrameError, HEADER_BYTES, Hello, body_length};
use crate::links::Delivery;

const POLL_PRIORITY: u32 = 10;
const READ_BYTES: usize = 8 * 1024;
/// An empty buffer with a larger capacity is freed, because every other node has a connection to this one.
const RETAINED_BYTES: usize = 2 * READ_BYTES;

/// Actor of one accepted connection.
pub(crate) struct Inbound {
    stream: TcpStreamBuf,
    // `None` until the hello frame has arrived.
    sender: Option<NodeId>,
    deliver: Fwd<Delivery>,
    counters: Arc<LinkCounters>,
}

impl Inbound {
    pub(crate) fn init(
        cx: CX![],
        stream: TcpStream,
        deliver: Fwd<Delivery>,
        counters: Arc<LinkCounters>,
    ) -> Option<Self> {
        let poll = cx.anymap_get::<MioPoll>();
        let on_ready = fwd_to!([cx], on_ready() as (Ready));
        let source = match poll.add(stream, Interest::READABLE, POLL_PRIORITY, on_ready) {
            Ok(source) => source,
            Err(error) => {
                fail!(cx, error);
                return None;
            }
        };
        let mut stream = TcpStreamBuf::new();
        stream.init(source);
        Some(Self {
            stream,
            sender: None,
            deliver,
            counters,
        })
    }

    fn on_ready(&mut self, cx: CX![], _ready: Ready) {
        loop {
            match self.stream.read(READ_BYTES) {
                ReadStatus::NewData => {
                    if let Err(error) = self.process_frames() {
                        fail!(cx, error);
                        return;
                    }
                }
                ReadStatus::WouldBlock => {
                    self.free_large_empty_buffer();
                    return;
                }
                ReadStatus::EndOfStream => {
                    stop!(cx);
                    return;
                }
                ReadStatus::Error(error) => {
                    fail!(cx, error);
                    return;
                }
            }
        }
    }

    fn free_large_empty_buffer(&mut self) {
        let stream = &mut self.stream;
        if stream.rd == stream.wr && stream.inp.len() > RETAINED_BYTES {
            stream.inp = Vec::new();
            stream.rd = 0;
            stream.wr = 0;
        }
    }

    fn process_frames(&mut self) -> Result<(), FrameError> {
        loop {
            let available = &self.stream.inp[self.stream.rd..self.stream.wr];
            let Some(length) = body_length(available)? else {
                return Ok(());
            };
            let frame_end = HEADER_BYTES + length;
            if available.len() < frame_end {
                return Ok(());
            }
            let body = available[HEADER_BYTES..frame_end].to_vec();
            self.stream.rd += frame_end;
            self.process_frame(body)?;
        }
    }

    fn process_frame(&mut self, body: Vec<u8>) -> Result<(), FrameError> {
        LinkCounters::add(&self.counters.received_messages, 1);
        LinkCounters::add(&self.counters.received_bytes, HEADER_BYTES + body.len());
        match self.sender {
            None => self.sender = Some(Hello::decode(&body)?.node),
            Some(from) => self.deliver.fwd(Delivery { from, body }),
        }
        Ok(())
    }
}
