//! Checks of settings beyond their types: every fault with its key, value and what is allowed.

use std::fmt;
use std::ops::RangeInclusive;

use ridgeworks_domain::ZoneName;

use super::file::Settings;

const LOG_LEVELS: [&str; 5] = ["error", "warn", "info", "debug", "trace"];
const REQUESTS: RangeInclusive<u64> = 1..=100_000;
const BODY_BYTES: RangeInclusive<u64> = 1_024..=64 * 1024 * 1024;
const TIMEOUT_MS: RangeInclusive<u64> = 10..=3_600_000;

/// One value that is not allowed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Key of the settings file, with dots.
    pub key: &'static str,
    /// The value found.
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
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} = {:?}: ", self.key, self.value)?;
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
        }
    }
}

/// All faults of the settings.
pub fn check(settings: &Settings) -> Vec<Fault> {
    let mut faults = Vec::new();
    check_identifier(&mut faults, "name", &settings.name);
    check_identifier(&mut faults, "zone", &settings.zone);
    check_identifier(&mut faults, "region", &settings.region);
    check_advertised(&mut faults, settings);
    check_voters(&mut faults, settings);
    check_log_level(&mut faults, settings);
    let edge = &settings.edge;
    let numbers = [
        (
            "edge.max_concurrent_requests",
            edge.max_concurrent_requests as u64,
            REQUESTS,
        ),
        (
            "edge.max_body_bytes",
            edge.max_body_bytes as u64,
            BODY_BYTES,
        ),
        ("edge.idle_timeout_ms", edge.idle_timeout_ms, TIMEOUT_MS),
        ("edge.write_timeout_ms", edge.write_timeout_ms, TIMEOUT_MS),
        (
            "owner.default_deadline_ms",
            settings.owner.default_deadline_ms,
            TIMEOUT_MS,
        ),
        (
            "owner.stop_timeout_ms",
            settings.owner.stop_timeout_ms,
            TIMEOUT_MS,
        ),
        ("sweep.silent_ms", settings.sweep.silent_ms, TIMEOUT_MS),
        ("sweep.dead_ms", settings.sweep.dead_ms, TIMEOUT_MS),
    ];
    for (key, value, range) in numbers {
        check_range(&mut faults, key, value, range);
    }
    faults
}

fn check_identifier(faults: &mut Vec<Fault>, key: &'static str, value: &str) {
    // Names of nodes, zones and regions follow the rules of one identifier type.
    if ZoneName::new(value).is_err() {
        faults.push(Fault {
            key,
            value: value.to_owned(),
            reason: FaultReason::NotAnIdentifier,
        });
    }
}

fn check_range(faults: &mut Vec<Fault>, key: &'static str, value: u64, range: RangeInclusive<u64>) {
    if !range.contains(&value) {
        faults.push(Fault {
            key,
            value: value.to_string(),
            reason: FaultReason::OutOfRange(range),
        });
    }
}

fn check_advertised(faults: &mut Vec<Fault>, settings: &Settings) {
    let advertised = settings.advertise.unwrap_or(settings.link_listen);
    if advertised.ip().is_unspecified() {
        faults.push(Fault {
            key: "advertise",
            value: advertised.to_string(),
            reason: FaultReason::UnspecifiedAddress,
        });
    }
}

fn check_voters(faults: &mut Vec<Fault>, settings: &Settings) {
    let voters = &settings.configuration_voters;
    for (index, voter) in voters.iter().enumerate() {
        check_identifier(faults, "configuration_voters", voter);
        if voters[..index].contains(voter) {
            faults.push(Fault {
                key: "configuration_voters",
                value: voter.clone(),
                reason: FaultReason::Duplicate,
            });
        }
    }
}

fn check_log_level(faults: &mut Vec<Fault>, settings: &Settings) {
    if !LOG_LEVELS.contains(&settings.log.level.as_str()) {
        faults.push(Fault {
            key: "log.level",
            value: settings.log.level.clone(),
            reason: FaultReason::NotOneOf(&LOG_LEVELS),
        });
    }
}
