//! Reads the instances' objective counters and appends them to the file of samples.

use std::fs::OpenOptions;
use std::io::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use rookferry_core::ObjectiveSample;
use rookferry_net::HttpClient;

use crate::history::InstanceSample;

/// Timeout of a call to an instance.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Samples all `entries` once per round. Instances that can't be read are reported on
/// standard error; a failed write to the file is returned as an error.
pub(crate) async fn run(
    entries: &[SocketAddr],
    file: &Path,
    times: u64,
    every: Duration,
) -> Result<(), String> {
    let client = HttpClient::new();
    for round in 0..times {
        if round > 0 {
            tokio::time::sleep(every).await;
        }
        for entry in entries {
            match client
                .get::<Vec<ObjectiveSample>>(*entry, "/v1/objectives", CALL_TIMEOUT)
                .await
            {
                Ok(objectives) => append(file, *entry, objectives)?,
                // The other instances are sampled all the same; the report states how
                // many instances it covers.
                Err(error) => eprintln!("rookferry-burn: instance not sampled: {error}"),
            }
        }
    }
    Ok(())
}

fn append(file: &Path, entry: SocketAddr, objectives: Vec<ObjectiveSample>) -> Result<(), String> {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let sample = InstanceSample {
        at_ms: u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX),
        instance: entry.to_string(),
        objectives,
    };
    let mut line = serde_json::to_string(&sample).map_err(|error| error.to_string())?;
    line.push('\n');
    let mut file = OpenOptions::new()
        .create(true)
        .append(true)
        .open(file)
        .map_err(|error| format!("{}: {error}", file.display()))?;
    file.write_all(line.as_bytes())
        .map_err(|error| error.to_string())
}
