//! One forwarded port: its state, its delays and its connections.
//!
//! A cut holds bytes back without closing anything, as a partition does while TCP retransmits: what
//! was sent before or during the cut arrives, in order, once the link is up. Nothing is swallowed,
//! so no connection has to be reset after it.

use std::collections::HashMap;
use std::io;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use rustix::net::sockopt::set_socket_linger;
use serde::{Deserialize, Serialize};

use crate::relay::pump;
use ridgeworks_worker_pool::WorkerPool;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// Enough for the threads that move bytes.
pub const THREAD_STACK_BYTES: usize = 128 * 1024;

/// Which directions of a link pass bytes on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LinkState {
    /// Both.
    #[default]
    Up,
    /// None.
    Cut,
    /// Only from the target.
    CutToTarget,
    /// Only to the target.
    CutFromTarget,
}

/// A direction of a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Direction {
    /// From who connected to the target.
    ToTarget,
    /// From the target to who connected.
    FromTarget,
}

impl LinkState {
    fn passes(self, direction: Direction) -> bool {
        match self {
            Self::Up => true,
            Self::Cut => false,
            Self::CutToTarget => direction == Direction::FromTarget,
            Self::CutFromTarget => direction == Direction::ToTarget,
        }
    }
}

/// What can be set on a link.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkSettings {
    /// Which directions pass bytes on.
    pub state: LinkState,
    /// Delay to the target.
    pub delay: Duration,
    /// Delay from the target.
    pub delay_back: Duration,
}

impl LinkSettings {
    fn delay(&self, direction: Direction) -> Duration {
        match direction {
            Direction::ToTarget => self.delay,
            Direction::FromTarget => self.delay_back,
        }
    }
}

/// Both sockets of a connection.
#[derive(Debug)]
pub struct Connection {
    /// Towards who connected.
    pub client: TcpStream,
    /// Towards the target.
    pub target: TcpStream,
}

impl Connection {
    /// Ends both sides at once.
    pub fn reset(&self) {
        for socket in [&self.client, &self.target] {
            reset(socket);
        }
    }
}

fn reset(socket: &TcpStream) {
    // A socket that is closed already needs no reset.
    let _ = set_socket_linger(socket, Some(Duration::ZERO));
    let _ = socket.shutdown(Shutdown::Both);
}

/// A forwarded port.
#[derive(Debug)]
pub struct Link {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
    settings: Mutex<LinkSettings>,
    changed: Condvar,
    /// By the address that the target sees.
    connections: Mutex<HashMap<SocketAddr, Arc<Connection>>>,
    is_closed: AtomicBool,
    pool: Arc<WorkerPool>,
}

impl Link {
    /// Binds a port (0 chooses a free one) and forwards its connections until [`Self::close`].
    pub fn start(
        name: &str,
        listen: SocketAddr,
        target: SocketAddr,
        pool: Arc<WorkerPool>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind(listen)?;
        let link = Arc::new(Self {
            name: name.to_owned(),
            listen: listener.local_addr()?,
            target,
            settings: Mutex::default(),
            changed: Condvar::new(),
            connections: Mutex::default(),
            is_closed: AtomicBool::new(false),
            pool,
        });
        let accepting = Arc::clone(&link);
        thread::spawn(move || accepting.accept(&listener));
        Ok(link)
    }

    fn lock(&self) -> MutexGuard<'_, LinkSettings> {
        self.settings.lock().expect("no holder of this lock panics")
    }

    fn lock_connections(&self) -> MutexGuard<'_, HashMap<SocketAddr, Arc<Connection>>> {
        self.connections
            .lock()
            .expect("no holder of this lock panics")
    }

    /// What is set now.
    pub fn settings(&self) -> LinkSettings {
        *self.lock()
    }

    /// Changes the settings.
    pub fn set(&self, settings: LinkSettings) {
        *self.lock() = settings;
        self.changed.notify_all();
    }

    /// Number of open connections.
    pub fn connections(&self) -> usize {
        self.lock_connections().len()
    }

    /// How long bytes of this direction travel.
    pub fn delay(&self, direction: Direction) -> Duration {
        self.lock().delay(direction)
    }

    /// Whether bytes of this direction pass now.
    pub fn is_open(&self, direction: Direction) -> bool {
        self.is_closed.load(Ordering::SeqCst) || self.lock().state.passes(direction)
    }

    /// Waits until bytes of this direction pass.
    pub fn wait_until_open(&self, direction: Direction) {
        let is_cut = |settings: &mut LinkSettings| {
            !settings.state.passes(direction) && !self.is_closed.load(Ordering::SeqCst)
        };
        let waited = self.changed.wait_while(self.lock(), is_cut);
        drop(waited.expect("no holder of this lock panics"));
    }

    /// Ends the connection that the target sees as coming from this address.
    pub fn reset_connection(&self, seen_by_target: SocketAddr) {
        if let Some(connection) = self.lock_connections().get(&seen_by_target) {
            connection.reset();
        }
    }

    /// Ends all connections.
    pub fn reset_all(&self) {
        for connection in self.lock_connections().values() {
            connection.reset();
        }
    }

    /// Takes no further connections and ends those that are open.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::SeqCst);
        drop(self.lock());
        self.changed.notify_all();
        // Wakes the accepting thread, which looks at the flag.
        let _ = TcpStream::connect_timeout(&self.listen, CONNECT_TIMEOUT);
        self.reset_all();
    }

    fn accept(self: &Arc<Self>, listener: &TcpListener) {
        for client in listener.incoming() {
            if self.is_closed.load(Ordering::SeqCst) {
                return;
            }
            let Ok(client) = client else { continue };
            let link = Arc::clone(self);
            self.pool
                .run(move || link.forward(client))
                .expect("the machine has a thread left");
        }
    }

    /// Connects to the target once both directions pass, as a handshake needs, and forwards until
    /// both sides have ended.
    fn forward(self: Arc<Self>, client: TcpStream) {
        self.wait_until_open(Direction::ToTarget);
        self.wait_until_open(Direction::FromTarget);
        let settings = self.settings();
        thread::sleep(settings.delay + settings.delay_back);
        let Ok(target) = TcpStream::connect_timeout(&self.target, CONNECT_TIMEOUT) else {
            reset(&client);
            return;
        };
        let Ok(seen_by_target) = target.local_addr() else {
            reset(&client);
            return;
        };
        // Without this option small messages would wait for acknowledgements.
        let _ = client.set_nodelay(true);
        let _ = target.set_nodelay(true);
        let connection = Arc::new(Connection { client, target });
        self.lock_connections()
            .insert(seen_by_target, Arc::clone(&connection));
        if self.is_closed.load(Ordering::SeqCst) {
            connection.reset();
        }
        pump::run(&self, &connection, &self.pool);
        self.lock_connections().remove(&seen_by_target);
    }
}
