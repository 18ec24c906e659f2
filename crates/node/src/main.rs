//! Entry point of `ridgeworksd`.

fn main() {}
