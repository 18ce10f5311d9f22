//! A site for the experiments: stand-ins and entry instances in this process. Each
//! instance has its own runtime, whose thread names identify its CPU time.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use rookferry_core::RatedEngine;
use rookferry_core::throughput_bound;
use rookferry_entry::Entry;
use rookferry_entry::EntryAddrs;
use rookferry_entry::EntrySettings;
use rookferry_net::HttpClient;
use rookferry_net::HttpPlatform;
use rookferry_net::Platform;
use rookferry_standin::Arrivals;
use rookferry_standin::EngineConfig;
use rookferry_standin::LoadAccount;
use rookferry_standin::LoadPlan;
use rookferry_standin::Mix;
use rookferry_standin::PlatformConfig;
use rookferry_standin::Site;
use rookferry_standin::SiteSpec;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::LayerRange;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;
use slog::Logger;
use slog::o;
use tokio::runtime::Builder;
use tokio::runtime::Runtime;

pub(crate) const LAYERS: u16 = 12;
pub(crate) const DOMAINS: usize = 3;
/// Shares of the client accounts in the load: two large accounts, four small ones.
pub(crate) const ACCOUNT_SHARES: [f64; 6] = [8.0, 4.0, 1.0, 1.0, 1.0, 1.0];
const STAGES: u16 = 3;
const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// How long `wait_until_settled` waits for all instances.
const SETTLE_TIMEOUT: Duration = Duration::from_mins(1);

/// A kind of accelerator: its step time and the one-way delay of its link.
#[derive(Clone, Copy)]
pub(crate) struct AcceleratorKind {
    name: &'static str,
    step_us: u64,
    link_us: u64,
}

/// Three kinds of accelerators; their link delays differ by a factor of 100.
pub(crate) const ACCELERATOR_KINDS: [AcceleratorKind; 3] = [
    AcceleratorKind {
        name: "large",
        step_us: 5_000,
        link_us: 50,
    },
    AcceleratorKind {
        name: "medium",
        step_us: 10_000,
        link_us: 500,
    },
    AcceleratorKind {
        name: "small",
        step_us: 20_000,
        link_us: 5_000,
    },
];

/// An entry instance with its own runtime.
pub(crate) struct TestbedEntry {
    pub(crate) addrs: EntryAddrs,
    /// Prefix of the names of its threads.
    pub(crate) threads: String,
    runtime: Option<Runtime>,
    entry: Option<Entry>,
}

