//! Entry point of `ridgeworks-testbed`.

fn main() {}
