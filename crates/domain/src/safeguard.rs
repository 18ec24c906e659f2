//! Mechanisms that a test build can leave out, to show that the check of each promise can fail.
//!
//! Only the feature `weakened` compiles the switch in: it reads [`VARIABLE`] once, a list of names separated by
//! commas. Without the feature [`is_disabled`] is a constant `false`, and the compiler drops every hook.

/// A mechanism that can be left out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Safeguard {
    /// A run's owner takes calls by their numbers; without it a call gets whatever number is next.
    Sequence,
    /// An entry counts once a majority of the replicas has it; without it one replica is enough.
    Majority,
    /// A reserve must fit the budget.
    Reserve,
    /// Contexts of ended runs are released.
    ContextRelease,
    /// Of a chunk of text a caller is given what it does not have yet.
    TextOffset,
    /// A stream ends as whole only if the recorded answer goes on from its text.
    WholeAnswer,
    /// A back end is asked about an attempt in doubt; without it the attempt counts as never started.
    Fence,
    /// A call that may not be repeated has one attempt.
    SingleAttempt,
    /// Leaving back ends are told from live ones.
    Leaving,
    /// A planned stop waits for what is in progress.
    Drain,
    /// A configuration lease ends.
    Lease,
}

/// Environment variable that names what is left out.
#[cfg(feature = "weakened")]
pub const VARIABLE: &str = "RIDGEWORKS_WEAKENED";

/// Whether a mechanism is left out.
#[cfg(not(feature = "weakened"))]
pub const fn is_disabled(_: Safeguard) -> bool {
    false
}

/// Whether a mechanism is left out.
///
/// # Panics
/// Panics when [`VARIABLE`] names no mechanism: a run that weakened nothing would prove nothing.
#[cfg(feature = "weakened")]
pub fn is_disabled(safeguard: Safeguard) -> bool {
    use std::sync::OnceLock;
    static OFF: OnceLock<Vec<Safeguard>> = OnceLock::new();
    OFF.get_or_init(read).contains(&safeguard)
}

#[cfg(feature = "weakened")]
fn read() -> Vec<Safeguard> {
    let names = std::env::var(VARIABLE).unwrap_or_default();
    let names = names.split(',').filter(|name| !name.is_empty());
    names
        .map(|name| named(name).unwrap_or_else(|| panic!("{VARIABLE}: no mechanism {name:?}")))
        .collect()
}

#[cfg(feature = "weakened")]
fn named(name: &str) -> Option<Safeguard> {
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
