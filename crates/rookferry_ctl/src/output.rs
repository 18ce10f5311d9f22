//! Output on standard output.

use std::fmt::Display;
use std::io;
use std::io::Write;

use snafu::ResultExt;

use crate::error::CtlError;
use crate::error::FileSnafu;

/// Prints lines on standard output. A reader that closes the pipe early, such as a
/// pager or `head`, is not an error.
pub(crate) fn print_lines(lines: impl IntoIterator<Item = impl Display>) -> Result<(), CtlError> {
    match write_lines(lines) {
        Err(error) if error.kind() == io::ErrorKind::BrokenPipe => Ok(()),
        written => written.context(FileSnafu {
            path: "standard output",
        }),
    }
}

fn write_lines(lines: impl IntoIterator<Item = impl Display>) -> io::Result<()> {
    let mut out = io::stdout().lock();
    for line in lines {
        writeln!(out, "{line}")?;
    }
    out.flush()
}
