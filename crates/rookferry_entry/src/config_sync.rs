//! Configuration synchronization: keeps the newest configuration active.
//!
//! In each failure domain two instances watch the platform's configuration object.
//! The others learn of a new version from heartbeats and fetch its body from a
//! peer. During an outage of the platform the last configuration stays active, and
//! newer ones are still fetched from peers. Only higher versions are adopted.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use rand::RngExt;
use rookferry_core::AdoptOutcome;
use rookferry_core::ConfigAdopter;
use rookferry_core::RoutingTable;
use rookferry_core::SiteConfig;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::InstanceId;
use rookferry_wire::ObjectVersion;
use rookferry_wire::PeerRequest;
use rookferry_wire::PeerResponse;
use slog::error;
use slog::info;

use crate::discovery;
use crate::entry::EntryState;
use crate::peers;

/// Number of instances per failure domain that watch the platform.
const WATCHERS_PER_DOMAIN: usize = 2;
/// Longest wait of one watch request.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How often an instance that doesn't watch reads the platform as a fallback.
const IDLE_READ_INTERVAL: Duration = Duration::from_mins(1);
/// Bounds of the pause after a failure, which doubles each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How often the configuration versions of peers are checked.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

struct ActiveConfig {
    adopter: ConfigAdopter,
    body: Arc<str>,
    config: Arc<SiteConfig>,
}

/// The active configuration, with its text to pass on to peers.
pub(crate) struct ConfigStore {
    current: Mutex<ActiveConfig>,
}

impl ConfigStore {
    pub(crate) fn new() -> Self {
        Self {
            current: Mutex::new(ActiveConfig {
                adopter: ConfigAdopter::new(),
                body: Arc::from(""),
                config: Arc::new(SiteConfig::default()),
            }),
        }
    }

    /// Version of the active configuration; 0 if there is none.
    pub(crate) fn version(&self) -> ObjectVersion {
        self.lock().adopter.version()
    }

    /// The highest version seen, active or rejected.
    fn seen(&self) -> ObjectVersion {
        self.lock().adopter.seen()
    }

    /// Version and text of the active configuration.
    pub(crate) fn body(&self) -> (ObjectVersion, Arc<str>) {
        let current = self.lock();
        (current.adopter.version(), current.body.clone())
    }

    /// A routing table of the active configuration.
    pub(crate) fn table(&self) -> RoutingTable {
        let current = self.lock();
        RoutingTable::new(current.adopter.version(), current.config.clone())
    }

    fn offer(&self, version: ObjectVersion, body: &str) -> AdoptOutcome {
        let mut current = self.lock();
        let adopted = current.adopter.offer(version, body);
        if let AdoptOutcome::Activated(config) = &adopted {
            current.body = Arc::from(body);
            current.config = config.clone();
        }
        adopted
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, ActiveConfig> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Adopts a configuration if it is newer and valid; `source` is logged.
pub(crate) fn offer(entry: &Arc<EntryState>, source: &str, version: ObjectVersion, body: &str) {
    match entry.config.offer(version, body) {
        AdoptOutcome::Activated(_) => {
            discovery::rebuild(entry);
            entry.peers.wake.notify_waiters();
            info!(entry.log, "config: version is active"; "part" => "config", "version" => version, "source" => source);
        }
        AdoptOutcome::NotNewer => {}
        AdoptOutcome::Invalid(faults) => {
            error!(entry.log, "config: invalid version rejected; the active one stays";
                "part" => "config", "version" => version, "source" => source, "faults" => %faults);
        }
    }
}

pub(crate) fn start(entry: &Arc<EntryState>) {
    tokio::spawn(follow_platform(entry.clone()));
    tokio::spawn(follow_peers(entry.clone()));
}

async fn follow_platform(entry: Arc<EntryState>) {
    let mut backoff = MIN_BACKOFF;
    loop {
        let has_config = entry.config.version() > 0;
        let wait = if has_config {
            WATCH_WAIT
        } else {
            Duration::ZERO
        };
        let changes = entry
            .platform
            .watch(CONFIG_KIND, entry.config.seen(), wait)
            .await;
        match changes {
            Ok(changes) => {
                backoff = MIN_BACKOFF;
                for object in changes
                    .objects
                    .iter()
                    .filter(|object| object.name == CONFIG_NAME)
                {
                    offer(
                        &entry,
                        "platform",
                        object.version,
                        &object.value.to_string(),
                    );
                }
                if !has_config {
                    tokio::time::sleep(MIN_BACKOFF).await;
                }
                wait_until_watcher(&entry).await;
            }
            Err(error) => {
                info!(entry.log, "config: platform watch failed"; "part" => "config", "error" => %error);
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Waits until this instance should watch the platform, or the fallback read is
/// due. Returns at once if it has no configuration.
async fn wait_until_watcher(entry: &Arc<EntryState>) {
    let idle_until = tokio::time::Instant::now() + jittered(IDLE_READ_INTERVAL);
    while entry.config.version() > 0 && !is_watcher(entry) {
        if tokio::time::Instant::now() >= idle_until {
            return;
        }
        tokio::time::sleep(PEER_CHECK_INTERVAL).await;
    }
}

/// Whether this instance is among the first live ones of its domain, by name. Any
/// order would do, as long as all instances agree on it and the next one takes
/// over when one fails.
fn is_watcher(entry: &EntryState) -> bool {
    let local: Vec<InstanceId> = entry.peers.lock().live_local();
    let position = local.iter().position(|name| *name == entry.instance);
    position.is_some_and(|position| position < WATCHERS_PER_DOMAIN)
}

async fn follow_peers(entry: Arc<EntryState>) {
    loop {
        let changed = entry.peers.changed.notified();
        let newest = {
            let members = entry.peers.lock();
            members
                .newest_config()
                .map(|(version, member)| (version, member.heartbeat.peer_addr))
        };
        let seen = entry.config.seen();
        if let Some((version, addr)) = newest
            && version > seen
        {
            let request = PeerRequest::Config { above: seen };
            if let Ok(PeerResponse::Config { version, body }) =
                peers::send_request(&entry, addr, &request).await
            {
                offer(&entry, "peer", version, &body);
            }
        }
        let _ = tokio::time::timeout(PEER_CHECK_INTERVAL, changed).await;
    }
}

/// A random duration between half of `time` and `time`, so that instances don't
/// all act at the same moment after an outage.
pub(crate) fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.0))
}
