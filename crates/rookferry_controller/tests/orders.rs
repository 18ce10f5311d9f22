//! Two controllers of one failure domain roll out new model versions: one lease holder
//! at a time, fences never decrease on an engine, and no request is interrupted.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use rookferry_controller::Controller;
use rookferry_controller::ControllerSettings;
use rookferry_entry::Entry;
use rookferry_entry::EntrySettings;
use rookferry_net::HttpClient;
use rookferry_net::HttpPlatform;
use rookferry_net::LogFormat;
use rookferry_net::LogLevel;
use rookferry_net::Platform;
use rookferry_net::root_logger;
use rookferry_standin::CallOutcome;
use rookferry_standin::Caller;
use rookferry_standin::Ledger;
use rookferry_standin::PlatformConfig;
use rookferry_standin::Site;
use rookferry_standin::SiteSpec;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::CompletionRequest;
use rookferry_wire::EngineInfo;
use rookferry_wire::PutRequest;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

const TIMEOUT: Duration = Duration::from_mins(1);
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn engine(name: &str, start: u16, checks_fences: bool) -> Value {
    json!({
        "engine": name, "failure_domain": "domain-1", "accelerator": "large",
        "labels": {"role": "serving"}, "model": "scribe", "model_layers": 4,
        "layers": {"start": start, "end": start + 2}, "batch_slots": 8, "step_us": 2000, "position_us": 50,
        "link_us": 0, "queue_limit": 64, "report_lag_ms": 50, "checks_fences": checks_fences,
    })
}

fn config(version: &str) -> Value {
    let rule = |name: &str, start: u16| {
        json!({"name": name, "selector": format!("half = {start}"), "model": "scribe", "version": version,
            "layers": {"start": start, "end": start + 2}, "role": "serving"})
    };
    json!({
        "models": {"scribe": {"layers": 4}},
        "accounts": {"desk": {"key_sha256": hex::encode(Sha256::digest("key".as_bytes()))}},
        "pools": {"main": {"selector": "model = scribe"}},
        "routes": [{"name": "all", "pool": "main"}],
        "placement": [rule("first", 0), rule("second", 2)],
    })
}

struct TestSite {
    site: Site,
    entry: Entry,
    client: HttpClient,
}

impl TestSite {
    async fn start() -> Self {
        let mut engines = Vec::new();
        for (name, start) in [("a1", 0), ("a2", 0), ("b1", 2), ("b2", 2)] {
            let mut spec = engine(name, start, name.ends_with('1'));
            spec["labels"]["half"] = json!(start.to_string());
            spec["listen"] = json!("127.0.0.1:0");
            engines.push(serde_json::from_value(spec).expect("an engine"));
        }
        let spec = SiteSpec {
            platform: Some(PlatformConfig {
                list_lag_ms: 0,
                ..PlatformConfig::default()
            }),
            engines,
            ..SiteSpec::default()
        };
        let site = Site::start(spec).await.expect("stand-ins");
        let settings = json!({
            "instance": "entry-1", "failure_domain": "domain-1", "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0", "peers": "127.0.0.1:0", "site_secret": "secret of the tests' site",
            "platform": site.addrs.platform, "limits": {"list_interval_ms": 100, "load_interval_ms": 50},
        });
        let settings = EntrySettings::from_json(&settings.to_string()).expect("settings");
        let log = root_logger(LogFormat::Json, LogLevel::Warning, "entry-1");
        let entry = Entry::start(settings, log)
            .await
            .expect("an entry instance");
        let test_site = Self {
            site,
            entry,
            client: HttpClient::new(),
        };
        test_site.apply("1").await;
        test_site
    }

    async fn apply(&self, version: &str) {
        let platform = HttpPlatform::new(self.client.clone(), self.platform());
        let current = platform
            .get(CONFIG_KIND, CONFIG_NAME)
            .await
            .expect("the platform");
        let request = PutRequest {
            expected: current.map_or(0, |object| object.version),
            value: config(version),
        };
        platform
            .put(CONFIG_KIND, CONFIG_NAME, request)
            .await
            .expect("an applied configuration");
    }

