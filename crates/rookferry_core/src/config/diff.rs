//! Differences between two JSON documents.

use serde_json::Value;

/// Paths at which two documents differ, such as `routes[2].pool`.
///
/// Object keys are compared in sorted order, a missing key as `null`. Arrays of
/// different lengths yield only the path of the array.
#[must_use]
pub fn changed_paths(before: &Value, after: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    compare("", before, after, &mut paths);
    paths
}

fn compare(path: &str, before: &Value, after: &Value, paths: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(left), Value::Object(right)) => {
            let mut keys: Vec<&String> = left.keys().chain(right.keys()).collect();
            keys.sort();
            keys.dedup();
            for key in keys {
                let inner = if path.is_empty() {
                    key.clone()
                } else {
                    format!("{path}.{key}")
                };
                let absent = Value::Null;
                compare(
                    &inner,
                    left.get(key).unwrap_or(&absent),
                    right.get(key).unwrap_or(&absent),
                    paths,
                );
            }
        }
        (Value::Array(left), Value::Array(right)) if left.len() == right.len() => {
            for (index, (one, other)) in left.iter().zip(right).enumerate() {
                compare(&format!("{path}[{index}]"), one, other, paths);
            }
        }
        _ if before == after => {}
        _ => paths.push(path.to_owned()),
    }
}
