//! Configurations: an accepted version becomes active on every instance and is never
//! replaced by an earlier one, under races, network cuts and outages.

mod support;

use std::collections::BTreeMap;
use std::process::Command;

use rookferry_net::Platform;
use rookferry_standin::CallOutcome;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use rstest::rstest;
use serde_json::json;
use support::TestSite;
use support::config;
use support::eventually;
use support::request;

fn numbered(number: u64) -> serde_json::Value {
    let mut value = config();
    value["routes"][0]["name"] = json!(format!("route-{number}"));
    value
}

#[tokio::test(flavor = "multi_thread")]
async fn an_accepted_version_is_active_everywhere_and_never_reverts() {
    let site = TestSite::start(4).await;
    let mut seen: BTreeMap<String, u64> = BTreeMap::new();
    for number in 0..10 {
        let version = site.apply(numbered(number)).await;
        for entry in &site.entries {
            site.wait_for_version(entry, version).await;
            let status = site.status(entry).await.expect("a status");
            let now = status["config_version"].as_u64().expect("a version");
            let former = seen.insert(entry.name.clone(), now).unwrap_or(0);
            assert!(
                now >= former,
                "{} went back from {former} to {now}",
                entry.name
            );
        }
    }
}

/// Of two concurrent writes over the same version, one gets a conflict.
#[tokio::test(flavor = "multi_thread")]
async fn of_two_racing_operators_one_gets_a_conflict() {
    let site = TestSite::start(1).await;
    let platform = site.platform();
    let current = platform
        .get(CONFIG_KIND, CONFIG_NAME)
        .await
        .expect("the platform");
    let expected = current.expect("a configuration").version;
    let put = |number| {
        let request = PutRequest {
            expected,
            value: numbered(number),
        };
        let platform = platform.clone();
        async move {
            platform
                .put(CONFIG_KIND, CONFIG_NAME, request)
                .await
                .expect("an answer")
        }
    };
    let (one, two) = tokio::join!(put(1), put(2));
    let written = [&one, &two]
        .iter()
        .filter(|answer| matches!(answer, PutResponse::Written { .. }))
        .count();
    assert_eq!(written, 1, "{one:?} {two:?}");
}

/// An instance that can't reach the platform gets the configuration and new versions
/// from its peers.
#[tokio::test(flavor = "multi_thread")]
async fn instances_without_the_platform_follow_their_peers() {
    let mut site = TestSite::start(2).await;
    let nowhere = json!({"platform": "127.0.0.1:9"});
    site.add_entry(nowhere).await;
    let version = site.apply(numbered(7)).await;
    for entry in &site.entries {
        site.wait_for_version(entry, version).await;
    }
    // It gets the list of backend servers from a peer too.
    site.wait_until_settled().await;
    let ending = site
        .caller()
        .complete(site.entries[2].callers, &request("cut off", 4, false), None)
        .await;
    assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
}

/// While the platform is unavailable, the active version stays and requests are
/// served.
#[tokio::test(flavor = "multi_thread")]
async fn the_active_version_outlasts_a_platform_outage() {
    let site = TestSite::start(2).await;
    let version = site.apply(numbered(3)).await;
    for entry in &site.entries {
        site.wait_for_version(entry, version).await;
    }
    site.platform_fault(json!({"dead": true})).await;
    for entry in &site.entries {
        let ending = site
            .caller()
            .complete(entry.callers, &request("in an outage", 4, false), None)
            .await;
        assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
        let status = site.status(entry).await.expect("a status");
        assert_eq!(status["config_version"].as_u64(), Some(version));
    }
    site.platform_fault(json!({"dead": false})).await;
    let next = site.apply(numbered(4)).await;
    for entry in &site.entries {
        site.wait_for_version(entry, next).await;
    }
}

/// An instance without any source of a configuration refuses requests as not ready.
#[tokio::test(flavor = "multi_thread")]
async fn without_a_configuration_nothing_is_served() {
    let mut site = TestSite::start(0).await;
    site.add_entry(json!({"platform": "127.0.0.1:9"})).await;
    let entry = &site.entries[0];
    let ending = site
        .caller()
        .complete(entry.callers, &request("too early", 4, false), None)
        .await;
    let CallOutcome::Problem(problem) = ending else {
        panic!("not refused: {ending:?}");
    };
    assert_eq!(problem.reason, rookferry_wire::ReasonCode::NotReady);
    let status = site.status(entry).await.expect("a status");
    assert_eq!(status["is_ready"], false);
}

/// An invalid version that was written past the tool's checks is rejected; the active
/// one stays.
#[tokio::test(flavor = "multi_thread")]
async fn an_invalid_version_is_rejected() {
    let site = TestSite::start(1).await;
    let good = site.status(&site.entries[0]).await.expect("a status")["config_version"].clone();
    site.apply(json!({"routes": [{"name": "x", "pool": "none"}]}))
        .await;
    let next = site.apply(numbered(1)).await;
    site.wait_for_version(&site.entries[0], next).await;
    let ending = site
        .caller()
        .complete(
            site.entries[0].callers,
            &request("still served", 4, false),
            None,
        )
        .await;
    assert!(matches!(ending, CallOutcome::Answered(_)), "{ending:?}");
    assert_ne!(good.as_u64(), Some(next));
}

/// A datagram that isn't sealed with the site's secret is dropped and changes nothing.
#[rstest]
#[case::noise(vec![0; 64])]
#[case::short(vec![1])]
#[case::long(vec![2; 4_000])]
#[tokio::test(flavor = "multi_thread")]
async fn a_foreign_datagram_is_dropped_and_counted(#[case] datagram: Vec<u8>) {
    let site = TestSite::start(1).await;
    let udp = tokio::net::UdpSocket::bind("127.0.0.1:0")
        .await
        .expect("a socket");
    udp.send_to(&datagram, site.entries[0].peers)
        .await
        .expect("it is sent");
    eventually("it is counted", async || {
        let metrics = site
            .client
            .get_text(
                site.entries[0].operators,
                "/metrics",
                std::time::Duration::from_secs(5),
            )
            .await
            .unwrap_or_default();
        metrics.contains("rookferry_datagrams_dropped_total{why=\"malformed\"} 1")
    })
    .await;
    let status = site.status(&site.entries[0]).await.expect("a status");
    assert_eq!(status["members"].as_array().map(Vec::len), Some(0));
}

/// `--check` reports all faults in settings with their paths.
#[test]
fn check_reports_all_settings_faults_with_their_paths() {
    let file =
        std::env::temp_dir().join(format!("rookferry-settings-{}.json", uuid::Uuid::now_v7()));
    let settings = json!({
        "instance": "no name!", "failure_domain": "d", "callers": "127.0.0.1:1", "operators": "127.0.0.1:1",
        "peers": "127.0.0.1:2", "site_secret": "short", "platform": "127.0.0.1:3", "limits": {"connections": 0},
    });
    std::fs::write(&file, settings.to_string()).expect("settings");
    let output = Command::new(env!("CARGO_BIN_EXE_rookferry-entry"))
        .arg("--check")
        .arg("--config")
        .arg(&file)
        .output()
        .expect("it runs");
    let reported = String::from_utf8_lossy(&output.stderr).into_owned();
    let _ = std::fs::remove_file(&file);
    assert!(!output.status.success());
    for path in ["instance", "operators", "site_secret", "limits.connections"] {
        assert!(reported.contains(path), "{path} is missing in {reported}");
    }
}
