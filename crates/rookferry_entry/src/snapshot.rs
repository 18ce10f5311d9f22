//! The immutable snapshot of configuration and fleet that the request path reads.
//!
//! It is replaced as a whole when either changes, so that readers need no lock.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use rookferry_core::ChainChooser;
use rookferry_core::Engine;
use rookferry_core::EngineState;
use rookferry_core::Fleet;
use rookferry_core::RoutingTable;
use rookferry_core::ServiceInstance;
use rookferry_core::SiteConfig;
use rookferry_core::chooser_for;
use rookferry_core::is_draining;
use rookferry_wire::AccountId;

/// Number of active requests of an account on this instance.
#[derive(Debug, Default)]
pub(crate) struct AccountGauge {
    in_flight: AtomicU32,
}

/// Counts one request of an account until it is dropped.
#[derive(Debug)]
pub(crate) struct AccountPermit {
    gauge: Arc<AccountGauge>,
}

impl AccountGauge {
    /// Counts a request; `None` if the account is at its limit.
    pub(crate) fn enter(self: &Arc<Self>, limit: u32) -> Option<AccountPermit> {
        let counted = self
            .in_flight
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |count| {
                (count < limit).then_some(count + 1)
            });
        counted.ok().map(|_| AccountPermit {
            gauge: self.clone(),
        })
    }
}

impl Drop for AccountPermit {
    fn drop(&mut self) {
        self.gauge.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Configuration and fleet at one time.
pub(crate) struct Snapshot {
    /// Routes and accounts of the active configuration.
    pub(crate) table: RoutingTable,
    /// The engines.
    pub(crate) fleet: Fleet,
    /// Servers of plain services, by pool.
    pub(crate) services: BTreeMap<String, Vec<ServiceInstance>>,
    /// The active policy's chooser of chains.
    pub(crate) chooser: Arc<dyn ChainChooser>,
    accounts: BTreeMap<AccountId, Arc<AccountGauge>>,
}

impl Snapshot {
    /// The initial snapshot, with version 0 and no servers.
    pub(crate) fn empty() -> Self {
        let config = Arc::new(SiteConfig::default());
        Self {
            chooser: Arc::from(chooser_for(config.policy.chooser)),
            table: RoutingTable::new(0, config),
            fleet: Fleet::default(),
            services: BTreeMap::new(),
            accounts: BTreeMap::new(),
        }
    }

    /// The snapshot that follows `former`. Account gauges are carried over, and so
    /// is the chooser unless its kind has changed.
    pub(crate) fn next(
        former: &Self,
        table: RoutingTable,
        mut engines: Vec<Engine>,
        mut services: Vec<ServiceInstance>,
    ) -> Self {
        for engine in &mut engines {
            let is_out = is_draining(engine) || table.leaving_selector(&engine.labels()).is_some();
            if engine.state == EngineState::Live && is_out {
                engine.state = EngineState::Leaving;
            }
        }
        for service in &mut services {
            if service.state == EngineState::Live
                && table.leaving_selector(&service.selector_labels()).is_some()
            {
                service.state = EngineState::Leaving;
            }
        }
        let is_same_policy = table.config().policy.chooser == former.table.config().policy.chooser;
        let chooser = if is_same_policy {
            former.chooser.clone()
        } else {
            Arc::from(chooser_for(table.config().policy.chooser))
        };
        let accounts = table.config().accounts.keys().map(|name| {
            let name: AccountId = name.as_str().into();
            let gauge = former.accounts.get(&name).cloned().unwrap_or_default();
            (name, gauge)
        });
        Self {
            accounts: accounts.collect(),
            fleet: Fleet::new(table.config(), engines),
            services: by_pool(table.config(), &services),
            chooser,
            table,
        }
    }

    /// The gauge of an account; `None` if it isn't configured.
    pub(crate) fn gauge(&self, account: &str) -> Option<&Arc<AccountGauge>> {
        self.accounts.get(account)
    }
}

fn by_pool(
    config: &SiteConfig,
    services: &[ServiceInstance],
) -> BTreeMap<String, Vec<ServiceInstance>> {
    let pools = config.pools.iter().map(|(pool, pool_config)| {
        let members = services
            .iter()
            .filter(|service| pool_config.selector.matches(&service.selector_labels()));
        (pool.clone(), members.cloned().collect())
    });
    pools.collect()
}
