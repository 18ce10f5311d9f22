//! Errors in a configuration document: path, problem and likely correction.

use std::fmt;

use snafu::Snafu;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigError {
    /// Path of the value, such as `routes[2].pool`.
    pub path: String,
    /// What is wrong, with the value where it helps.
    pub message: String,
    /// The likely correction.
    pub fix: String,
}

/// All errors found in a document; displayed one per line.
#[derive(Clone, Debug, Default, PartialEq, Eq, Snafu)]
#[snafu(display("{}", render(errors)))]
pub struct ConfigErrors {
    /// The errors, in the order of the checks.
    pub errors: Vec<ConfigError>,
}

impl ConfigErrors {
    /// Adds an error.
    pub fn push(
        &mut self,
        path: impl Into<String>,
        message: impl Into<String>,
        fix: impl Into<String>,
    ) {
        self.errors.push(ConfigError {
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
        if self.errors.is_empty() {
            return Ok(value);
        }
        Err(self)
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.message, self.fix)
    }
}

fn render(errors: &[ConfigError]) -> String {
    let lines: Vec<String> = errors.iter().map(ToString::to_string).collect();
    lines.join("\n")
}
