//! Files that a daemon reads at startup, and the address file that it writes once it
//! listens.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;

use serde::Serialize;
use snafu::ResultExt;
use snafu::Snafu;

/// Why a file couldn't be read or written.
#[derive(Debug, Snafu)]
pub enum FileError {
    /// The file could not be accessed.
    #[snafu(display("{}: {source}", path.display()))]
    Access {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The value could not be encoded as JSON.
    #[snafu(display("{}: {source}", path.display()))]
    Encode {
        /// Path of the file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Reads a UTF-8 text file.
///
/// # Errors
///
/// If the file can't be read; the error contains the path.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    fs::read_to_string(path).context(AccessSnafu { path })
}

/// Writes addresses as JSON. The file is renamed into place, so that a process waiting
/// for it never reads a partial file.
///
/// # Errors
///
/// If the file can't be written; the error contains the path.
pub fn write_addresses(path: &Path, addresses: &impl Serialize) -> Result<(), FileError> {
    let json = serde_json::to_string(addresses).context(EncodeSnafu { path })?;
    let partial = path.with_extension("partial");
    fs::write(&partial, json).context(AccessSnafu { path: &partial })?;
    fs::rename(&partial, path).context(AccessSnafu { path })
}
