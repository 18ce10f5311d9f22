//! Writes a configuration to the platform by a conditional update.
//!
//! If the response to the write is lost, the configuration is read back to determine
//! whether the write took effect.

use rookferry_core::SiteConfig;
use rookferry_core::changed_paths;
use rookferry_net::Platform;
use rookferry_net::PlatformError;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::Object;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use serde_json::Value;

use crate::error::CtlError;

/// Validates the configuration `text` and writes it if the platform still has version
/// `expected` (by default the current one, 0 if there is none). Returns a message with
/// the new version.
pub(crate) async fn apply(
    platform: &dyn Platform,
    text: &str,
    expected: Option<u64>,
) -> Result<String, CtlError> {
    SiteConfig::from_json(text).map_err(|errors| CtlError::InvalidConfig { errors })?;
    let value: Value = serde_json::from_str(text).unwrap_or_default();
    let base = read_config(platform).await?;
    let base_version = base.as_ref().map_or(0, |object| object.version);
    let expected = expected.unwrap_or(base_version);
    let request = PutRequest {
        expected,
        value: value.clone(),
    };
    match platform.put(CONFIG_KIND, CONFIG_NAME, request).await {
        Ok(PutResponse::Written { version }) => Ok(format!("accepted as version {version}")),
        Ok(PutResponse::Conflict { current }) => {
            // Compares with the expected version if it was the current one when the
            // command started, else with the file.
            let before = base.filter(|object| object.version == expected);
            let before = before.map_or_else(|| value.clone(), |object| object.value);
            Err(conflict(expected, &before, current))
        }
        Err(PlatformError::Lost { .. }) => resolve_lost_response(platform, expected, &value).await,
        Err(source) => Err(CtlError::Platform { source }),
    }
}

/// Reads the configuration back after a lost response: the write took effect if the
/// platform has `value` under a version above `expected`.
async fn resolve_lost_response(
    platform: &dyn Platform,
    expected: u64,
    value: &Value,
) -> Result<String, CtlError> {
    let current = platform.get(CONFIG_KIND, CONFIG_NAME).await;
    let current = current.map_err(|source| CtlError::Unknown { source })?;
    match current {
        Some(object) if object.value == *value && object.version > expected => Ok(format!(
            "accepted as version {} (the response was lost; the version was read back)",
            object.version
        )),
        Some(object) if object.version > expected => Err(conflict(expected, value, Some(object))),
        _ => Err(CtlError::Platform {
            source: PlatformError::Lost {
                message: "read back: the write did not take effect; apply again".to_owned(),
            },
        }),
    }
}

async fn read_config(platform: &dyn Platform) -> Result<Option<Object>, CtlError> {
    let object = platform.get(CONFIG_KIND, CONFIG_NAME).await;
    object.map_err(|source| CtlError::Platform { source })
}

fn conflict(expected: u64, before: &Value, current: Option<Object>) -> CtlError {
    let version = current.as_ref().map_or(0, |object| object.version);
    let after = current.map(|object| object.value).unwrap_or_default();
    CtlError::Conflict {
        expected,
        version,
        changed: changed_paths(before, &after),
    }
}
