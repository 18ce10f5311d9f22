//! Summarises a site from the metrics of its instances.
//!
//! Each instance reports only its own state. On a site of hundreds, differences between
//! instances are what matters, so the summary counts the instances by value of each
//! metric and lists the addresses of those that differ from the majority.

mod ask;
mod figures;
mod overview;
mod roster;

pub(crate) use ask::SiteQuestion;
pub(crate) use roster::Roster;
