//! Structured logs with a fixed prefix for each part.

use std::io;
use std::sync::Mutex;

use serde::Deserialize;
use serde::Serialize;
use slog::Drain;
use slog::Level;
use slog::LevelFilter;
use slog::Logger;
use slog::o;

/// Records that may wait to be written before further ones are dropped.
const QUEUED_RECORDS: usize = 4_096;

/// How logs are written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// One JSON object a line.
    #[default]
    Json,
    /// For people at a terminal.
    Terminal,
}

/// The least severity that is written.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// What stops a part from working.
    Error,
    /// What an operator should look at.
    Warning,
    /// What happens to instances, engines and requests without an answer.
    #[default]
    Info,
    /// Single messages.
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

/// The logger of a process; parts derive theirs with `o!("part" => …)`.
///
/// Records are written to standard output by a thread of their own, so that a
/// slow reader doesn't hold up requests; the thread drops and counts what it
/// can't keep up with.
pub fn root_logger(format: LogFormat, level: LogLevel, instance: &str) -> Logger {
    let values = o!("instance" => instance.to_owned());
    match format {
        LogFormat::Json => {
            let json = slog_json::Json::default(io::stdout());
            Logger::root(queued(Mutex::new(json).fuse(), level), values)
        }
        LogFormat::Terminal => {
            let decorator = slog_term::PlainSyncDecorator::new(io::stdout());
            let lines = slog_term::FullFormat::new(decorator).build();
            Logger::root(queued(lines.fuse(), level), values)
        }
    }
}

fn queued<D>(drain: D, level: LogLevel) -> slog::Fuse<LevelFilter<slog::Fuse<slog_async::Async>>>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    let queue = slog_async::Async::new(drain)
        .chan_size(QUEUED_RECORDS)
        .build()
        .fuse();
    LevelFilter::new(queue, level.level()).fuse()
}
