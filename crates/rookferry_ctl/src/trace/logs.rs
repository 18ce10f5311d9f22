//! Reads plain and gzip log files line by line.

use std::fs;
use std::fs::File;
use std::io;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::path::Path;
use std::path::PathBuf;

use flate2::read::MultiGzDecoder;
use snafu::ResultExt;

use crate::error::CtlError;
use crate::error::FileSnafu;

/// First bytes of a gzip file.
const GZIP_MAGIC: [u8; 2] = [0x1f, 0x8b];
/// Size of a read buffer, in bytes.
const BUFFER_BYTES: usize = 1 << 18;

/// A source of log lines.
enum Source {
    File(PathBuf),
    /// Contents of standard input, stored because it can't be read twice.
    Stdin(Vec<u8>),
}

/// Logs that can be read repeatedly.
pub(super) struct Logs {
    sources: Vec<Source>,
}

impl Logs {
    /// Collects files, the files of directories (not recursively) and, for `-`, standard
    /// input, which is read into memory. Files are opened when lines are read.
    pub(super) fn open(paths: &[PathBuf]) -> Result<Self, CtlError> {
        let mut sources = Vec::new();
        for path in paths {
            if path.as_os_str() == "-" {
                sources.push(Source::Stdin(read_stdin()?));
            } else if path.is_dir() {
                sources.extend(list_files(path)?.into_iter().map(Source::File));
            } else {
                sources.push(Source::File(path.clone()));
            }
        }
        Ok(Self { sources })
    }

    /// Calls `visit` for each line of each source.
    pub(super) fn for_each_line(&self, mut visit: impl FnMut(&[u8])) -> Result<(), CtlError> {
        for source in &self.sources {
            match source {
                Source::Stdin(bytes) => bytes.split(|byte| *byte == b'\n').for_each(&mut visit),
                Source::File(path) => {
                    read_log_file(path, &mut visit).context(FileSnafu { path })?;
                }
            }
        }
        Ok(())
    }
}

fn read_stdin() -> Result<Vec<u8>, CtlError> {
    let mut bytes = Vec::new();
    io::stdin().read_to_end(&mut bytes).context(FileSnafu {
        path: "standard input",
    })?;
    Ok(bytes)
}

/// The files of a directory, sorted by name.
fn list_files(directory: &Path) -> Result<Vec<PathBuf>, CtlError> {
    let mut files = Vec::new();
    for entry in fs::read_dir(directory).context(FileSnafu { path: directory })? {
        let path = entry.context(FileSnafu { path: directory })?.path();
        if path.is_file() {
            files.push(path);
        }
    }
    files.sort();
    Ok(files)
}

fn read_log_file(path: &Path, visit: &mut impl FnMut(&[u8])) -> io::Result<()> {
    let mut reader = BufReader::with_capacity(BUFFER_BYTES, File::open(path)?);
    let is_compressed = reader.fill_buf()?.starts_with(&GZIP_MAGIC);
    if is_compressed {
        let decoder = MultiGzDecoder::new(reader);
        return visit_lines(BufReader::with_capacity(BUFFER_BYTES, decoder), visit);
    }
    visit_lines(reader, visit)
}

fn visit_lines(mut reader: impl BufRead, visit: &mut impl FnMut(&[u8])) -> io::Result<()> {
    let mut line = Vec::new();
    while reader.read_until(b'\n', &mut line)? > 0 {
        visit(line.trim_ascii_end());
        line.clear();
    }
    Ok(())
}
