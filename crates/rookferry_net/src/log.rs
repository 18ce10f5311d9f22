//! Structured logging to standard output, as JSON or as text for a terminal.

use std::io;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

/// Capacity of the queue of unwritten records; records beyond it are dropped.
const MAX_QUEUED_RECORDS: usize = 4_096;

/// Output format of logs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object per line.
    #[default]
    Json,
    /// Human-readable text.
    Terminal,
}

/// Minimum severity of records that are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// A component has failed.
    Error,
    /// A condition that an operator should check.
    Warning,
    /// State changes of instances and engines, and failed requests.
    #[default]
    Info,
    /// Individual requests and messages, for debugging.
    Debug,
}

impl LogLevel {
    const fn level(self) -> Level {
        match self {
            Self::Error => Level::Error,
            Self::Warning => Level::Warning,
            Self::Info => Level::Info,
            Self::Debug => Level::Debug,
        }
    }
}

/// Creates the root logger of a process; components derive theirs with `o!("part" => …)`.
///
/// A separate thread writes the records to standard output, so that a slow reader doesn't
/// block requests. Records that exceed its queue are dropped and counted.
pub fn root_logger(format: LogFormat, level: LogLevel, instance: &str) -> Logger {
    let values = o!("instance" => instance.to_owned());
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stdout());
            Logger::root(async_drain(Mutex::new(json).fuse(), level), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            let lines = slog_term::FullFormat::new(decorator).build();
            Logger::root(async_drain(lines.fuse(), level), values)
        }
    }
}

fn async_drain<D>(
    drain: D,
    level: LogLevel,
) -> slog::Fuse<LevelFilter<slog::Fuse<slog_async::Async>>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_RECORDS)
        .build()
        .fuse();
    LevelFilter::new(queue, level.level()).fuse()
}
