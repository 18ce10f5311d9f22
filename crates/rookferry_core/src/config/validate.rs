//! Checks that concern more than one value of the configuration.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::ConfigFaults;
use super::read_json;
use super::site::ObjectiveKind;
use super::site::SiteConfig;

/// Hex digits of a SHA-256 digest.
const DIGEST_HEX_DIGITS: usize = 64;
/// The highest priority that engines honour.
const MAX_PRIORITY: u8 = 9;
/// The largest value that the platform holds, in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

impl SiteConfig {
    /// Reads and checks a configuration.
    ///
    /// ```
    /// use rookferry_core::SiteConfig;
    ///
    /// let faults = SiteConfig::from_json(r#"{"routes": [{"name": "all", "pool": "main"}]}"#);
    /// assert!(faults.unwrap_err().to_string().starts_with("routes[0].pool"));
    /// ```
    ///
    /// # Errors
    ///
    /// Every fault found, each with its path and the likely fix.
    pub fn from_json(text: &str) -> Result<Self, ConfigFaults> {
        if text.len() > MAX_OBJECT_BYTES {
            let mut faults = ConfigFaults::default();
            faults.push(
                ".",
                format!(
                    "{} bytes are more than the platform's {MAX_OBJECT_BYTES}",
                    text.len()
                ),
                "share labels and selectors between rules to make it shorter",
            );
            return Err(faults);
        }
        let config: Self = read_json(text)?;
        let mut faults = ConfigFaults::default();
        config.check(&mut faults);
        faults.into_result(config)
    }

    fn check(&self, faults: &mut ConfigFaults) {
        self.check_models(faults);
        self.check_accounts(faults);
        self.check_routes(faults);
        self.check_services(faults);
        self.check_placement(faults);
        self.check_objectives(faults);
        self.check_policy(faults);
    }

    fn check_models(&self, faults: &mut ConfigFaults) {
        for (name, model) in &self.models {
            if model.layers == 0 {
                faults.push(
                    format!("models.{name}.layers"),
                    "0 layers",
                    "give the model's number of layers",
                );
            }
        }
    }

    fn check_accounts(&self, faults: &mut ConfigFaults) {
        let mut owners: BTreeMap<String, &String> = BTreeMap::new();
        for (name, account) in &self.accounts {
            let path = format!("accounts.{name}");
            let digest = &account.key_sha256;
            let is_digest =
                digest.len() == DIGEST_HEX_DIGITS && digest.chars().all(|c| c.is_ascii_hexdigit());
            if !is_digest {
                faults.push(
                    format!("{path}.key_sha256"),
                    format!(
                        "{} characters that are no SHA-256 digest in hex",
                        digest.len()
                    ),
                    "use the output of `rookferryctl digest`",
                );
            }
            if let Some(other) = owners.insert(digest.to_ascii_lowercase(), name) {
                faults.push(
                    format!("{path}.key_sha256"),
                    format!("the same key as account {other}"),
                    "give each account a key of its own",
                );
            }
            if !(account.weight.is_finite() && account.weight > 0.0) {
                faults.push(
                    format!("{path}.weight"),
                    format!("weight {} is not above 0", account.weight),
                    "use 1 for an ordinary account",
                );
            }
            if account.max_concurrent == 0 {
                faults.push(
                    format!("{path}.max_concurrent"),
                    "0 admits nothing",
                    "remove the account to shut it out",
                );
            }
        }
    }

    fn check_routes(&self, faults: &mut ConfigFaults) {
        let mut names = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_pool(&format!("{path}.pool"), &route.pool, faults);
            if !names.insert(&route.name) {
                faults.push(
                    format!("{path}.name"),
                    format!("{:?} is taken by an earlier route", route.name),
                    "give each route its own name",
                );
            }
            if route.priority > MAX_PRIORITY {
                faults.push(
                    format!("{path}.priority"),
                    format!("{} is above {MAX_PRIORITY}", route.priority),
                    "use 0 to 9, higher first",
                );
            }
            if route.deadline_ms == 0 {
                faults.push(
                    format!("{path}.deadline_ms"),
                    "0 refuses everything",
                    "leave it out for 30000",
                );
            }
        }
    }

    fn check_services(&self, faults: &mut ConfigFaults) {
        for (name, service) in &self.services {
            self.check_pool(&format!("services.{name}.pool"), &service.pool, faults);
        }
    }

    fn check_placement(&self, faults: &mut ConfigFaults) {
        for (index, rule) in self.placement.iter().enumerate() {
            let path = format!("placement[{index}]");
            let Some(model) = self.models.get(&rule.model) else {
                faults.push(
                    format!("{path}.model"),
                    format!("no model {:?}", rule.model),
                    "add it under models",
                );
                continue;
            };
            if rule.layers.is_empty() || rule.layers.end > model.layers {
                faults.push(
                    format!("{path}.layers"),
                    format!(
                        "{}..{} is no range within {} layers",
                        rule.layers.start, rule.layers.end, model.layers
                    ),
                    "start must be below end, and end at most the model's layers",
                );
            }
        }
    }

    fn check_objectives(&self, faults: &mut ConfigFaults) {
        for (index, objective) in self.objectives.iter().enumerate() {
            let path = format!("objectives[{index}]");
            if !(objective.target > 0.0 && objective.target < 1.0) {
                faults.push(
                    format!("{path}.target"),
                    format!(
                        "{} leaves no error budget between 0 and 1",
                        objective.target
                    ),
                    "use a share such as 0.95",
                );
            }
            if objective.kind != ObjectiveKind::Availability && objective.limit_ms == 0 {
                faults.push(
                    format!("{path}.limit_ms"),
                    "a time objective without a limit",
                    "give the limit in ms",
                );
            }
            if let Some(route) = &objective.route
                && !self.routes.iter().any(|known| known.name == *route)
            {
                faults.push(
                    format!("{path}.route"),
                    format!("no route {route:?}"),
                    "name a route of this document",
                );
            }
            if let Some(account) = &objective.account
                && !self.accounts.contains_key(account)
            {
                faults.push(
                    format!("{path}.account"),
                    format!("no account {account:?}"),
                    "add it under accounts",
                );
            }
        }
    }

    fn check_policy(&self, faults: &mut ConfigFaults) {
        let policy = &self.policy;
        let shares = [
            ("overcommit", policy.overcommit, 0.1, 16.0),
            ("retry_share", policy.retry_share, 0.0, 1.0),
            (
                "step_timeout_factor",
                policy.step_timeout_factor,
                1.0,
                1_000.0,
            ),
            ("affinity_bound", policy.affinity_bound, 0.0, 10.0),
        ];
        for (name, value, least, most) in shares {
            if !(least..=most).contains(&value) {
                faults.push(
                    format!("policy.{name}"),
                    format!("{value} is outside {least} to {most}"),
                    "leave it out for the default",
                );
            }
        }
        if policy.queue_limit == 0 {
            faults.push(
                "policy.queue_limit",
                "0 lets nothing wait",
                "leave it out for 512",
            );
        }
    }

    fn check_pool(&self, path: &str, pool: &str, faults: &mut ConfigFaults) {
        if self.pools.contains_key(pool) {
            return;
        }
        let known: Vec<&str> = self.pools.keys().map(String::as_str).collect();
        faults.push(
            path,
            format!("no pool {pool:?}"),
            format!("add it under pools, or use one of [{}]", known.join(", ")),
        );
    }
}
