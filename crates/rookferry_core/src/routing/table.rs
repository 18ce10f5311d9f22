//! From a request's labels to a route.

use std::sync::Arc;

use rookferry_wire::Labels;
use rookferry_wire::ObjectVersion;
use serde::Deserialize;
use serde::Serialize;
use sha2::Digest;
use sha2::Sha256;
use subtle::ConstantTimeEq;

use crate::AccountConfig;
use crate::RouteConfig;
use crate::SiteConfig;

/// A route that was tried.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteTrial {
    /// The route.
    pub route: String,
    /// Its selector.
    pub selector: String,
    /// Whether it matched.
    pub matched: bool,
}

/// The route of a request and those tried before it.
#[derive(Clone, Debug)]
pub struct RouteChoice<'a> {
    /// The route, if any matched.
    pub route: Option<&'a RouteConfig>,
    /// What was tried, in order.
    pub trials: Vec<RouteTrial>,
}

/// The configuration in force, prepared for the path of requests.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: ObjectVersion,
    config: Arc<SiteConfig>,
    keys: Vec<(Vec<u8>, Arc<str>)>,
}

impl RoutingTable {
    /// Prepares a checked configuration.
    #[must_use]
    pub fn new(version: ObjectVersion, config: Arc<SiteConfig>) -> Self {
        let accounts = config.accounts.iter();
        let keys = accounts
            .filter_map(|(name, account)| {
                Some((
                    hex::decode(&account.key_sha256).ok()?,
                    Arc::from(name.as_str()),
                ))
            })
            .collect();
        Self {
            version,
            config,
            keys,
        }
    }

    /// Its version on the platform.
    #[must_use]
    pub const fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// The account that a bearer key belongs to.
    ///
    /// Every account is compared in constant time, so that the time taken
    /// tells nothing about the keys.
    #[must_use]
    pub fn account(&self, bearer: &str) -> Option<(Arc<str>, &AccountConfig)> {
        let digest = Sha256::digest(bearer.as_bytes());
        let mut found = None;
        for (key, name) in &self.keys {
            if bool::from(key.as_slice().ct_eq(digest.as_slice())) {
                found = Some(name);
            }
        }
        let name = found?;
        Some((name.clone(), self.config.accounts.get(&**name)?))
    }

    /// The first route whose selector matches.
    #[must_use]
    pub fn route(&self, labels: &Labels) -> RouteChoice<'_> {
        let mut trials = Vec::new();
        for route in &self.config.routes {
            let matched = route.selector.matches(labels);
            trials.push(RouteTrial {
                route: route.name.clone(),
                selector: route.selector.text().to_owned(),
                matched,
            });
            if matched {
                return RouteChoice {
                    route: Some(route),
                    trials,
                };
            }
        }
        RouteChoice {
            route: None,
            trials,
        }
    }

    /// The selector that says that a backend server with these labels leaves.
    #[must_use]
    pub fn leaving_selector(&self, labels: &Labels) -> Option<&str> {
        let found = self
            .config
            .leaving
            .iter()
            .find(|selector| selector.matches(labels));
        found.map(crate::Selector::text)
    }
}
