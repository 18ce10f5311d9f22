//! Summarises a site from the metrics of its instances.
//!
//! Each instance reports only its own state. On a site of hundreds, differences between
//! instances are what matters, so the summary counts the instances by value of each
//! metric and lists the addresses of those that differ from the majority.

mod instance_list;
mod metrics;
mod overview;
mod query;

pub(crate) use instance_list::InstanceList;
pub(crate) use query::SiteQuery;
