//! Test site: stand-ins of platform and backend servers in this process, and entry
//! instances as child processes that can be killed, paused and stopped.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::BTreeMap;
use std::fs;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use rookferry_net::HttpClient;
use rookferry_net::HttpPlatform;
use rookferry_net::Platform;
use rookferry_standin::CallResponse;
use rookferry_standin::Caller;
use rookferry_standin::EngineConfig;
use rookferry_standin::Ledger;
use rookferry_standin::PlatformConfig;
use rookferry_standin::Site;
use rookferry_standin::SiteSpec;
use rookferry_standin::reference_answer;
use rookferry_standin::tokenize;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;
use rookferry_wire::CompletionRequest;
use rookferry_wire::LayerRange;
use rookferry_wire::PutRequest;
use rookferry_wire::PutResponse;
use rustix::process::Pid;
use rustix::process::Signal;
use rustix::process::kill_process;
use serde_json::Value;
use serde_json::json;
use sha2::Digest;
use sha2::Sha256;

pub const LAYERS: u16 = 6;
pub const KEY: &str = "desk-key";
pub const OTHER_KEY: &str = "other-key";
pub const SERVICE: &str = "flags";
/// Longest wait for a condition; only a hang takes this long.
pub const PATIENCE: Duration = Duration::from_secs(40);
const CALL: Duration = Duration::from_secs(5);

/// Polls until a condition holds; panics after [`PATIENCE`].
pub async fn eventually<F: AsyncFnMut() -> bool>(what: &str, mut holds: F) {
    let start = Instant::now();
    while !holds().await {
        assert!(start.elapsed() < PATIENCE, "never came true: {what}");
        tokio::time::sleep(Duration::from_millis(15)).await;
    }
}

/// One entry instance's process.
pub struct EntryProcess {
    pub name: String,
    pub callers: SocketAddr,
    pub operators: SocketAddr,
    pub peers: SocketAddr,
    child: Child,
}

impl EntryProcess {
    fn signal(&self, signal: Signal) {
        let pid = i32::try_from(self.child.id()).expect("a pid");
        let pid = Pid::from_raw(pid).expect("a pid");
        // Fails only if the process has already exited.
        let _ = kill_process(pid, signal);
    }

    pub fn kill(&mut self) {
        self.signal(Signal::KILL);
        let _ = self.child.wait();
    }

    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Waits until the process exits; returns its exit code, `None` after a signal.
    pub async fn wait_for_exit(&mut self) -> Option<i32> {
        let start = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().expect("a child") {
                return status.code();
            }
            assert!(start.elapsed() < PATIENCE, "{} never exited", self.name);
            tokio::time::sleep(Duration::from_millis(15)).await;
        }
    }
}

impl Drop for EntryProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// A running site.
pub struct TestSite {
    pub site: Site,
    pub entries: Vec<EntryProcess>,
    pub client: HttpClient,
    dir: PathBuf,
    started: usize,
}

