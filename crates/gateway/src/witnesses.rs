//! Asks other gateways to witness a send, while no majority of the replicas answers.
//!
//! The witnesses of a ledger are the gateways of highest rank for it, by rendezvous hashing, that are not known to be gone. A send
//! is witnessed if a majority of them keeps its entry, so that any two sends of one request have a witness in common. One that has
//! just started does not know what it kept before, so it keeps entries without being counted.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use ridgeworks_records::{LedgerEntry, ProgramId, ProgramLedger, TurnId};
use ridgeworks_resident::peer::{
    ExtensionReply, ExtensionRequest, LinkError, PeerReply, PeerRequest, WitnessReply,
    WitnessRequest,
};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::exchange::END_LIFETIME;
use crate::gateway::Gateway;

/// Number of witnesses of a ledger.
const WITNESSES: usize = 3;
/// Most gateways that are asked, where those asked first are gone or have just started.
const MAX_ASKED: usize = 4 * WITNESSES;
/// Longer than a round trip between regions. Short, because the request waits.
const TIMEOUT: Duration = Duration::from_millis(200);

/// No majority of witnesses that know all earlier sends has kept the entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NotWitnessed;

/// What became of a request to one witness.
enum Testimony {
    /// It keeps the entry, and knows all that it witnessed for as long as that counts.
    Kept(ProgramLedger),
    /// It keeps the entry, and has run for too short a time to know all.
    KeptSinceStart(ProgramLedger),
    /// The process is gone, or of a version that is no witness.
    Gone,
    /// It did not reply in time, or keeps no more.
    Silent,
}

/// What became of the requests to all witnesses of an entry.
#[derive(Default)]
struct Testimonies {
    known: ProgramLedger,
    kept: usize,
    since_start: usize,
    silent: usize,
    gone: usize,
}

impl Testimonies {
    fn add(&mut self, testimony: Testimony) {
        match testimony {
            Testimony::Kept(ledger) => {
                self.kept += 1;
                self.known.merge_ledger(&ledger);
            }
            // What it knows counts, its consent does not.
            Testimony::KeptSinceStart(ledger) => {
                self.since_start += 1;
                self.known.merge_ledger(&ledger);
            }
            Testimony::Silent => self.silent += 1,
            Testimony::Gone => self.gone += 1,
        }
    }

    fn asked(&self) -> usize {
        self.kept + self.since_start + self.silent + self.gone
    }

    /// How many more have to be asked. A silent one may know of a send, so that no other takes its place.
    fn missing(&self) -> usize {
        let missing = WITNESSES - self.kept - self.silent;
        missing.min(MAX_ASKED.saturating_sub(self.asked()))
    }

    fn is_witnessed(&self) -> bool {
        self.kept > self.silent
    }

    fn log(&self, key: &TurnId) {
        let level = if self.is_witnessed() {
            log::Level::Info
        } else {
            log::Level::Warn
        };
        log::log!(
            target: "records",
            level,
            request = key.request(),
            is_mark = key.is_mark(),
            kept = self.kept,
            kept_since_start = self.since_start,
            silent = self.silent,
            gone = self.gone,
            is_witnessed = self.is_witnessed();
            "witnesses of a send asked"
        );
    }
}

#[derive(Clone, Copy)]
enum Witness {
    This,
    Other(SocketAddr),
}

impl Gateway {
    /// Merges an entry into a ledger at a majority of its witnesses. Returns the union of their ledgers.
    pub async fn witness(
        &self,
        ledger: &ProgramId,
        key: &TurnId,
        entry: LedgerEntry,
    ) -> Result<ProgramLedger, NotWitnessed> {
        if self.is_cut_off_from_witnesses() {
            log::warn!(
                target: "records",
                request = key.request();
                "no other gateway is heard that could witness a send"
            );
            self.metrics.on_witnessed("cut_off");
            return Err(NotWitnessed);
        }
        let mut candidates = self.rank_witnesses(ledger).into_iter();
        let mut testimonies = Testimonies::default();
        loop {
            let next = candidates.by_ref().take(testimonies.missing());
            let asking: Vec<_> = next
                .map(|witness| self.ask_witness(witness, ledger, key, entry))
                .collect();
            if asking.is_empty() {
                break;
            }
            for testimony in join_all(asking).await {
                testimonies.add(testimony);
            }
        }
        testimonies.log(key);
        if !testimonies.is_witnessed() {
            self.metrics.on_witnessed("refused");
            return Err(NotWitnessed);
        }
        self.metrics.on_witnessed("witnessed");
        Ok(testimonies.known)
    }