impl TestbedEntry {
    /// Stops the instance abruptly, as a kill does; its connections break.
    pub(crate) fn kill(&mut self) {
        self.entry = None;
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Drop for TestbedEntry {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running site.
pub(crate) struct Testbed {
    pub(crate) site: Site,
    pub(crate) engines: Vec<EngineConfig>,
    pub(crate) entries: Vec<TestbedEntry>,
    pub(crate) client: HttpClient,
    /// Runs the stand-ins and the load.
    pub(crate) runtime: Runtime,
}

/// Engines spread over three stages, three kinds of accelerators and three domains.
pub(crate) fn engines(count: usize) -> Vec<EngineConfig> {
    let numbers = 0..count;
    numbers
        .map(|number| {
            let stage = u16::try_from(number).unwrap_or(0) % STAGES;
            let kind = ACCELERATOR_KINDS[(number / usize::from(STAGES)) % ACCELERATOR_KINDS.len()];
            let domain = (number / 9) % DOMAINS + 1;
            EngineConfig {
                engine: format!("engine-{number:02}").into(),
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                failure_domain: format!("domain-{domain}"),
                accelerator: kind.name.to_owned(),
                labels: [("kind".to_owned(), kind.name.to_owned())].into(),
                model: "scribe".to_owned(),
                model_layers: LAYERS,
                layers: LayerRange {
                    start: stage * LAYERS / STAGES,
                    end: (stage + 1) * LAYERS / STAGES,
                },
                batch_slots: 1,
                step_us: kind.step_us,
                position_us: kind.step_us / 50,
                link_us: kind.link_us,
                queue_limit: 512,
                report_lag_ms: 300,
                checks_fences: true,
            }
        })
        .collect()
}

/// Upper bound of the tokens per second that the engines can generate; ignores prefill.
pub(crate) fn token_rate_bound(engines: &[EngineConfig]) -> u64 {
    let rated: Vec<RatedEngine> = engines
        .iter()
        .map(|engine| RatedEngine {
            layers: engine.layers,
            tokens_per_s: u64::from(engine.batch_slots) * 1_000_000 / engine.step_us,
        })
        .collect();
    throughput_bound(LAYERS, &rated)
}

pub(crate) fn account_key(number: usize) -> String {
    format!("key of account {number}")
}

/// A configuration with the given policy, one model and one plain service.
pub(crate) fn site_config(policy: &Value) -> Value {
    let accounts = (0..ACCOUNT_SHARES.len()).map(|number| {
        let digest = hex::encode(Sha256::digest(account_key(number).as_bytes()));
        let account = json!({"key_sha256": digest, "max_concurrent": 4_096});
        (format!("account-{number}"), account)
    });
    let accounts: serde_json::Map<String, Value> = accounts.collect();
    json!({
        "models": {"scribe": {"layers": LAYERS}},
        "accounts": accounts,
        "pools": {"main": {"selector": "model = scribe"}, "apps": {"selector": "app = flags"}},
        "routes": [{"name": "all", "pool": "main", "deadline_ms": 30_000}],
        "services": {"flags": {"pool": "apps"}},
        "policy": policy,
    })
}

impl Testbed {
    /// Starts stand-ins and instances, and waits until each instance knows all engines
    /// and members.
    pub(crate) fn start(engines: Vec<EngineConfig>, entries: usize) -> Self {
        Self::start_partitioned(engines, entries, 0)
    }

    /// As `start`, but only the first `with_platform` instances of each domain can reach
    /// the platform; with 0, all can.
    pub(crate) fn start_partitioned(
        engines: Vec<EngineConfig>,
        entries: usize,
        with_platform: usize,
    ) -> Self {
        let runtime = build_runtime("bench", 4);
        let client = HttpClient::new();
        let app = |number: usize| {
            let app = json!({
                "instance": format!("app-{number}"), "listen": "127.0.0.1:0",
                "failure_domain": format!("domain-{number}"), "labels": {"app": "flags"}, "call_us": 500,
            });
            serde_json::from_value(app).expect("invalid configuration of an application engine")
        };
        let spec = SiteSpec {
            platform: Some(PlatformConfig {
                list_lag_ms: 0,
                ..PlatformConfig::default()
            }),
            engines: engines.clone(),
            apps: (1..=DOMAINS).map(app).collect(),
            ..SiteSpec::default()
        };
        let site = runtime
            .block_on(Site::start(spec))
            .expect("failed to start the stand-ins");
        let mut testbed = Self {
            site,
            engines,
            entries: Vec::new(),
            client,
            runtime,
        };
        testbed.apply(&json!({}));
        for number in 0..entries {
            let is_partitioned = with_platform > 0 && number / DOMAINS >= with_platform;
            testbed.add_entry(number, is_partitioned);
        }
        testbed.wait_until_settled();
        testbed
    }

    fn add_entry(&mut self, number: usize, is_partitioned: bool) {
        let known_peers: Vec<SocketAddr> =
            self.entries.iter().map(|entry| entry.addrs.peers).collect();
        let platform = self.site.addrs.platform.expect("the site has no platform");
        // Nothing listens on the discard port.
        let unreachable_addr = SocketAddr::from(([127, 0, 0, 1], 9));
        let settings = json!({
            "instance": format!("entry-{number}"),
            "failure_domain": format!("domain-{}", number % DOMAINS + 1),
            "callers": "127.0.0.1:0", "operators": "127.0.0.1:0", "peers": "127.0.0.1:0",
            "known_peers": known_peers, "site_secret": "secret of the experiment",
            "platform": if is_partitioned { unreachable_addr } else { platform },
        });
        let settings =
            EntrySettings::from_json(&settings.to_string()).expect("invalid entry settings");
        let threads = format!("entry-{number}-");
        let runtime = build_runtime(&threads, 2);
        let log = Logger::root(slog::Discard, o!());
        let entry = runtime
            .block_on(Entry::start(settings, log))
            .expect("failed to start an entry instance");
        self.entries.push(TestbedEntry {
            addrs: entry.addrs(),
            threads,
            runtime: Some(runtime),
            entry: Some(entry),
        });
    }

    /// Applies a configuration with the given policy; returns its version.
    pub(crate) fn apply(&self, policy: &Value) -> u64 {
        self.runtime
            .block_on(self.write_config(site_config(policy)))
    }

    /// Writes a configuration to the platform; returns its version.
    pub(crate) async fn write_config(&self, value: Value) -> u64 {
        let addr = self.site.addrs.platform.expect("the site has no platform");
        let platform = HttpPlatform::new(self.client.clone(), addr);
        let current = platform
            .get(CONFIG_KIND, CONFIG_NAME)
            .await
            .expect("failed to read the configuration");
        let request = PutRequest {
            expected: current.map_or(0, |object| object.version),
            value,
        };
        match platform.put(CONFIG_KIND, CONFIG_NAME, request).await {
            Ok(PutResponse::Written { version }) => version,
            other => panic!("failed to write the configuration: {other:?}"),
        }
    }

    /// Active configuration version of an instance; 0 if it doesn't respond.
    pub(crate) async fn active_version(&self, entry: &TestbedEntry) -> u64 {
        let status: Value = self
            .client
            .get(entry.addrs.operators, "/v1/config", CALL_TIMEOUT)
            .await
            .unwrap_or_default();
        status["version"].as_u64().unwrap_or(0)
    }

    /// Waits until a configuration version is active on every instance.
    pub(crate) fn wait_until_active(&self, version: u64) {
        self.runtime.block_on(async {
            for entry in &self.entries {
                while self.active_version(entry).await < version {
                    tokio::time::sleep(Duration::from_millis(2)).await;
                }
            }
        });
    }

    fn wait_until_settled(&self) {
        let start = Instant::now();
        for entry in &self.entries {
            while !self.runtime.block_on(self.is_settled(entry)) {
                assert!(
                    start.elapsed() < SETTLE_TIMEOUT,
                    "instances don't know all engines and members in time"
                );
                std::thread::sleep(Duration::from_millis(30));
            }
        }
    }

    /// Whether an instance knows all members and all engines. One that can't reach the
    /// platform has a configuration from its peers but no engines.
    async fn is_settled(&self, entry: &TestbedEntry) -> bool {
        let status: Value = self
            .client
            .get(entry.addrs.operators, "/v1/status", CALL_TIMEOUT)
            .await
            .unwrap_or_default();
        let engines = status["engines"]
            .as_object()
            .map_or(0, serde_json::Map::len);
        let members = status["members"].as_array().map_or(0, Vec::len);
        let is_partitioned = engines == 0 && status["config_version"].as_u64() > Some(0);
        (engines == self.engines.len() || is_partitioned) && members + 1 == self.entries.len()
    }

    /// A load plan over all instances and accounts, with Poisson arrivals.
    pub(crate) fn plan(&self, rate_per_s: f64, seconds: u64, mix: Mix) -> LoadPlan {
        let accounts = ACCOUNT_SHARES.iter().enumerate();
        LoadPlan {
            targets: self
                .entries
                .iter()
                .map(|entry| entry.addrs.callers)
                .collect(),
            seed: 11,
            duration_ms: seconds * 1_000,
            rate_per_s,
            arrivals: Arrivals::Poisson,
            accounts: accounts
                .map(|(number, share)| LoadAccount {
                    name: format!("account-{number}"),
                    key: account_key(number),
                    share: *share,
                })
                .collect(),
            mix,
            model: "scribe".to_owned(),
            layers: LAYERS,
            prompt_tokens: (48, 64),
            answer_tokens: (16, 48),
            prefixes: 16,
            service: "flags".to_owned(),
            max_in_flight: 8_192,
            patience_ms: 30_000,
            faults: Vec::new(),
        }
    }
}

fn build_runtime(name: &str, threads: usize) -> Runtime {
    Builder::new_multi_thread()
        .worker_threads(threads)
        .thread_name(name)
        .enable_all()
        .build()
        .expect("failed to start a runtime")
}