impl Drop for TestSite {
    fn drop(&mut self) {
        self.entries.clear();
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Engine configurations: two engines for each of three stages, one per failure
/// domain.
pub fn engines() -> Vec<EngineConfig> {
    let mut engines = Vec::new();
    for copy in 1..=2_u16 {
        for stage in 0..3_u16 {
            engines.push(EngineConfig {
                engine: format!("s{stage}-{copy}").into(),
                listen: SocketAddr::from(([127, 0, 0, 1], 0)),
                failure_domain: format!("domain-{copy}"),
                accelerator: if copy == 1 { "large" } else { "small" }.to_owned(),
                labels: [("copy".to_owned(), copy.to_string())].into(),
                model: "scribe".to_owned(),
                model_layers: LAYERS,
                layers: LayerRange {
                    start: stage * 2,
                    end: stage * 2 + 2,
                },
                batch_slots: 8,
                step_us: 2_000,
                position_us: 50,
                link_us: 0,
                queue_limit: 256,
                report_lag_ms: 100,
                checks_fences: true,
            });
        }
    }
    engines
}

pub fn config() -> Value {
    let digest = |key: &str| hex::encode(Sha256::digest(key.as_bytes()));
    json!({
        "models": {"scribe": {"layers": LAYERS}},
        "accounts": {
            "desk": {"key_sha256": digest(KEY), "labels": {"tier": "gold"}},
            "other": {"key_sha256": digest(OTHER_KEY)},
        },
        "pools": {"main": {"selector": "model = scribe"}, "apps": {"selector": "app = flags"}},
        "routes": [{"name": "all", "pool": "main", "deadline_ms": 20_000}],
        "services": {SERVICE: {"pool": "apps", "timeout_ms": 3_000}},
        "objectives": [{"name": "answered", "kind": "availability", "target": 0.99}],
        "policy": {"step_timeout_floor_ms": 150},
    })
}

impl TestSite {
    /// Starts stand-ins and a number of instances, and waits until each instance sees
    /// all engines and all other instances.
    pub async fn start(entries: usize) -> Self {
        Self::start_with(entries, engines()).await
    }

    pub async fn start_with(entries: usize, engines: Vec<EngineConfig>) -> Self {
        let app = |number: u32| {
            serde_json::from_value(json!({
                "instance": format!("app-{number}"),
                "listen": "127.0.0.1:0",
                "failure_domain": format!("domain-{number}"),
                "labels": {"app": "flags"},
                "call_us": 300,
            }))
            .expect("an application engine")
        };
        let spec = SiteSpec {
            platform: Some(PlatformConfig {
                list_lag_ms: 0,
                call_ms: 1,
                ..PlatformConfig::default()
            }),
            engines,
            apps: vec![app(1), app(2)],
            ..SiteSpec::default()
        };
        let site = Site::start(spec).await.expect("stand-ins");
        let unique = format!(
            "rookferry-test-{}-{}",
            std::process::id(),
            uuid::Uuid::now_v7()
        );
        let dir = std::env::temp_dir().join(unique);
        fs::create_dir_all(&dir).expect("a directory for settings");
        let mut this = Self {
            site,
            entries: Vec::new(),
            client: HttpClient::new(),
            dir,
            started: 0,
        };
        this.apply(config()).await;
        for _ in 0..entries {
            this.add_entry(json!({})).await;
        }
        this.wait_until_settled().await;
        this
    }

    /// Starts one more instance; `changes` replace keys of its settings.
    pub async fn add_entry(&mut self, changes: Value) {
        self.started += 1;
        let name = format!("entry-{}", self.started);
        let known: Vec<SocketAddr> = self.entries.iter().map(|entry| entry.peers).collect();
        let mut settings = json!({
            "instance": name,
            "failure_domain": format!("domain-{}", (self.started - 1) % 2 + 1),
            "callers": "127.0.0.1:0",
            "operators": "127.0.0.1:0",
            "peers": "127.0.0.1:0",
            "known_peers": known,
            "site_secret": "secret of the tests' site",
            "platform": self.platform_addr(),
            "limits": {
                "leave_wait_ms": 300,
                "list_interval_ms": 100,
                "load_interval_ms": 50,
                "head_timeout_ms": 700,
                "body_timeout_ms": 700,
                "body_bytes": 10_000,
            },
        });
        if let Some(changes) = changes.as_object() {
            for (key, value) in changes {
                settings[key] = value.clone();
            }
        }
        let file = self.dir.join(format!("{name}.json"));
        let addresses = self.dir.join(format!("{name}.addresses"));
        let log = fs::File::create(self.dir.join(format!("{name}.log"))).expect("a log");
        fs::write(&file, settings.to_string()).expect("settings");
        let child = Command::new(env!("CARGO_BIN_EXE_rookferry-entry"))
            .arg("--config")
            .arg(&file)
            .arg("--addresses")
            .arg(&addresses)
            .stderr(log)
            .stdout(Stdio::null())
            .spawn()
            .expect("an entry instance");
        let mut entry = EntryProcess {
            name,
            callers: SocketAddr::from(([0, 0, 0, 0], 0)),
            operators: SocketAddr::from(([0, 0, 0, 0], 0)),
            peers: SocketAddr::from(([0, 0, 0, 0], 0)),
            child,
        };
        eventually("an instance listens", async || addresses.exists()).await;
        let text = fs::read_to_string(&addresses).expect("addresses");
        let addrs: Value = serde_json::from_str(&text).expect("addresses");
        let addr = |name: &str| {
            addrs[name]
                .as_str()
                .expect("an address")
                .parse()
                .expect("an address")
        };
        entry.callers = addr("callers");
        entry.operators = addr("operators");
        entry.peers = addr("peers");
        self.entries.push(entry);
    }

    /// Waits until each instance sees all engines and all other instances.
    pub async fn wait_until_settled(&self) {
        for entry in &self.entries {
            eventually("an instance sees the site", async || {
                self.sees_all(entry).await
            })
            .await;
        }
    }

    async fn sees_all(&self, entry: &EntryProcess) -> bool {
        let Some(status) = self.status(entry).await else {
            return false;
        };
        let live = |value: &Value| value["state"] == "live";
        let engines = status["engines"].as_object();
        let engines = engines.map_or(0, |engines| {
            engines.values().filter(|value| live(value)).count()
        });
        let members = status["members"].as_array();
        let members = members.map_or(0, |members| {
            members.iter().filter(|value| live(value)).count()
        });
        status["is_ready"] == true
            && engines == self.site.addrs.engines.len()
            && members + 1 >= self.entries.len()
    }

    pub async fn status(&self, entry: &EntryProcess) -> Option<Value> {
        self.client
            .get(entry.operators, "/v1/status", CALL)
            .await
            .ok()
    }

    pub fn platform_addr(&self) -> SocketAddr {
        self.site.addrs.platform.expect("a platform")
    }

    pub fn platform(&self) -> HttpPlatform {
        HttpPlatform::new(self.client.clone(), self.platform_addr())
    }

    /// Replaces the configuration on the platform; returns the new version.
    pub async fn apply(&self, value: Value) -> u64 {
        let platform = self.platform();
        let current = platform
            .get(CONFIG_KIND, CONFIG_NAME)
            .await
            .expect("the platform");
        let expected = current.map_or(0, |object| object.version);
        let request = PutRequest { expected, value };
        match platform.put(CONFIG_KIND, CONFIG_NAME, request).await {
            Ok(PutResponse::Written { version }) => version,
            other => panic!("not applied: {other:?}"),
        }
    }

    /// Waits until a version is active on an instance.
    pub async fn wait_for_version(&self, entry: &EntryProcess, version: u64) {
        eventually("a version is active", async || {
            let status = self.status(entry).await.unwrap_or_default();
            status["config_version"].as_u64() >= Some(version)
        })
        .await;
    }

    pub async fn fault(&self, addr: SocketAddr, fault: Value) {
        let ordered: Result<(), _> = self.client.post(addr, "/admin/fault", &fault, CALL).await;
        ordered.expect("a fault is injected");
    }

    pub async fn engine_fault(&self, engine: &str, fault: Value) {
        self.fault(self.site.addrs.engines[engine], fault).await;
    }

    pub async fn platform_fault(&self, fault: Value) {
        self.fault(self.platform_addr(), fault).await;
    }

    pub async fn ledgers(&self) -> Vec<Ledger> {
        let mut ledgers = Vec::new();
        for addr in self.site.addrs.engines.values() {
            let ledger = self.client.get(*addr, "/admin/ledger", CALL).await;
            ledgers.push(ledger.expect("a ledger"));
        }
        ledgers
    }

    /// Number of calls that plain servers received, by request id.
    pub async fn app_calls(&self) -> BTreeMap<String, u32> {
        let mut calls: BTreeMap<String, u32> = BTreeMap::new();
        for addr in self.site.addrs.apps.values() {
            let ledger: BTreeMap<String, u32> = self
                .client
                .get(*addr, "/admin/ledger", CALL)
                .await
                .expect("a ledger");
            for (id, count) in ledger {
                *calls.entry(id).or_default() += count;
            }
        }
        calls
    }

    /// Number of distinct streams that ran a prompt.
    pub async fn streams_of(&self, prompt: &str) -> usize {
        let digest = rookferry_standin::prompt_digest(&tokenize(prompt));
        let ledgers = self.ledgers().await;
        let streams = ledgers.iter().flat_map(|ledger| &ledger.streams);
        let mut streams: Vec<_> = streams
            .filter(|(_, runs)| runs.prompt == Some(digest))
            .map(|(stream, _)| *stream)
            .collect();
        streams.sort();
        streams.dedup();
        streams.len()
    }

    /// Whether any engine ran a position of a request.
    pub async fn ran(&self, request_id: &str) -> bool {
        let stream = request_id.rsplit_once('.').map_or("", |(_, stream)| stream);
        let ledgers = self.ledgers().await;
        ledgers.iter().any(|ledger| {
            let mut streams = ledger.streams.iter();
            streams.any(|(id, runs)| {
                id.to_string() == stream && runs.runs.iter().any(|count| *count > 0)
            })
        })
    }

    pub fn caller(&self) -> Caller {
        Caller::new(self.client.clone(), KEY.to_owned(), PATIENCE)
    }

    pub fn engine_addr(&self, engine: &str) -> SocketAddr {
        self.site.addrs.engines[engine]
    }

    /// Sets a server's entry in the platform's list, or removes it.
    pub async fn list(&self, name: &str, entry: Option<Value>) {
        let path = format!("/admin/instances/{name}");
        let method = if entry.is_some() {
            Method::PUT
        } else {
            Method::DELETE
        };
        let done: Result<(), _> = self
            .client
            .call(method, self.platform_addr(), &path, entry.as_ref(), CALL)
            .await;
        done.expect("the list is changed");
    }
}

pub fn request(prompt: &str, max_tokens: u32, stream: bool) -> CompletionRequest {
    CompletionRequest {
        model: "scribe".to_owned(),
        prompt: prompt.to_owned(),
        max_tokens,
        stream,
    }
}

/// Expected tokens of a prompt's answer, by the reference implementation.
pub fn expected(prompt: &str, max_tokens: u32) -> Vec<u64> {
    reference_answer(LAYERS, &tokenize(prompt), max_tokens)
}

pub fn assert_whole(answer: &CallResponse, prompt: &str, max_tokens: u32) {
    assert_eq!(answer.tokens, expected(prompt, max_tokens));
}

/// Checks each engine's ledger: no position ran twice on it.
pub fn assert_no_repeats(ledgers: &[Ledger]) {
    for ledger in ledgers {
        for (stream, runs) in &ledger.streams {
            for (position, count) in runs.runs.iter().enumerate() {
                assert!(
                    *count <= 1,
                    "{}: stream {stream}, position {position}",
                    ledger.engine
                );
            }
        }
    }
}