    fn platform(&self) -> SocketAddr {
        self.site.addrs.platform.expect("a platform")
    }

    fn controller(&self, name: &str) -> tokio::task::JoinHandle<()> {
        let settings = json!({
            "instance": name, "failure_domain": "domain-1", "platform": self.platform(),
            "entry": self.entry.addrs().operators, "lease_ms": 1500, "pause_bound_ms": 200,
            "interval_ms": 50, "at_once": 1, "load_interval_ms": 10, "drain_timeout_ms": 20_000,
        });
        let settings = ControllerSettings::from_json(&settings.to_string()).expect("settings");
        let log = root_logger(LogFormat::Json, LogLevel::Warning, name);
        tokio::spawn(Controller::new(settings, log).run())
    }

    async fn wait_for_version(&self, version: &str) {
        let start = Instant::now();
        loop {
            let mut done = 0;
            for addr in self.site.addrs.engines.values() {
                let info: EngineInfo = self
                    .client
                    .get(*addr, "/v1/info", CALL_TIMEOUT)
                    .await
                    .expect("an engine");
                let is_serving = info
                    .labels
                    .get("role")
                    .is_some_and(|role| role == "serving");
                done += usize::from(info.model_version == version && is_serving);
            }
            if done == self.site.addrs.engines.len() {
                return;
            }
            assert!(
                start.elapsed() < TIMEOUT,
                "not every engine serves version {version} in time"
            );
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
    }

    async fn fences(&self) -> Vec<Vec<u64>> {
        let mut fences = Vec::new();
        for addr in self.site.addrs.engines.values() {
            let ledger: Ledger = self
                .client
                .get(*addr, "/admin/ledger", CALL_TIMEOUT)
                .await
                .expect("a ledger");
            fences.push(ledger.fences);
        }
        fences
    }
}

/// Sends sequential requests until `stop` is set; each must be answered.
async fn call_until(
    caller: Caller,
    addr: SocketAddr,
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
) {
    while !stop.load(Ordering::Relaxed) {
        let body = CompletionRequest {
            model: "scribe".to_owned(),
            prompt: "during the rollout".to_owned(),
            max_tokens: 10,
            stream: false,
        };
        match caller.complete(addr, &body, None).await {
            CallOutcome::Answered(_) => answered.fetch_add(1, Ordering::Relaxed),
            other => panic!("request interrupted: {other:?}"),
        };
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_rollout_interrupts_no_request_and_a_new_lease_holder_continues_it() {
    let test_site = TestSite::start().await;
    let first = test_site.controller("entry-1");
    let second = test_site.controller("entry-2");
    test_site.wait_for_version("1").await;
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let caller = Caller::new(test_site.client.clone(), "key".to_owned(), TIMEOUT);
    let addr = test_site.entry.addrs().callers;
    // Waits until the instance serves requests.
    while !matches!(
        caller
            .complete(
                addr,
                &CompletionRequest {
                    model: "scribe".to_owned(),
                    prompt: "x".to_owned(),
                    max_tokens: 1,
                    stream: false
                },
                None
            )
            .await,
        CallOutcome::Answered(_)
    ) {
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let calls = tokio::spawn(call_until(caller, addr, stop.clone(), answered.clone()));
    test_site.apply("2").await;
    test_site.wait_for_version("2").await;
    first.abort();
    test_site.apply("3").await;
    test_site.wait_for_version("3").await;
    stop.store(true, Ordering::Relaxed);
    calls.await.expect("every call is answered");
    second.abort();
    assert!(answered.load(Ordering::Relaxed) > 0);
    for fences in test_site.fences().await {
        assert!(
            fences.is_sorted(),
            "an order of a previous lease holder was accepted: {fences:?}"
        );
    }
}
