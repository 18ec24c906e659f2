//! Gateways that may know of sends that this one does not: those that are heard, and those that fell silent a while ago.
//!
//! A gateway that falls silent may be gone, or cut off and sending. While nothing tells these apart it is still asked, and its
//! silence counts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A gateway that has not been heard from for this long counts as silent.
const MAX_SILENCE: Duration = Duration::from_secs(10);

struct KnownGateway {
    address: SocketAddr,
    /// When it was last heard, or first heard of.
    last: Duration,
}

/// The other gateways, by name. Times are since the start of the process.
pub struct WitnessRoster {
    lifetime: Duration,
    gateways: BTreeMap<String, KnownGateway>,
    /// When any other gateway was last heard.
    last_heard: Option<Duration>,
}

impl WitnessRoster {
    /// `lifetime` is how long a silent gateway is remembered: as long as what it may have sent counts.
    pub fn new(lifetime: Duration) -> Self {
        Self {
            lifetime,
            gateways: BTreeMap::new(),
            last_heard: None,
        }
    }

    /// Records a gateway that was last heard at `heard_at`, or that others named at `known_since`.
    pub fn observe(
        &mut self,
        name: &str,
        address: SocketAddr,
        known_since: Duration,
        heard_at: Option<Duration>,
    ) {
        self.last_heard = self.last_heard.max(heard_at);
        let last = heard_at.unwrap_or(known_since);
        let known = self.gateways.entry(name.to_owned());
        let known = known.or_insert(KnownGateway { address, last });
        known.address = address;
        known.last = known.last.max(last);
    }

    /// Forgets gateways that have been silent for longer than what they may have sent counts.
    pub fn expire(&mut self, now: Duration) {
        let lifetime = self.lifetime;
        self.gateways
            .retain(|_, known| now.saturating_sub(known.last) < lifetime);
    }

    /// Names and addresses of the other gateways, silent ones included.
    pub fn iter(&self) -> impl Iterator<Item = (&str, SocketAddr)> {
        let gateways = self.gateways.iter();
        gateways.map(|(name, known)| (name.as_str(), known.address))
    }

    /// Whether others were heard in this life of the process, and none lately: they may be sending, and this one is cut off.
    pub fn is_cut_off(&self, now: Duration) -> bool {
        self.last_heard
            .is_some_and(|heard| now.saturating_sub(heard) >= MAX_SILENCE)
    }
}
