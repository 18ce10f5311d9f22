//! Limits of a listener on its connections.

use std::time::Duration;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionLimits {
    /// Maximum number of open connections.
    pub max_connections: usize,
    /// Maximum time between the first byte of a request head and its end.
    pub head_timeout: Duration,
    /// Maximum time between a connection becoming idle and the first byte of its next
    /// request head.
    pub idle_timeout: Duration,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Maximum size of the unfinished request heads of all connections, in bytes.
    pub max_unfinished_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            max_connections: 4_096,
            head_timeout: Duration::from_secs(20),
            idle_timeout: Duration::from_secs(20),
            max_head_bytes: 64 * 1024,
            max_unfinished_bytes: 32 * 1024 * 1024,
        }
    }
}
