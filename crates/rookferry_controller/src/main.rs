//! Fenced orders to engines under a lease; begins with the next change.

fn main() {}
