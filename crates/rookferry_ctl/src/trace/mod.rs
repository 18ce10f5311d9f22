//! A request's timeline from log files, without calls to the instances.
//!
//! The cause of a failure is often in a line that doesn't name the request: a lost
//! server, an unavailable store. So the timeline also has context lines: those of the
//! same instances about the request's servers and about their own dependencies, from
//! some time before the request until its end.
//!
//! The logs of hundreds of instances don't fit in memory, so they are read twice: for
//! the request's lines, then for the context lines.

mod log_line;
mod logs;
mod timeline;

pub(crate) use timeline::Timeline;
