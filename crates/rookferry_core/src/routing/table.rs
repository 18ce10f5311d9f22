//! Lookups in the active configuration: the client account of a bearer key, the route of
//! a request and whether a backend server is leaving.

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

/// A route that was evaluated for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvaluatedRoute {
    /// Name of the route.
    pub route: String,
    /// Text of its selector.
    pub selector: String,
    /// Whether it matched.
    pub matched: bool,
}

/// The route of a request, with all routes evaluated for it.
#[derive(Clone, Debug)]
pub struct RouteChoice<'a> {
    /// The first matching route; `None` if none matches.
    pub route: Option<&'a RouteConfig>,
    /// Evaluated routes, in order of the configuration.
    pub evaluated: Vec<EvaluatedRoute>,
}

/// The active configuration, prepared for lookups on the request path.
#[derive(Clone, Debug)]
pub struct RoutingTable {
    version: ObjectVersion,
    config: Arc<SiteConfig>,
    keys: Vec<(Vec<u8>, Arc<str>)>,
}

impl RoutingTable {
    /// Prepares a validated configuration; an account whose key digest isn't hexadecimal
    /// gets no key.
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

    /// Version of the configuration object on the platform.
    #[must_use]
    pub const fn version(&self) -> ObjectVersion {
        self.version
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> &SiteConfig {
        &self.config
    }

    /// The client account that a bearer key belongs to, if any.
    ///
    /// Compares the digests of all accounts in constant time, so that the duration
    /// reveals nothing about the keys.
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

    /// Finds the first route whose selector matches.
    #[must_use]
    pub fn route(&self, labels: &Labels) -> RouteChoice<'_> {
        let mut evaluated = Vec::new();
        for route in &self.config.routes {
            let matched = route.selector.matches(labels);
            evaluated.push(EvaluatedRoute {
                route: route.name.clone(),
                selector: route.selector.text().to_owned(),
                matched,
            });
            if matched {
                return RouteChoice {
                    route: Some(route),
                    evaluated,
                };
            }
        }
        RouteChoice {
            route: None,
            evaluated,
        }
    }

    /// Text of the `leaving` selector that matches a backend server with these labels;
    /// `None` if it isn't leaving.
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
