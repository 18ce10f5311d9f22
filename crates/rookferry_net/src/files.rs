//! The files that a daemon reads at its start and writes once it listens.

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
    /// The file system refused.
    #[snafu(display("{}: {source}", path.display()))]
    Access {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The value has no JSON form.
    #[snafu(display("{}: {source}", path.display()))]
    Encode {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: serde_json::Error,
    },
}

/// Reads a text file whole.
///
/// # Errors
///
/// If it can't be read; the error names the file.
pub fn read_text(path: &Path) -> Result<String, FileError> {
    fs::read_to_string(path).context(AccessSnafu { path })
}

/// Writes addresses as JSON. The file is renamed into place, so that whoever
/// waits for it reads it whole.
///
/// # Errors
///
/// If it can't be written; the error names the file.
pub fn write_addresses(path: &Path, addresses: &impl Serialize) -> Result<(), FileError> {
    let json = serde_json::to_string(addresses).context(EncodeSnafu { path })?;
    let partial = path.with_extension("partial");
    fs::write(&partial, json).context(AccessSnafu { path: &partial })?;
    fs::rename(&partial, path).context(AccessSnafu { path })
}
