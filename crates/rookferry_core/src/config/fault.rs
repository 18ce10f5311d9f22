//! Errors in a configuration document: path, problem and likely correction.

use std::fmt;

use snafu::Snafu;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path of the value, such as `routes[2].pool`.
    pub path: String,
    /// What is wrong, with the value where it helps.
    pub message: String,
    /// The likely correction.
    pub fix: String,
}

/// All errors found in a document; displayed one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Snafu)]
#[snafu(display("{}", render(faults)))]
pub struct ConfigFaults {
    /// The errors, in the order of the checks.
    pub faults: Vec<ConfigFault>,
}

impl ConfigFaults {
    /// Adds an error.
    pub fn push(
        &mut self,
        path: impl Into<String>,
        message: impl Into<String>,
        fix: impl Into<String>,
    ) {
        self.faults.push(ConfigFault {
            path: path.into(),
            message: message.into(),
            fix: fix.into(),
        });
    }

    /// Returns `value` if there are no errors.
    ///
    /// # Errors
    ///
    /// Itself, if it contains any error.
    pub fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for ConfigFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.fix)
    }
}

fn render(faults: &[ConfigFault]) -> String {
    let lines: Vec<String> = faults.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
