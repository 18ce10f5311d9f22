//! The summary of a site: text by `Display`, JSON by serialisation.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;

use serde::Serialize;

use super::metrics::InstanceMetrics;

/// Maximum number of addresses on a line of text; `--json` has all.
const MAX_LISTED_ADDRESSES: usize = 8;

/// Metrics of a site, summed or grouped over its instances.
#[derive(Clone, Debug, Default, Serialize)]
pub(crate) struct SiteOverview {
    /// Number of queried instances.
    pub(crate) asked: usize,
    /// Instances that answered, by software version.
    pub(crate) by_software: BTreeMap<String, Vec<SocketAddr>>,
    /// The same by version of the active configuration.
    pub(crate) by_config: BTreeMap<u64, Vec<SocketAddr>>,
    /// The same by number of instances they know.
    pub(crate) by_known: BTreeMap<u64, Vec<SocketAddr>>,
    /// The same by number of servers that don't answer them.
    pub(crate) by_servers_out: BTreeMap<u64, Vec<SocketAddr>>,
    /// Lease holders, which order engines.
    pub(crate) holders: Vec<SocketAddr>,
    /// The instance whose configuration was confirmed the longest ago, `None` if none
    /// reports an age.
    pub(crate) oldest_config: Option<OldestConfig>,
    /// Requests in progress.
    pub(crate) requests_under_way: u64,
    /// Requests answered since the instances started.
    pub(crate) served: u64,
    /// Requests refused since then, by cause.
    pub(crate) refusals: BTreeMap<String, u64>,
    /// Retries since then, by outcome.
    pub(crate) retries: BTreeMap<String, u64>,
    /// Instances without an answer, and the cause.
    pub(crate) silent: BTreeMap<SocketAddr, String>,
}

/// An instance, and seconds since its configuration was confirmed to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub(crate) struct OldestConfig {
    pub(crate) addr: SocketAddr,
    pub(crate) age_s: f64,
}

impl SiteOverview {
    /// Adds an instance's metrics, or the cause why there are none.
    pub(crate) fn add_result(&mut self, addr: SocketAddr, result: Result<InstanceMetrics, String>) {
        self.asked += 1;
        match result {
            Ok(metrics) => self.add_metrics(addr, metrics),
            Err(cause) => {
                self.silent.insert(addr, cause);
            }
        }
    }

    fn add_metrics(&mut self, addr: SocketAddr, metrics: InstanceMetrics) {
        add_to_group(&mut self.by_software, metrics.software, addr);
        add_to_group(&mut self.by_config, metrics.config_version, addr);
        add_to_group(&mut self.by_known, metrics.known_instances, addr);
        add_to_group(&mut self.by_servers_out, metrics.unresponsive_servers, addr);
        if metrics.holds_lease {
            self.holders.push(addr);
        }
        if let Some(age_s) = metrics.config_age_s
            && self.oldest_config.is_none_or(|oldest| oldest.age_s < age_s)
        {
            self.oldest_config = Some(OldestConfig { addr, age_s });
        }
        self.requests_under_way += metrics.active_requests;
        self.served += metrics.served;
        add_counts(&mut self.refusals, metrics.refusals);
        add_counts(&mut self.retries, metrics.retries);
    }

    fn answered(&self) -> usize {
        self.asked - self.silent.len()
    }
}

fn add_to_group<K: Ord>(groups: &mut BTreeMap<K, Vec<SocketAddr>>, key: K, addr: SocketAddr) {
    groups.entry(key).or_default().push(addr);
}

fn add_counts(sums: &mut BTreeMap<String, u64>, more: BTreeMap<String, u64>) {
    for (key, count) in more {
        *sums.entry(key).or_default() += count;
    }
}

impl fmt::Display for SiteOverview {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answered = format!("{} of {} answered", self.answered(), self.asked);
        write_line(f, "instances", &answered)?;
        write_groups(f, "software", &self.by_software)?;
        write_groups(f, "configuration", &self.by_config)?;
        if let Some(OldestConfig { addr, age_s }) = self.oldest_config {
            let oldest = format!("{age_s:.1} s ago at the longest, by {addr}");
            write_line(f, "confirmed", &oldest)?;
        }
        write_groups(f, "instances known", &self.by_known)?;
        write_groups(f, "servers out", &self.by_servers_out)?;
        let holders = match self.holders.as_slice() {
            [] => "nobody".to_owned(),
            holders => list_addresses(holders),
        };
        write_line(f, "orders engines", &holders)?;
        let requests = format!(
            "{} under way, {} answered",
            self.requests_under_way, self.served
        );
        write_line(f, "requests", &requests)?;
        write_sums(f, "refused", &self.refusals)?;
        write_sums(f, "repeats", &self.retries)?;
        for (addr, cause) in &self.silent {
            write_line(f, "no answer", &format!("{addr}: {cause}"))?;
        }
        Ok(())
    }
}

fn write_line(f: &mut fmt::Formatter<'_>, title: &str, text: &str) -> fmt::Result {
    writeln!(f, "{title:<16} {text}")
}

/// Writes one line per value: the number of instances with it, and their addresses
/// unless no other value has more instances.
fn write_groups<K: fmt::Display>(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    groups: &BTreeMap<K, Vec<SocketAddr>>,
) -> fmt::Result {
    let most = groups.values().map(Vec::len).max().unwrap_or(0);
    for (value, addrs) in groups {
        let mut text = format!("{value}: {}", addrs.len());
        if addrs.len() < most {
            text = format!("{text} ({})", list_addresses(addrs));
        }
        write_line(f, title, &text)?;
    }
    Ok(())
}

fn write_sums(
    f: &mut fmt::Formatter<'_>,
    title: &str,
    sums: &BTreeMap<String, u64>,
) -> fmt::Result {
    if sums.is_empty() {
        return Ok(());
    }
    let sums: Vec<String> = sums
        .iter()
        .map(|(key, count)| format!("{key} {count}"))
        .collect();
    write_line(f, title, &sums.join(", "))
}

/// Lists the first addresses, and the number of those left out.
fn list_addresses(addrs: &[SocketAddr]) -> String {
    let first = addrs.iter().take(MAX_LISTED_ADDRESSES);
    let mut names: Vec<String> = first.map(ToString::to_string).collect();
    if let Some(more) = addrs
        .len()
        .checked_sub(MAX_LISTED_ADDRESSES)
        .filter(|more| *more > 0)
    {
        names.push(format!("{more} more"));
    }
    names.join(", ")
}
