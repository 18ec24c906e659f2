//! Moves the bytes of one connection. Each direction has a thread that reads and stamps pieces and
//! one that writes each when it is due, so a delay doesn't limit the throughput.

use std::io::{self, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, Sender, bounded};

use crate::relay::link::{Connection, Direction, Link};
use ridgeworks_worker_pool::WorkerPool;

const PIECE_BYTES: usize = 16 * 1024;

/// Pieces under way in one direction; more are left to TCP's own flow control.
const PIECES_UNDER_WAY: usize = 1_024;

/// How much later than asked the kernel wakes a sleeping thread by default; measured figures stand
/// in `docs/design/stand-ins.md`.
const TIMER_SLACK: Duration = Duration::from_micros(55);

enum Piece {
    Data(Vec<u8>),
    End,
    Reset,
}

struct Stamped {
    due: Instant,
    piece: Piece,
}

/// Forwards both directions until both have ended.
pub fn run(link: &Arc<Link>, connection: &Arc<Connection>, pool: &WorkerPool) {
    // Nothing is ever sent here: the receiver wakes when the last sender is dropped.
    let (running, ended) = bounded::<()>(0);
    for direction in [Direction::ToTarget, Direction::FromTarget] {
        let (sender, receiver) = bounded(PIECES_UNDER_WAY);
        let (link_in, connection_in) = (Arc::clone(link), Arc::clone(connection));
        let running_in = running.clone();
        pool.run(move || {
            read(&link_in, direction, &connection_in, &sender);
            drop(running_in);
        })
        .expect("the machine has a thread left");
        let (link_out, connection_out) = (Arc::clone(link), Arc::clone(connection));
        let running_out = running.clone();
        pool.run(move || {
            write(&link_out, direction, &connection_out, &receiver);
            drop(running_out);
        })
        .expect("the machine has a thread left");
    }
    drop(running);
    let _ = ended.recv();
}

fn source(connection: &Connection, direction: Direction) -> &TcpStream {
    match direction {
        Direction::ToTarget => &connection.client,
        Direction::FromTarget => &connection.target,
    }
}

fn destination(connection: &Connection, direction: Direction) -> &TcpStream {
    match direction {
        Direction::ToTarget => &connection.target,
        Direction::FromTarget => &connection.client,
    }
}

fn read(link: &Link, direction: Direction, connection: &Connection, sender: &Sender<Stamped>) {
    let mut buffer = vec![0; PIECE_BYTES];
    loop {
        let piece = match source(connection, direction).read(&mut buffer) {
            Ok(0) => Piece::End,
            Ok(length) => Piece::Data(buffer[..length].to_vec()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
            Err(_) => Piece::Reset,
        };
        let is_last = !matches!(piece, Piece::Data(_));
        let due = Instant::now() + link.delay(direction);
        let is_sent = sender.send(Stamped { due, piece }).is_ok();
        if is_last || !is_sent {
            return;
        }
    }
}

fn write(link: &Link, direction: Direction, connection: &Connection, receiver: &Receiver<Stamped>) {
    while let Ok(stamped) = receiver.recv() {
        wait_until(stamped.due);
        if !link.is_open(direction) {
            link.wait_until_open(direction);
        }
        let written = match stamped.piece {
            Piece::Data(bytes) => destination(connection, direction).write_all(&bytes),
            Piece::End => {
                // The other side may have ended first.
                let _ = destination(connection, direction).shutdown(Shutdown::Write);
                return;
            }
            Piece::Reset => return connection.reset(),
        };
        if written.is_err() {
            return connection.reset();
        }
    }
}

fn wait_until(due: Instant) {
    let left = due.saturating_duration_since(Instant::now());
    if left > TIMER_SLACK {
        thread::sleep(left - TIMER_SLACK);
    }
}
