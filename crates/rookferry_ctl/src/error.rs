//! Errors of the commands and their exit codes.

use std::fs;
use std::io;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;
use std::process::ExitCode;

use rookferry_core::ConfigErrors;
use rookferry_net::ClientError;
use rookferry_net::PlatformError;
use sha2::Digest;
use sha2::Sha256;
use snafu::ResultExt;
use snafu::Snafu;

/// Exit code of an update that was rejected because of another version.
const EXIT_CONFLICT: u8 = 4;
/// Exit code of an update with an unknown outcome.
const EXIT_UNKNOWN: u8 = 5;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("the configuration is invalid; nothing was written\n{errors}"))]
    InvalidConfig { errors: ConfigErrors },
    #[snafu(display("conflict: expected version {expected}, but the platform has {version}; nothing was written\n\
        changed paths: {}\nrun `rookferryctl get`, merge the changes and apply again", changed.join(", ")))]
    Conflict {
        expected: u64,
        version: u64,
        changed: Vec<String>,
    },
    #[snafu(display(
        "unknown: the response was lost and the configuration can't be read back ({source}); \
        run `rookferryctl get` once the platform responds, and apply again if the change is missing"
    ))]
    Unknown { source: PlatformError },
    #[snafu(display("nothing was written: {source}"))]
    Platform { source: PlatformError },
    #[snafu(display("the platform has no configuration; write one with `rookferryctl apply`"))]
    NoConfig,
    #[snafu(display("{source}"))]
    Entry { source: ClientError },
    #[snafu(display("{}, line {line}: {cause}", path.display()))]
    InvalidListLine {
        path: PathBuf,
        line: usize,
        cause: String,
    },
    #[snafu(display("{} lists no instances; add one per line: IP:PORT KEY=VALUE ...", path.display()))]
    NoInstances { path: PathBuf },
    #[snafu(display("no instance matches the selector; change --select or omit it"))]
    NoMatch,
    #[snafu(display(
        "none of {asked} instances answered; check that the file lists their metrics addresses"
    ))]
    NoAnswers { asked: usize },
    #[snafu(display("the result can't be written as JSON: {source}"))]
    Json { source: serde_json::Error },
    #[snafu(display("{explanation}"))]
    NoRecord { explanation: String },
}

impl CtlError {
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Conflict { .. } => ExitCode::from(EXIT_CONFLICT),
            Self::Unknown { .. } => ExitCode::from(EXIT_UNKNOWN),
            _ => ExitCode::FAILURE,
        }
    }
}

pub(crate) fn read_file(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).context(FileSnafu { path })
}

/// SHA-256 of standard input without surrounding white space, in hexadecimal.
pub(crate) fn digest_of_stdin() -> Result<String, CtlError> {
    let mut key = String::new();
    io::stdin().read_to_string(&mut key).context(FileSnafu {
        path: "standard input",
    })?;
    Ok(hex::encode(Sha256::digest(key.trim().as_bytes())))
}
