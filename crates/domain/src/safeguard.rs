//! Safeguards that a test build can disable, to verify that the tests detect their absence.
//!
//! The switch is compiled in only with the feature `weakened`: it reads the environment variable
//! `RIDGEWORKS_WEAKENED` once, as a comma-separated list of names. Without the feature [`is_disabled`] is a
//! constant `false`, and the compiler removes every check.

/// A safeguard that a test build can disable.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A run's owner orders calls by their sequence numbers; when disabled, a call gets the next number.
    Sequence,
    /// An entry is committed once a majority of the replicas has stored it; when disabled, one replica is
    /// enough.
    Majority,
    /// A call is refused if its reserve exceeds the remaining budget.
    Reserve,
    /// Contexts of ended runs are released.
    ContextRelease,
    /// A caller receives only the part of a text chunk that it has not received yet.
    TextOffset,
    /// A stream is completed only if the recorded answer starts with the text already sent.
    WholeAnswer,
    /// A back end is asked whether an attempt with unknown outcome started; when disabled, such an attempt
    /// counts as never started.
    Fence,
    /// A non-repeatable call gets a single attempt.
    SingleAttempt,
    /// A back end that is leaving takes no new calls; when disabled, it is treated as live.
    Leaving,
    /// A planned stop waits for in-flight requests.
    Drain,
    /// A configuration lease expires.
    Lease,
}

/// Environment variable that lists the disabled safeguards.
#[cfg(feature = "weakened")]
pub const VARIABLE: &str = "RIDGEWORKS_WEAKENED";

/// Returns whether a safeguard is disabled; always false without the feature `weakened`.
#[cfg(not(feature = "weakened"))]
pub const fn is_disabled(_: Safeguard) -> bool {
    false
}

/// Returns whether a safeguard is disabled.
///
/// # Panics
/// Panics when [`VARIABLE`] contains an unknown name, because a misspelt name would disable nothing.
#[cfg(feature = "weakened")]
pub fn is_disabled(safeguard: Safeguard) -> bool {
    use std::sync::OnceLock;
    static DISABLED: OnceLock<Vec<Safeguard>> = OnceLock::new();
    DISABLED.get_or_init(read_disabled).contains(&safeguard)
}

#[cfg(feature = "weakened")]
fn read_disabled() -> Vec<Safeguard> {
    let names = std::env::var(VARIABLE).unwrap_or_default();
    let names = names.split(',').filter(|name| !name.is_empty());
    names
        .map(|name| {
            from_name(name).unwrap_or_else(|| panic!("{VARIABLE}: unknown safeguard {name:?}"))
        })
        .collect()
}

#[cfg(feature = "weakened")]
fn from_name(name: &str) -> Option<Safeguard> {
    Some(match name {
        "sequence" => Safeguard::Sequence,
        "majority" => Safeguard::Majority,
        "reserve" => Safeguard::Reserve,
        "context-release" => Safeguard::ContextRelease,
        "text-offset" => Safeguard::TextOffset,
        "whole-answer" => Safeguard::WholeAnswer,
        "fence" => Safeguard::Fence,
        "single-attempt" => Safeguard::SingleAttempt,
        "leaving" => Safeguard::Leaving,
        "drain" => Safeguard::Drain,
        "lease" => Safeguard::Lease,
        _ => return None,
    })
}
