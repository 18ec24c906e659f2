//! Identifiers of changes, under which a repeated request has one effect.

/// A new identifier of 32 random hexadecimal digits.
pub fn random() -> String {
    format!("{:032x}", rand::random::<u128>())
}

/// The given identifier, or a new one.
pub fn given_or_random(given: Option<String>) -> String {
    given.unwrap_or_else(random)
}

/// Identifier of one change among those of a file.
pub fn of_position(base: &str, position: usize) -> String {
    format!("{base}-{position}")
}
