//! Checks of settings beyond their types: every fault with its key, value and what is allowed.

use std::fmt;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use ridgeworks_domain::ZoneName;

use super::file::Settings;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const DIGEST_DIGITS: usize = 64;
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;

/// One value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Key of the settings file, with dots and with the index of a list's entry.
    pub key: String,
    /// The value found, as TOML.
    pub value: String,
    /// What is allowed.
    pub reason: FaultReason,
}

/// Why a value is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FaultReason {
    /// An identifier is expected: 1 to 128 letters, digits and `. _ : -`.
    NotAnIdentifier,
    /// The number lies outside of this range.
    OutOfRange(RangeInclusive<u64>),
    /// One of these words is expected.
    NotOneOf(&'static [&'static str]),
    /// An address with a specified IP number is expected.
    UnspecifiedAddress,
    /// The list holds a value twice.
    Duplicate,
    /// A SHA-256 digest in lower-case hexadecimal is expected.
    NotADigest,
    /// A configuration voter keeps its state on disk.
    VoterWithoutDisk,
    /// There is no such key.
    UnknownKey {
        /// The keys of the same table.
        allowed: Vec<&'static str>,
    },
    /// The value cannot be read.
    Unreadable {
        /// What is allowed.
        allowed: &'static str,
        /// What the deserializer says.
        problem: String,
    },
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} = {}: ", self.key, self.value)?;
        match &self.reason {
            FaultReason::NotAnIdentifier => {
                write!(
                    formatter,
                    "allowed are 1 to 128 letters, digits and . _ : -"
                )
            }
            FaultReason::OutOfRange(range) => {
                write!(
                    formatter,
                    "allowed are {} to {}",
                    range.start(),
                    range.end()
                )
            }
            FaultReason::NotOneOf(words) => write!(formatter, "allowed are {}", words.join(", ")),
            FaultReason::UnspecifiedAddress => {
                write!(formatter, "allowed is an address that other nodes can dial")
            }
            FaultReason::Duplicate => write!(formatter, "allowed is each value once"),
            FaultReason::NotADigest => {
                write!(formatter, "allowed are 64 digits of lower-case hexadecimal")
            }
            FaultReason::VoterWithoutDisk => {
                write!(
                    formatter,
                    "allowed is a path, this node is a configuration voter"
                )
            }
            FaultReason::UnknownKey { allowed } => {
                write!(formatter, "no such key, allowed are {}", allowed.join(", "))
            }
            FaultReason::Unreadable { allowed, problem } => {
                write!(formatter, "{problem}, allowed is {allowed}")
            }
        }
    }
}

/// All faults of the settings.
pub fn check(settings: &Settings) -> Vec<Fault> {
    let mut faults = Faults::default();
    check_names(&mut faults, settings);
    check_addresses(&mut faults, settings);
    check_voters(&mut faults, settings);
    check_partners(&mut faults, settings);
    check_numbers(&mut faults, settings);
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        let reason = FaultReason::NotOneOf(&LOG_LEVELS);
        faults.add("log.level", quoted(&settings.log.level), reason);
    }
    faults.0
}

#[derive(Default)]
struct Faults(Vec<Fault>);

impl Faults {
    fn add(&mut self, key: impl Into<String>, value: String, reason: FaultReason) {
        let key = key.into();
        self.0.push(Fault { key, value, reason });
    }

    fn identifier(&mut self, key: impl Into<String>, value: &str) {
        // Names of nodes, zones and regions follow the rules of one identifier type.
        if ZoneName::new(value).is_err() {
            self.add(key, quoted(value), FaultReason::NotAnIdentifier);
        }
    }

    fn dialled(&mut self, key: impl Into<String>, address: SocketAddr) {
        if address.ip().is_unspecified() || address.port() == 0 {
            self.add(key, quoted(address), FaultReason::UnspecifiedAddress);
        }
    }
}

fn quoted(value: impl fmt::Display) -> String {
    toml::Value::String(value.to_string()).to_string()
}

