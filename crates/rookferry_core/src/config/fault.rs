//! What is wrong in a document, where, and the likely fix.

use std::fmt;

use snafu::Snafu;

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfigFault {
    /// Path of the fault, such as `routes[2].pool`.
    pub path: String,
    /// What is wrong, with the value.
    pub message: String,
    /// What would likely mend it.
    pub fix: String,
}

/// All faults of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Snafu)]
#[snafu(display("{}", render(faults)))]
pub struct ConfigFaults {
    /// The faults, in the document's order where known.
    pub faults: Vec<ConfigFault>,
}

impl ConfigFaults {
    /// Adds a fault.
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

    /// Passes `value` on if nothing is wrong.
    ///
    /// # Errors
    ///
    /// Itself, if it holds any fault.
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
