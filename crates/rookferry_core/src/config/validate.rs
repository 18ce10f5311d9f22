//! Validation of the site configuration: limits, and references between its parts.
//!
//! All checks run, so that one pass reports every error.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::ConfigErrors;
use super::read_json;
use super::site::ObjectiveKind;
use super::site::SiteConfig;

/// Hex digits of a SHA-256 digest.
const DIGEST_HEX_DIGITS: usize = 64;
/// The highest priority that engines support.
const MAX_PRIORITY: u8 = 9;
/// The largest value that the platform stores, in bytes.
const MAX_OBJECT_BYTES: usize = 1_000_000;

impl SiteConfig {
    /// Parses and validates a configuration.
    ///
    /// ```
    /// use rookferry_core::SiteConfig;
    ///
    /// let errors = SiteConfig::from_json(r#"{"routes": [{"name": "all", "pool": "main"}]}"#);
    /// assert!(errors.unwrap_err().to_string().starts_with("routes[0].pool"));
    /// ```
    ///
    /// # Errors
    ///
    /// All errors found, each with its path and the likely correction.
    pub fn from_json(text: &str) -> Result<Self, ConfigErrors> {
        if text.len() > MAX_OBJECT_BYTES {
            let mut errors = ConfigErrors::default();
            errors.push(
                ".",
                format!(
                    "{} bytes exceed the platform's limit of {MAX_OBJECT_BYTES} bytes",
                    text.len()
                ),
                "shorten the document, for example by sharing labels and selectors between rules",
            );
            return Err(errors);
        }
        let config: Self = read_json(text)?;
        let mut errors = ConfigErrors::default();
        config.check(&mut errors);
        errors.into_result(config)
    }

    fn check(&self, errors: &mut ConfigErrors) {
        self.check_models(errors);
        self.check_accounts(errors);
        self.check_routes(errors);
        self.check_services(errors);
        self.check_placement(errors);
        self.check_objectives(errors);
        self.check_policy(errors);
    }

    fn check_models(&self, errors: &mut ConfigErrors) {
        for (name, model) in &self.models {
            if model.layers == 0 {
                errors.push(
                    format!("models.{name}.layers"),
                    "a model must have at least 1 layer",
                    "set the model's number of layers",
                );
            }
        }
    }

    fn check_accounts(&self, errors: &mut ConfigErrors) {
        let mut owners: BTreeMap<String, &String> = BTreeMap::new();
        for (name, account) in &self.accounts {
            let path = format!("accounts.{name}");
            let digest = &account.key_sha256;
            let is_digest =
                digest.len() == DIGEST_HEX_DIGITS && digest.chars().all(|c| c.is_ascii_hexdigit());
            if !is_digest {
                errors.push(
                    format!("{path}.key_sha256"),
                    format!(
                        "a value of {} characters is not a SHA-256 digest in hex",
                        digest.len()
                    ),
                    "use the output of `rookferryctl digest`",
                );
            }
            if let Some(other) = owners.insert(digest.to_ascii_lowercase(), name) {
                errors.push(
                    format!("{path}.key_sha256"),
                    format!("this key is already used by account {other}"),
                    "use a different key for each account",
                );
            }
            if !(account.weight.is_finite() && account.weight > 0.0) {
                errors.push(
                    format!("{path}.weight"),
                    format!("weight {} is not greater than 0", account.weight),
                    "use 1 for an ordinary account",
                );
            }
            if account.max_concurrent == 0 {
                errors.push(
                    format!("{path}.max_concurrent"),
                    "a limit of 0 refuses every request",
                    "remove the account to disable it",
                );
            }
        }
    }

    fn check_routes(&self, errors: &mut ConfigErrors) {
        let mut names = BTreeSet::new();
        for (index, route) in self.routes.iter().enumerate() {
            let path = format!("routes[{index}]");
            self.check_pool(&format!("{path}.pool"), &route.pool, errors);
            if !names.insert(&route.name) {
                errors.push(
                    format!("{path}.name"),
                    format!("{:?} is already used by an earlier route", route.name),
                    "use a unique name for each route",
                );
            }
            if route.priority > MAX_PRIORITY {
                errors.push(
                    format!("{path}.priority"),
                    format!("priority {} is greater than {MAX_PRIORITY}", route.priority),
                    "use 0 to 9; higher values are served first",
                );
            }
            if route.deadline_ms == 0 {
                errors.push(
                    format!("{path}.deadline_ms"),
                    "a deadline of 0 refuses every request",
                    "omit it for the default of 30000",
                );
            }
        }
    }

    fn check_services(&self, errors: &mut ConfigErrors) {
        for (name, service) in &self.services {
            self.check_pool(&format!("services.{name}.pool"), &service.pool, errors);
        }
    }

    fn check_placement(&self, errors: &mut ConfigErrors) {
        for (index, rule) in self.placement.iter().enumerate() {
            let path = format!("placement[{index}]");
            let Some(model) = self.models.get(&rule.model) else {
                errors.push(
                    format!("{path}.model"),
                    format!("unknown model {:?}", rule.model),
                    "add it under models",
                );
                continue;
            };
            if rule.layers.is_empty() || rule.layers.end > model.layers {
                errors.push(
                    format!("{path}.layers"),
                    format!(
                        "{}..{} is not a valid range within {} layers",
                        rule.layers.start, rule.layers.end, model.layers
                    ),
                    "use a start below the end, and an end of at most the model's number of layers",
                );
            }
        }
    }

    fn check_objectives(&self, errors: &mut ConfigErrors) {
        for (index, objective) in self.objectives.iter().enumerate() {
            let path = format!("objectives[{index}]");
            if !(objective.target > 0.0 && objective.target < 1.0) {
                errors.push(
                    format!("{path}.target"),
                    format!("target {} is not between 0 and 1", objective.target),
                    "use a fraction such as 0.95",
                );
            }
            if objective.kind != ObjectiveKind::Availability && objective.limit_ms == 0 {
                errors.push(
                    format!("{path}.limit_ms"),
                    "a latency objective requires a limit",
                    "set the limit in milliseconds",
                );
            }
            if let Some(route) = &objective.route
                && !self.routes.iter().any(|known| known.name == *route)
            {
                errors.push(
                    format!("{path}.route"),
                    format!("unknown route {route:?}"),
                    "use the name of a route in this document",
                );
            }
            if let Some(account) = &objective.account
                && !self.accounts.contains_key(account)
            {
                errors.push(
                    format!("{path}.account"),
                    format!("unknown account {account:?}"),
                    "add it under accounts",
                );
            }
        }
    }

    fn check_policy(&self, errors: &mut ConfigErrors) {
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
                errors.push(
                    format!("policy.{name}"),
                    format!("{value} is not in the range {least} to {most}"),
                    "omit it for the default",
                );
            }
        }
        if policy.queue_limit == 0 {
            errors.push(
                "policy.queue_limit",
                "a limit of 0 refuses every request that would have to wait",
                "omit it for the default of 512",
            );
        }
    }

    fn check_pool(&self, path: &str, pool: &str, errors: &mut ConfigErrors) {
        if self.pools.contains_key(pool) {
            return;
        }
        let known: Vec<&str> = self.pools.keys().map(String::as_str).collect();
        errors.push(
            path,
            format!("unknown pool {pool:?}"),
            format!("add it under pools, or use one of [{}]", known.join(", ")),
        );
    }
}