fn check_names(faults: &mut Faults, settings: &Settings) {
    faults.identifier("name", &settings.name);
    faults.identifier("zone", &settings.zone);
    faults.identifier("region", &settings.region);
}

fn check_addresses(faults: &mut Faults, settings: &Settings) {
    match settings.advertise {
        Some(advertised) => faults.dialled("advertise", advertised),
        // The port is drawn when the node starts.
        None if settings.link_listen.ip().is_unspecified() => {
            let value = quoted(settings.link_listen);
            faults.add("advertise", value, FaultReason::UnspecifiedAddress);
        }
        None => {}
    }
    for (index, peer) in settings.peers.iter().enumerate() {
        faults.dialled(format!("peers[{index}]"), *peer);
    }
    if let Some(platform) = settings.platform {
        faults.dialled("platform", platform);
    }
    let overrides = &settings.dial_overrides;
    for (index, entry) in overrides.iter().enumerate() {
        let key = format!("dial_overrides[{index}]");
        faults.dialled(format!("{key}.advertised"), entry.advertised);
        faults.dialled(format!("{key}.dial"), entry.dial);
        let earlier = &overrides[..index];
        if earlier
            .iter()
            .any(|other| other.advertised == entry.advertised)
        {
            let value = quoted(entry.advertised);
            faults.add(format!("{key}.advertised"), value, FaultReason::Duplicate);
        }
    }
}

fn check_voters(faults: &mut Faults, settings: &Settings) {
    let voters = &settings.configuration_voters;
    for (index, voter) in voters.iter().enumerate() {
        let key = format!("configuration_voters[{index}]");
        faults.identifier(key.clone(), voter);
        if voters[..index].contains(voter) {
            faults.add(key, quoted(voter), FaultReason::Duplicate);
        }
    }
    if voters.contains(&settings.name) && settings.store.data_dir.is_none() {
        let reason = FaultReason::VoterWithoutDisk;
        faults.add("store.data_dir", "absent".to_owned(), reason);
    }
}

fn check_partners(faults: &mut Faults, settings: &Settings) {
    let partners = &settings.bootstrap_partners;
    for (index, partner) in partners.iter().enumerate() {
        let key = format!("bootstrap_partners[{index}]");
        let earlier = &partners[..index];
        if earlier.iter().any(|other| other.name == partner.name) {
            let value = quoted(&partner.name);
            faults.add(format!("{key}.name"), value, FaultReason::Duplicate);
        }
        let digest = &partner.token_sha256;
        let key = format!("{key}.token_sha256");
        if !is_digest(digest) {
            faults.add(key, quoted(digest), FaultReason::NotADigest);
        } else if earlier.iter().any(|other| other.token_sha256 == *digest) {
            faults.add(key, quoted(digest), FaultReason::Duplicate);
        }
    }
}

fn is_digest(text: &str) -> bool {
    let digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
    text.len() == DIGEST_DIGITS && text.bytes().all(digit)
}

fn check_numbers(faults: &mut Faults, settings: &Settings) {
    let (edge, owner) = (&settings.edge, &settings.owner);
    let requests = edge.max_concurrent_requests as u64;
    let body_bytes = edge.max_body_bytes as u64;
    let numbers = [
        ("edge.max_concurrent_requests", requests, REQUESTS),
        ("edge.max_body_bytes", body_bytes, BODY_BYTES),
        ("edge.idle_timeout_ms", edge.idle_timeout_ms, TIMEOUT_MS),
        ("edge.write_timeout_ms", edge.write_timeout_ms, TIMEOUT_MS),
        (
            "owner.default_deadline_ms",
            owner.default_deadline_ms,
            TIMEOUT_MS,
        ),
        ("owner.stop_timeout_ms", owner.stop_timeout_ms, TIMEOUT_MS),
        ("sweep.silent_ms", settings.sweep.silent_ms, TIMEOUT_MS),
        ("sweep.dead_ms", settings.sweep.dead_ms, TIMEOUT_MS),
    ];
    for (key, value, range) in numbers {
        if !range.contains(&value) {
            faults.add(key, value.to_string(), FaultReason::OutOfRange(range));
        }
    }
}
