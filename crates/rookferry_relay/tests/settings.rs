//! Settings that don't hold are refused, each fault by name.

use rookferry_relay::RelaySettings;
use rstest::rstest;
use serde_json::Value;
use serde_json::json;

fn settings() -> Value {
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
fn good_settings_read() {
    let read = RelaySettings::from_json(&settings().to_string()).expect("settings");
    let age = read.bounds.max_config_age();
    assert!(age.as_millis() < u128::from(read.bounds.revoke_ms));
}

#[rstest]
#[case::no_name("/instance", json!(""), "instance")]
#[case::no_domain("/domain", json!(""), "domain")]
#[case::no_bound("/bounds/revoke_ms", json!(0), "bounds.revoke_ms")]
#[case::no_drain("/bounds/drain_ms", json!(0), "bounds.drain_ms")]
#[case::no_grace("/bounds/grace_s", json!(0.0), "bounds.grace_s")]
#[case::no_window("/bounds/retry_window_s", json!(-1.0), "bounds.retry_window_s")]
#[case::below_zero("/bounds/retry_ratio", json!(-0.1), "bounds.retry_ratio")]
#[case::no_address("/store", json!("somewhere"), "don't read")]
#[case::wrong_kind("/seeds", json!("none"), "don't read")]
fn a_fault_is_named(#[case] pointer: &str, #[case] value: Value, #[case] named: &str) {
    let mut faulty = settings();
    *faulty.pointer_mut(pointer).expect("a field") = value;
    let error = RelaySettings::from_json(&faulty.to_string()).expect_err("a fault");
    assert!(error.to_string().contains(named), "{error}");
}

#[test]
fn all_faults_are_named_at_once() {
    let mut faulty = settings();
    faulty["instance"] = json!("");
    faulty["bounds"]["grace_s"] = json!(0);
    let error = RelaySettings::from_json(&faulty.to_string()).expect_err("faults");
    assert_eq!(error.to_string().lines().count(), 2, "{error}");
}

#[test]
fn an_unknown_field_is_refused() {
    let mut faulty = settings();
    faulty["bounds"]["revoke"] = json!(1);
    assert!(RelaySettings::from_json(&faulty.to_string()).is_err());
}
