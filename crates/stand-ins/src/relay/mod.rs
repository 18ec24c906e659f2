//! A TCP relay for the links between processes, which tests cut and delay.

pub mod link;
pub mod pump;
pub mod routes;

use std::collections::BTreeMap;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::failure::Failure;
use crate::http::HttpServer;
use crate::relay::link::{Link, THREAD_STACK_BYTES};
use ridgeworks_worker_pool::WorkerPool;

/// A port to forward.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Forward {
    /// Name of the link; without one it is the address that the link listens on.
    pub name: Option<String>,
    /// Where to listen; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
}

/// Why a text is no [`Forward`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ForwardError {
    /// There is no `=` between the addresses.
    NoTarget,
    /// One of the addresses is not an IP address with a port.
    InvalidAddress,
}

impl fmt::Display for ForwardError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoTarget => write!(formatter, "expected [NAME@]LISTEN=TARGET"),
            Self::InvalidAddress => write!(formatter, "an address needs an IP number and a port"),
        }
    }
}

impl std::error::Error for ForwardError {}

impl FromStr for Forward {
    type Err = ForwardError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, addresses) = match text.split_once('@') {
            Some((name, addresses)) => (Some(name.to_owned()), addresses),
            None => (None, text),
        };
        let (listen, target) = addresses.split_once('=').ok_or(ForwardError::NoTarget)?;
        let address = |text: &str| text.parse().map_err(|_| ForwardError::InvalidAddress);
        Ok(Self {
            name,
            listen: address(listen)?,
            target: address(target)?,
        })
    }
}

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelayOptions {
    /// Where its control paths listen; port 0 chooses a free one.
    pub listen: SocketAddr,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Links from the start.
    pub forwards: Vec<Forward>,
}

impl RelayOptions {
    /// A relay without links, with its control paths on a free port of the loopback interface.
    pub fn local(name: &str) -> Self {
        Self {
            listen: SocketAddr::from(([127, 0, 0, 1], 0)),
            name: name.to_owned(),
            zone: "local".to_owned(),
            forwards: Vec::new(),
        }
    }
}

/// What the relay's threads share.
pub struct RelayState {
    /// Its settings.
    pub options: RelayOptions,
    links: Mutex<BTreeMap<String, Arc<Link>>>,
    pool: Arc<WorkerPool>,
}

impl RelayState {
    fn lock(&self) -> MutexGuard<'_, BTreeMap<String, Arc<Link>>> {
        self.links.lock().expect("no holder of this lock panics")
    }

    /// All links, by name.
    pub fn links(&self) -> Vec<Arc<Link>> {
        self.lock().values().cloned().collect()
    }

    /// A link.
    pub fn link(&self, name: &str) -> Result<Arc<Link>, Failure> {
        self.lock().get(name).cloned().ok_or(Failure::NotFound)
    }

    /// Starts a link. A name that is taken is refused.
    pub fn add(&self, forward: &Forward) -> io::Result<Arc<Link>> {
        let mut links = self.lock();
        let name = forward
            .name
            .clone()
            .unwrap_or_else(|| forward.listen.to_string());
        if links.contains_key(&name) {
            return Err(io::ErrorKind::AlreadyExists.into());
        }
        let link = Link::start(
            &name,
            forward.listen,
            forward.target,
            Arc::clone(&self.pool),
        )?;
        links.insert(name, Arc::clone(&link));
        Ok(link)
    }
}

/// A running relay.
pub struct Relay {
    state: Arc<RelayState>,
    server: HttpServer,
}

impl Relay {
    /// Starts a relay with its links.
    pub fn start(options: RelayOptions) -> io::Result<Self> {
        let state = Arc::new(RelayState {
            links: Mutex::default(),
            pool: Arc::new(WorkerPool::new("relay", THREAD_STACK_BYTES)),
            options,
        });
        for forward in &state.options.forwards {
            state.add(forward)?;
        }
        let server = HttpServer::start(state.options.listen, {
            let state = Arc::clone(&state);
            move |incoming| routes::handle(&state, incoming)
        })?;
        Ok(Self { state, server })
    }

    /// The address of the control paths.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Ends all links and the control paths.
    pub fn stop(&mut self) {
        for link in self.state.links() {
            link.close();
        }
        self.server.stop();
    }
}
