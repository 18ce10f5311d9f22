//! Command-line arguments.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::Parser;
use clap::Subcommand;
use rookferry_core::Selector;

/// Manage and inspect a rookferry site.
#[derive(Debug, Parser)]
#[command(version)]
pub(crate) struct Args {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Validate a configuration and print all errors.
    Check {
        /// Path of the configuration (JSON).
        file: PathBuf,
    },
    /// Validate a configuration and write it to the platform.
    ///
    /// Exits with 4, and writes nothing, if the platform has another version than
    /// expected; with 5 if the response was lost and the outcome is unknown.
    Apply {
        /// Address of the platform's object API (IP:PORT).
        #[arg(long)]
        platform: SocketAddr,
        /// Version that the file is based on; the platform's current version if omitted.
        #[arg(long)]
        expected: Option<u64>,
        /// Path of the configuration (JSON).
        file: PathBuf,
    },
    /// Print the platform's current configuration, and its version on standard error.
    Get {
        /// Address of the platform's object API (IP:PORT).
        #[arg(long)]
        platform: SocketAddr,
    },
    /// Show an instance, its peers with their configuration versions, and its engines.
    Status {
        /// Operators' address of an instance (IP:PORT).
        #[arg(long)]
        entry: SocketAddr,
    },
    /// Summarise the metrics of all instances of a site.
    Site {
        /// Include only matching instances, for example `domain=a and rack in (1, 2)`.
        #[arg(long, default_value = "")]
        select: Selector,
        /// Timeout for each instance's metrics, in milliseconds.
        #[arg(long, default_value_t = 2_000)]
        wait_ms: u64,
        /// Print the whole summary as JSON.
        #[arg(long)]
        json: bool,
        /// File that lists the instances, one per line: the metrics address (IP:PORT),
        /// then labels as KEY=VALUE.
        file: PathBuf,
    },
    /// Explain how a request was routed, or why it was refused.
    Explain {
        /// Operators' address of any instance (IP:PORT).
        #[arg(long)]
        entry: SocketAddr,
        /// ID of the request, from the `Rookferry-Request-Id` header of its response.
        request_id: String,
    },
    /// Print a request's timeline from the logs of the instances.
    Trace {
        /// Include context lines from this long before the request, in milliseconds.
        #[arg(long, default_value_t = 3_000)]
        window_ms: u64,
        /// Include only context lines whose fields match, such as
        /// `event in (server_lost, server_closed)`.
        #[arg(long, default_value = "")]
        select: Selector,
        /// ID of the request.
        request_id: String,
        /// Log files (plain or gzip) and directories of them; `-` reads standard input.
        #[arg(default_value = "-")]
        files: Vec<PathBuf>,
    },
    /// Read a client account's key from standard input and print its SHA-256 digest.
    Digest,
}
