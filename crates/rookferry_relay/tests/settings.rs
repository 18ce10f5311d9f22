//! Validation of a relay's settings: each invalid field is reported by name.

use rookferry_relay::RelaySettings;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn valid_settings() -> Value {
    json!({
        "instance": "n1", "domain": "a",
        "listen": {"callers": "127.0.0.1:1", "readiness": "127.0.0.1:2",
            "metrics": "127.0.0.1:3", "peers": "127.0.0.1:4"},
        "store": "127.0.0.1:5", "seeds": ["127.0.0.1:6"],
        "bounds": {"revoke_ms": 5000, "drain_ms": 2000, "grace_s": 8.0, "retry_ratio": 0.2, "retry_slack": 200,
            "retry_window_s": 10, "heartbeat_ms": 1200, "lapse_grace_ms": 2000},
    })
}

#[test]
fn valid_settings_are_accepted() {
    let settings = RelaySettings::from_json(&valid_settings().to_string()).expect("no errors");
    let age = settings.bounds.max_config_age();
    assert!(age.as_millis() < u128::from(settings.bounds.revoke_ms));
}

#[rstest]
#[case::empty_instance("/instance", json!(""), "instance")]
#[case::empty_domain("/domain", json!(""), "domain")]
#[case::zero_revoke("/bounds/revoke_ms", json!(0), "bounds.revoke_ms")]
#[case::zero_drain("/bounds/drain_ms", json!(0), "bounds.drain_ms")]
#[case::zero_grace("/bounds/grace_s", json!(0.0), "bounds.grace_s")]
#[case::negative_window("/bounds/retry_window_s", json!(-1.0), "bounds.retry_window_s")]
#[case::negative_ratio("/bounds/retry_ratio", json!(-0.1), "bounds.retry_ratio")]
#[case::invalid_address("/store", json!("somewhere"), "don't read")]
#[case::wrong_type("/seeds", json!("none"), "don't read")]
fn an_error_names_the_invalid_field(
    #[case] pointer: &str,
    #[case] value: Value,
    #[case] expected: &str,
) {
    let mut invalid = valid_settings();
    *invalid.pointer_mut(pointer).expect("an existing field") = value;
    let error = RelaySettings::from_json(&invalid.to_string()).expect_err("an invalid field");
    assert!(error.to_string().contains(expected), "{error}");
}

#[test]
fn all_errors_are_reported_at_once() {
    let mut invalid = valid_settings();
    invalid["instance"] = json!("");
    invalid["bounds"]["grace_s"] = json!(0);
    let error = RelaySettings::from_json(&invalid.to_string()).expect_err("two invalid fields");
    assert_eq!(error.to_string().lines().count(), 2, "{error}");
}

#[test]
fn an_unknown_field_is_rejected() {
    let mut invalid = valid_settings();
    invalid["bounds"]["revoke"] = json!(1);
    assert!(RelaySettings::from_json(&invalid.to_string()).is_err());
}
