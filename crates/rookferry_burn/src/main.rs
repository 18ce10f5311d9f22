//! The report on service-level burn; begins with the next change.

fn main() {}
