//! Configurations: validation reports every error with its path, and only valid higher
//! versions are adopted.

use rookferry_core::AdoptOutcome;
use rookferry_core::ConfigAdopter;
use rookferry_core::SiteConfig;
use rookferry_core::changed_paths;
use rstest::rstest;
use serde_json::json;

const DIGEST: &str = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08";

fn valid_config() -> serde_json::Value {
    json!({
        "models": {"scribe": {"layers": 12}},
        "accounts": {"desk": {"key_sha256": DIGEST}},
        "pools": {"main": {"selector": "model = scribe"}},
        "routes": [{"name": "all", "pool": "main"}],
        "placement": [{"name": "p", "selector": "", "model": "scribe", "version": "1", "layers": {"start": 0, "end": 12}}],
        "objectives": [{"name": "o", "kind": "first_token", "target": 0.95, "limit_ms": 370}],
    })
}

#[test]
fn a_valid_configuration_is_parsed() {
    let config = SiteConfig::from_json(&valid_config().to_string()).expect("no errors");
    assert_eq!(config.routes[0].deadline_ms, 30_000);
}

#[rstest]
#[case("/routes/0/pool", json!("other"), "routes[0].pool")]
#[case("/routes/0/priority", json!(10), "routes[0].priority")]
#[case("/routes/0/deadline_ms", json!(0), "routes[0].deadline_ms")]
#[case("/accounts/desk/key_sha256", json!("key"), "accounts.desk.key_sha256")]
#[case("/accounts/desk/weight", json!(0.0), "accounts.desk.weight")]
#[case("/accounts/desk/weight", json!("much"), "accounts.desk.weight")]
#[case("/models/scribe/layers", json!(0), "models.scribe.layers")]
#[case("/pools/main/selector", json!("model ="), "pools.main.selector")]
#[case("/placement/0/layers/end", json!(13), "placement[0].layers")]
#[case("/placement/0/model", json!("x"), "placement[0].model")]
#[case("/objectives/0/target", json!(1.0), "objectives[0].target")]
#[case("/objectives/0/limit_ms", json!(0), "objectives[0].limit_ms")]
#[case("/objectives/0/route", json!("x"), "objectives[0].route")]
#[case("/policy/overcommit", json!(0.0), "policy.overcommit")]
#[case("/policy/queue_limit", json!(0), "policy.queue_limit")]
#[case("/routes/0/pooll", json!("main"), "routes.0.pooll")]
fn an_error_names_its_path(
    #[case] pointer: &str,
    #[case] value: serde_json::Value,
    #[case] path: &str,
) {
    let mut config = valid_config();
    let (parent, key) = pointer.rsplit_once('/').expect("a pointer");
    if parent == "/policy" {
        config["policy"] = json!({});
    }
    config.pointer_mut(parent).expect("its parent")[key] = value;
    let errors = SiteConfig::from_json(&config.to_string())
        .expect_err("an error")
        .errors;
    assert!(errors.iter().any(|error| error.path == path), "{errors:?}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut config = valid_config();
    config["routes"][0]["pool"] = json!("other");
    config["accounts"]["desk"]["weight"] = json!(-1);
    let errors = SiteConfig::from_json(&config.to_string()).expect_err("errors");
    assert_eq!(errors.errors.len(), 2, "{errors}");
}

#[test]
fn two_accounts_cannot_share_a_key() {
    let mut config = valid_config();
    config["accounts"]["other"] = json!({"key_sha256": DIGEST.to_uppercase()});
    assert!(SiteConfig::from_json(&config.to_string()).is_err());
}

#[test]
fn only_a_higher_version_is_adopted() {
    let body = valid_config().to_string();
    let mut adopter = ConfigAdopter::new();
    assert!(matches!(
        adopter.offer(7, &body),
        AdoptOutcome::Activated(_)
    ));
    assert!(matches!(adopter.offer(7, &body), AdoptOutcome::NotNewer));
    assert!(matches!(adopter.offer(3, &body), AdoptOutcome::NotNewer));
    assert_eq!(adopter.version(), 7);
}

#[test]
fn an_invalid_newer_version_leaves_the_former_one_active() {
    let body = valid_config().to_string();
    let mut adopter = ConfigAdopter::new();
    assert!(matches!(
        adopter.offer(7, &body),
        AdoptOutcome::Activated(_)
    ));
    assert!(matches!(
        adopter.offer(8, "{\"x\": 1}"),
        AdoptOutcome::Invalid(_)
    ));
    assert_eq!((adopter.version(), adopter.seen()), (7, 8));
    assert!(matches!(
        adopter.offer(9, &body),
        AdoptOutcome::Activated(_)
    ));
}

#[test]
fn a_conflict_lists_the_paths_that_differ() {
    let before = json!({"a": {"b": 1, "c": [1, 2]}, "d": 0});
    let after = json!({"a": {"b": 2, "c": [1, 3]}, "e": 0});
    assert_eq!(changed_paths(&before, &after), ["a.b", "a.c[1]", "d", "e"]);
}
