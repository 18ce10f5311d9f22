//! Choice of an instance of a plain service, that is, a backend other than engines.

use std::net::SocketAddr;
use std::sync::Arc;

use rookferry_wire::DomainId;
use rookferry_wire::InstanceId;
use rookferry_wire::Labels;

use super::Candidate;
use super::CandidateVerdict;
use super::EngineState;
use super::EngineStats;

/// Assumed cost of an instance without measurements, so that it gets tried.
const UNMEASURED_COST_US: u64 = 500;
/// Extra cost per consecutive failure.
const FAILURE_COST_US: u64 = 100_000;

/// An instance of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceInstance {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Address that it listens on.
    pub addr: SocketAddr,
    /// Failure domain of the instance.
    pub failure_domain: DomainId,
    /// Own labels, without the derived ones.
    pub labels: Labels,
    /// Whether it gets new work.
    pub state: EngineState,
    /// Measurements, shared with the request path.
    pub stats: Arc<EngineStats>,
}

impl ServiceInstance {
    /// Labels that selectors match: the own ones, the name and the failure domain.
    #[must_use]
    pub fn selector_labels(&self) -> Labels {
        let mut labels = self.labels.clone();
        labels.insert("instance".to_owned(), self.instance.to_string());
        labels.insert("failure_domain".to_owned(), self.failure_domain.to_string());
        labels
    }

    /// Expected time of a call in microseconds: the mean round trip, times the calls in
    /// flight and this one, plus a penalty per consecutive failure.
    #[must_use]
    pub fn cost_us(&self) -> u64 {
        let round_trip = self.stats.round_trip();
        let one_us = round_trip.map_or(UNMEASURED_COST_US, |time| {
            u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
        });
        let calls = u64::from(self.stats.own_streams()) + 1;
        one_us.saturating_mul(calls)
            + u64::from(self.stats.consecutive_failures()) * FAILURE_COST_US
    }
}

/// The usable instance with the lowest expected time, and a verdict on each instance.
///
/// An instance in `own_domain` is preferred while any there is usable.
#[must_use]
pub fn choose_service<'a>(
    instances: &'a [ServiceInstance],
    own_domain: &str,
    excluded: &[InstanceId],
) -> (Option<&'a ServiceInstance>, Vec<Candidate>) {
    let usable =
        |instance: &&ServiceInstance| verdict(instance, excluded) == CandidateVerdict::Costlier;
    let is_local = |instance: &&ServiceInstance| *instance.failure_domain == *own_domain;
    let local = instances.iter().filter(usable).filter(is_local);
    let best = local.min_by_key(|instance| instance.cost_us()).or_else(|| {
        instances
            .iter()
            .filter(usable)
            .min_by_key(|instance| instance.cost_us())
    });
    let candidates = instances.iter().map(|instance| Candidate {
        engine: instance.instance.clone(),
        cost_us: instance.cost_us(),
        verdict: if best.is_some_and(|best| best.instance == instance.instance) {
            CandidateVerdict::Chosen
        } else {
            verdict(instance, excluded)
        },
    });
    (best, candidates.collect())
}

fn verdict(instance: &ServiceInstance, excluded: &[InstanceId]) -> CandidateVerdict {
    match instance.state {
        EngineState::Leaving => CandidateVerdict::Leaving,
        EngineState::Lost => CandidateVerdict::Lost,
        EngineState::Live if excluded.contains(&instance.instance) => CandidateVerdict::Excluded,
        EngineState::Live => CandidateVerdict::Costlier,
    }
}
