//! Instances of `rookferry-node` as separate processes, with the deploy file's command.

use std::fs;
use std::fs::File;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use crate::client;
use crate::client::Outcome;

/// The command of the deploy file, from the root of the repository.
pub const PROGRAM: &str = "target/release/rookferry-node";

/// Ports of every machine of a site.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub metrics: u16,
    pub peers: u16,
}

/// A running instance.
pub struct Instance {
    pub name: String,
    pub ip: Ipv4Addr,
    pub ports: Ports,
    pub child: Child,
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Instance {
    pub fn front(&self) -> SocketAddr {
        (self.ip, self.ports.front).into()
    }

    pub fn is_ready(&self) -> bool {
        let request = b"GET /-/ready HTTP/1.1\r\nHost: ready\r\n\r\n";
        let addr = (self.ip, self.ports.ready).into();
        let outcome = client::exchange(addr, request, Duration::from_secs(1));
        matches!(outcome, Outcome::Answer { status: 200, .. })
    }

    /// Sends a signal, by its name.
    pub fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args(["-s", name, &pid]).status();
        assert!(sent.is_ok_and(|status| status.success()), "a signal");
    }
}

/// Loopback addresses of machines, of which ports are free.
pub fn machine_ip(number: u8) -> Ipv4Addr {
    // Spread over processes, so that two scripts seldom use the same ones.
    let part = u8::try_from(std::process::id() % 200).expect("below 200") + 20;
    Ipv4Addr::new(127, 71, part, number)
}

/// A free port on a machine.
pub fn free_addr(ip: Ipv4Addr) -> SocketAddr {
    let listener = TcpListener::bind((ip, 0)).expect("a free port");
    listener.local_addr().expect("an address")
}

/// Ports that are free on some machines.
pub fn free_ports(ips: &[Ipv4Addr]) -> Ports {
    let mut found = Vec::new();
    while found.len() < 5 {
        let port = free_addr(ips[0]).port();
        let is_free = |ip: &Ipv4Addr| {
            let addr = (IpAddr::V4(*ip), port);
            TcpListener::bind(addr).is_ok() && UdpSocket::bind(addr).is_ok()
        };
        if !found.contains(&port) && ips.iter().all(is_free) {
            found.push(port);
        }
    }
    Ports {
        front: found[0],
        ready: found[1],
        control: found[2],
        metrics: found[3],
        peers: found[4],
    }
}

/// Bounds and sizes of a small deployment, as its settings tell them.
#[derive(Clone, Debug)]
pub struct Deployment {
    pub store: SocketAddr,
    pub seeds: Vec<SocketAddr>,
    pub folder: PathBuf,
    pub retry_slack: u32,
}

impl Deployment {
    /// Starts an instance with the settings that the deploy file's template gives.
    pub fn start(
        &self,
        name: &str,
        zone: &str,
        ip: Ipv4Addr,
        ports: Ports,
        is_first_start: bool,
    ) -> Instance {
        let seeds: Vec<String> = self
            .seeds
            .iter()
            .map(|seed| format!("\"{seed}\""))
            .collect();
        let settings = format!(
            "{{\"instance\": \"{name}\", \"domain\": \"{zone}\",\n\"listen\": {{\"callers\": \
             \"{ip}:{}\", \"readiness\": \"{ip}:{}\", \"metrics\": \"{ip}:{}\", \"peers\": \
             \"{ip}:{}\"}},\n\"is_first_start\": {is_first_start},\n\"machine\": {{\"cores\": \
             0.25, \"link_mbps\": 1000.0}},\n\"store\": \"{}\",\n\"seeds\": [{}],\n\"bounds\": \
             {{\"revoke_ms\": 5000, \"drain_ms\": 2000, \"grace_s\": 8, \"retry_ratio\": 0.2, \
             \"retry_slack\": {}, \"retry_window_s\": 10, \"heartbeat_ms\": 1200, \
             \"lapse_grace_ms\": 2000}}}}\n",
            ports.front,
            ports.ready,
            ports.metrics,
            ports.peers,
            self.store,
            seeds.join(","),
            self.retry_slack
        );
        let path = self.folder.join(format!("{name}.json"));
        fs::write(&path, settings).expect("settings");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("a log");
        let child = Command::new(PROGRAM)
            .env("ROOKFERRY_CONFIG", &path)
            .stdout(log.try_clone().expect("a log"))
            .stderr(Stdio::from(log))
            .spawn()
            .expect("the program of the deploy file");
        note_pid(child.id());
        Instance {
            name: name.to_owned(),
            ip,
            ports,
            child,
        }
    }
}

/// Notes a started process in the file that the script names, for its own cleaning up.
fn note_pid(pid: u32) {
    let Some(path) = std::env::var_os("STARTED_PIDS") else {
        return;
    };
    let file = File::options().append(true).create(true).open(path);
    let _ = file.and_then(|mut file| writeln!(file, "{pid}"));
}

/// Waits for a condition; false after a time limit.
pub fn wait_until(limit: Duration, mut holds: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !holds() {
        if Instant::now() >= until {
            return false;
        }
        thread::sleep(Duration::from_millis(50));
    }
    true
}

/// A new temporary folder.
pub fn temporary_folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("a folder");
    folder
}

/// Whether the program of the deploy file is there.
pub fn has_program() -> bool {
    Path::new(PROGRAM).exists()
}
