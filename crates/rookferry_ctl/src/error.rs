//! What went wrong, and how the tool exits.

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

/// Exit codes beside 1.
const EXIT_CONFLICT: u8 = 4;
const EXIT_UNKNOWN: u8 = 5;

#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(display("{}: {source}", path.display()))]
    File { path: PathBuf, source: io::Error },
    #[snafu(display("the configuration has faults, nothing was written\n{faults}"))]
    Faults { faults: ConfigErrors },
    #[snafu(display("conflict: the platform holds version {version}, not {expected}; nothing was written\n\
        changed there: {}\nget it, merge, and apply again", changed.join(", ")))]
    Conflict {
        expected: u64,
        version: u64,
        changed: Vec<String>,
    },
    #[snafu(display(
        "unknown: the answer was lost and the platform can't be read back; \
        run `rookferryctl get` when it answers, and apply again only if needed ({source})"
    ))]
    Unknown { source: PlatformError },
    #[snafu(display("nothing was written: {source}"))]
    Platform { source: PlatformError },
    #[snafu(display("the platform holds no configuration; apply one"))]
    NoConfig,
    #[snafu(display("{source}"))]
    Entry { source: ClientError },
    #[snafu(display("{}, line {line}: {cause}", path.display()))]
    Roster {
        path: PathBuf,
        line: usize,
        cause: String,
    },
    #[snafu(display("{} lists no instances; write one a line: IP:PORT KEY=VALUE ...", path.display()))]
    NoInstances { path: PathBuf },
    #[snafu(display("no instance matches the selector; give another, or none"))]
    NoMatch,
    #[snafu(display("none of {asked} instances answered; are these their addresses for metrics?"))]
    NobodyAnswers { asked: usize },
    #[snafu(display("the answer doesn't write as JSON: {source}"))]
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

pub(crate) fn digest_of_stdin() -> Result<String, CtlError> {
    let mut key = String::new();
    io::stdin().read_to_string(&mut key).context(FileSnafu {
        path: "standard input",
    })?;
    Ok(hex::encode(Sha256::digest(key.trim().as_bytes())))
}
