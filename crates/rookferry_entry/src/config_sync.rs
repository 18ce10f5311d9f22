//! Keeps the newest configuration in force.
//!
//! Two instances of each failure domain hold the platform's watch; the others
//! hear of a new version by heartbeat and get its body from a peer. When the
//! platform is out, the last configuration stays, and one that a peer has is
//! taken from it. Only a higher version is ever adopted.

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

/// Instances of a failure domain that hold the watch.
const WATCHERS_PER_DOMAIN: usize = 2;
/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);
/// How often an instance that doesn't watch reads the platform all the same.
const IDLE_READ: Duration = Duration::from_mins(1);
/// Pauses after failures, doubled each time.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(5);
/// How often peers' versions are compared.
const PEER_CHECK: Duration = Duration::from_millis(500);

struct Current {
    adopter: ConfigAdopter,
    body: Arc<str>,
    config: Arc<SiteConfig>,
}

/// The configuration in force with its text, for peers.
pub(crate) struct ConfigStore {
    current: Mutex<Current>,
}

impl ConfigStore {
    pub(crate) fn new() -> Self {
        Self {
            current: Mutex::new(Current {
                adopter: ConfigAdopter::new(),
                body: Arc::from(""),
                config: Arc::new(SiteConfig::default()),
            }),
        }
    }

    /// The version in force.
    pub(crate) fn version(&self) -> ObjectVersion {
        self.lock().adopter.version()
    }

    /// The highest version seen, in force or refused.
    fn seen(&self) -> ObjectVersion {
        self.lock().adopter.seen()
    }

    /// Version and text in force.
    pub(crate) fn body(&self) -> (ObjectVersion, Arc<str>) {
        let current = self.lock();
        (current.adopter.version(), current.body.clone())
    }

    /// A routing table of what is in force.
    pub(crate) fn table(&self) -> RoutingTable {
        let current = self.lock();
        RoutingTable::new(current.adopter.version(), current.config.clone())
    }

    fn offer(&self, version: ObjectVersion, body: &str) -> AdoptOutcome {
        let mut current = self.lock();
        let adopted = current.adopter.offer(version, body);
        if let AdoptOutcome::InForce(config) = &adopted {
            current.body = Arc::from(body);
            current.config = config.clone();
        }
        adopted
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Current> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes a configuration from wherever it came.
pub(crate) fn offer(entry: &Arc<EntryState>, source: &str, version: ObjectVersion, body: &str) {
    match entry.config.offer(version, body) {
        AdoptOutcome::InForce(_) => {
            discovery::rebuild(entry);
            entry.peers.wake.notify_waiters();
            info!(entry.log, "config: in force"; "part" => "config", "version" => version, "source" => source);
        }
        AdoptOutcome::NotNewer => {}
        AdoptOutcome::Invalid(faults) => {
            error!(entry.log, "config: refused, the one in force stays";
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
                info!(entry.log, "config: platform not reached"; "part" => "config", "error" => %error);
                tokio::time::sleep(jittered(backoff)).await;
                backoff = (backoff * 2).min(MAX_BACKOFF);
            }
        }
    }
}

/// Returns at once on an instance that is to watch, or has no configuration.
async fn wait_until_watcher(entry: &Arc<EntryState>) {
    let idle_until = tokio::time::Instant::now() + jittered(IDLE_READ);
    while entry.config.version() > 0 && !is_watcher(entry) {
        if tokio::time::Instant::now() >= idle_until {
            return;
        }
        tokio::time::sleep(PEER_CHECK).await;
    }
}

/// The first instances of the domain, by name, watch: which ones doesn't
/// matter, as long as all agree and another follows when one goes.
fn is_watcher(entry: &EntryState) -> bool {
    let near: Vec<InstanceId> = entry.peers.lock().live_local();
    let position = near.iter().position(|name| *name == entry.instance);
    position.is_some_and(|position| position < WATCHERS_PER_DOMAIN)
}

async fn follow_peers(entry: Arc<EntryState>) {
    loop {
        let news = entry.peers.news.notified();
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
                peers::ask(&entry, addr, &request).await
            {
                offer(&entry, "peer", version, &body);
            }
        }
        let _ = tokio::time::timeout(PEER_CHECK, news).await;
    }
}

/// Between a half and the whole of a time, so that instances don't act at
/// once after an outage.
pub(crate) fn jittered(time: Duration) -> Duration {
    time.mul_f64(rand::rng().random_range(0.5..1.0))
}
