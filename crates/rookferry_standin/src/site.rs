//! Starts a platform, model engines and application engines in one process, and
//! registers the engines with the platform.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use rookferry_net::HttpClient;
use rookferry_wire::InstanceEntry;
use rookferry_wire::InstanceKind;
use rookferry_wire::InstanceState;
use rookferry_wire::Labels;
use serde::Deserialize;
use serde::Serialize;

use crate::AppConfig;
use crate::AppServer;
use crate::EngineConfig;
use crate::EngineServer;
use crate::PlatformConfig;
use crate::PlatformServer;

const REGISTER_TIMEOUT: Duration = Duration::from_secs(2);

/// The stand-ins to start.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct SiteSpec {
    /// Platform to start, if any.
    pub platform: Option<PlatformConfig>,
    /// Running platform to register with, if none is started here.
    pub platform_addr: Option<SocketAddr>,
    /// Model engines.
    pub engines: Vec<EngineConfig>,
    /// Application engines.
    pub apps: Vec<AppConfig>,
}

/// Bound addresses.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SiteAddrs {
    /// Platform, started here or elsewhere.
    pub platform: Option<SocketAddr>,
    /// Model engines by name.
    pub engines: BTreeMap<String, SocketAddr>,
    /// Application engines by name.
    pub apps: BTreeMap<String, SocketAddr>,
}

/// Running stand-ins.
#[derive(Debug)]
pub struct Site {
    /// Bound addresses.
    pub addrs: SiteAddrs,
}

impl Site {
    /// Starts the stand-ins and registers the engines with the platform, if there is one.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound or the platform doesn't accept a registration.
    pub async fn start(spec: SiteSpec) -> io::Result<Self> {
        let mut addrs = SiteAddrs {
            platform: spec.platform_addr,
            ..SiteAddrs::default()
        };
        if let Some(config) = spec.platform {
            addrs.platform = Some(PlatformServer::start(config).await?.addr);
        }
        let client = HttpClient::new();
        for config in spec.engines {
            let domain = config.failure_domain.clone();
            let labels = config.labels.clone();
            let server = EngineServer::start(config).await?;
            let entry = instance_entry(
                &server.engine,
                InstanceKind::ModelEngine,
                server.addr,
                &domain,
                labels,
            );
            register(&client, addrs.platform, &entry).await?;
            addrs.engines.insert(server.engine.to_string(), server.addr);
        }
        for config in spec.apps {
            let domain = config.failure_domain.clone();
            let labels = config.labels.clone();
            let server = AppServer::start(config).await?;
            let entry = instance_entry(
                &server.instance,
                InstanceKind::AppEngine,
                server.addr,
                &domain,
                labels,
            );
            register(&client, addrs.platform, &entry).await?;
            addrs.apps.insert(server.instance.to_string(), server.addr);
        }
        Ok(Self { addrs })
    }
}

fn instance_entry(
    name: &str,
    kind: InstanceKind,
    addr: SocketAddr,
    domain: &str,
    labels: Labels,
) -> InstanceEntry {
    InstanceEntry {
        name: name.into(),
        kind,
        addr,
        failure_domain: domain.into(),
        labels,
        state: InstanceState::Live,
    }
}

async fn register(
    client: &HttpClient,
    platform: Option<SocketAddr>,
    entry: &InstanceEntry,
) -> io::Result<()> {
    let Some(addr) = platform else {
        return Ok(());
    };
    let path = format!("/admin/instances/{}", entry.name);
    let registered: Result<(), _> = client
        .call(Method::PUT, addr, &path, Some(entry), REGISTER_TIMEOUT)
        .await;
    registered.map_err(io::Error::other)
}