    /// Tells all gateways an entry, as far as they can be reached.
    pub async fn tell_all_witnesses(&self, ledger: &ProgramId, key: &TurnId, entry: LedgerEntry) {
        let all = self.rank_witnesses(ledger).into_iter();
        join_all(all.map(|witness| self.ask_witness(witness, ledger, key, entry))).await;
    }

    /// Keeps an entry for another gateway.
    pub fn on_witness_request(&self, request: &WitnessRequest) -> WitnessReply {
        let WitnessRequest { ledger, key, entry } = request;
        let now = self.now();
        let mut ledgers = self.witnessed.borrow_mut();
        let Some(kept) = ledgers.merge(ledger, key, *entry, now) else {
            return WitnessReply::Full;
        };
        if self.knows_all_witnessed() {
            WitnessReply::Kept(kept)
        } else {
            WitnessReply::KeptSinceStart(kept)
        }
    }

    /// Whether this process has run for as long as what it witnessed counts, or nothing has run before it.
    fn knows_all_witnessed(&self) -> bool {
        self.node.settings.bootstrap || self.now() >= END_LIFETIME
    }

    /// Takes the gateways that are known now into the roster of witnesses.
    pub fn update_witness_roster(&self) {
        let mut roster = self.witness_roster.borrow_mut();
        let members = self.node.gossip.members().into_iter();
        for member in members.filter(|member| !member.info.is_replica) {
            let info = &member.info;
            roster.observe(
                &info.name,
                info.address,
                member.known_since,
                member.heard_at,
            );
        }
        roster.expire(self.now());
    }

    fn is_cut_off_from_witnesses(&self) -> bool {
        self.update_witness_roster();
        self.witness_roster.borrow().is_cut_off(self.now())
    }

    /// All gateways that may be witnesses of a ledger, those of highest rank first.
    fn rank_witnesses(&self, ledger: &ProgramId) -> Vec<Witness> {
        let seed = xxh3_64_with_seed(ledger.0.as_bytes(), 0);
        let rank = |name: &str| xxh3_64_with_seed(name.as_bytes(), seed);
        let roster = self.witness_roster.borrow();
        let others = roster.iter();
        let mut ranked: Vec<(u64, Witness)> = others
            .map(|(name, address)| (rank(name), Witness::Other(address)))
            .collect();
        ranked.push((rank(&self.node.settings.name), Witness::This));
        ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, witness)| witness).collect()
    }

    async fn ask_witness(
        &self,
        witness: Witness,
        ledger: &ProgramId,
        key: &TurnId,
        entry: LedgerEntry,
    ) -> Testimony {
        let request = WitnessRequest {
            ledger: ledger.clone(),
            key: key.clone(),
            entry,
        };
        let reply = match witness {
            Witness::This => self.on_witness_request(&request),
            Witness::Other(address) => {
                let request = PeerRequest::Extension(ExtensionRequest::Witness(request));
                match self.node.links.call(address, request, TIMEOUT).await {
                    Ok(PeerReply::Extension(ExtensionReply::Witness(reply))) => reply,
                    Ok(_) | Err(LinkError::Unreachable) => return Testimony::Gone,
                    Err(_) => return Testimony::Silent,
                }
            }
        };
        match reply {
            WitnessReply::Kept(ledger) => Testimony::Kept(ledger),
            WitnessReply::KeptSinceStart(ledger) => Testimony::KeptSinceStart(ledger),
            WitnessReply::Full => Testimony::Silent,
        }
    }
}
