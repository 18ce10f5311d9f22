//! Reads JSON documents with the path of each fault.

use serde::de::DeserializeOwned;

use super::ConfigFaults;

/// Reads a document; unknown keys are faults, each with its path.
///
/// # Errors
///
/// All unknown keys, or the first place where a value doesn't fit.
pub fn read_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigFaults> {
    let mut faults = ConfigFaults::default();
    let mut track = serde_path_to_error::Track::new();
    let mut json = serde_json::Deserializer::from_str(text);
    let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let parsed = serde_ignored::deserialize(tracked, |path| {
        faults.push(
            path.to_string(),
            "unknown key",
            "remove it, or check its spelling against docs/OPERATIONS.md",
        );
    });
    let value = match parsed {
        Ok(value) => value,
        Err(error) => {
            faults.push(
                track.path().to_string(),
                error.to_string(),
                "give a value of the type that docs/OPERATIONS.md names",
            );
            return Err(faults);
        }
    };
    if let Err(error) = json.end() {
        faults.push(".", error.to_string(), "remove what follows the document");
    }
    faults.into_result(value)
}
