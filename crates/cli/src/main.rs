//! Entry point of `ridgeworks`.

fn main() {}
