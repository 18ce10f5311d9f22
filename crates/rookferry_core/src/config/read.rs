//! Parses JSON documents and reports errors with their paths.

use serde::de::DeserializeOwned;

use super::ConfigErrors;

/// Parses a document; each unknown key is an error.
///
/// # Errors
///
/// All unknown keys and trailing text; if a value has the wrong type or the JSON is
/// malformed, the first such place and the unknown keys before it.
pub fn read_json<T: DeserializeOwned>(text: &str) -> Result<T, ConfigErrors> {
    let mut errors = ConfigErrors::default();
    let mut track = serde_path_to_error::Track::new();
    let mut json = serde_json::Deserializer::from_str(text);
    let tracked = serde_path_to_error::Deserializer::new(&mut json, &mut track);
    let parsed = serde_ignored::deserialize(tracked, |path| {
        errors.push(
            path.to_string(),
            "unknown key",
            "remove it, or check its spelling against docs/OPERATIONS.md",
        );
    });
    let value = match parsed {
        Ok(value) => value,
        Err(error) => {
            errors.push(
                track.path().to_string(),
                error.to_string(),
                "use a value of the type given in docs/OPERATIONS.md",
            );
            return Err(errors);
        }
    };
    if let Err(error) = json.end() {
        errors.push(".", error.to_string(), "remove the text after the document");
    }
    errors.into_result(value)
}
