//! Arrival times of requests.

use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use rand_distr::Distribution;
use rand_distr::Exp;
use serde::Deserialize;
use serde::Serialize;

/// Arrival process of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case", deny_unknown_fields)]
pub enum Arrivals {
    /// Equal intervals.
    Steady,
    /// A Poisson process.
    #[default]
    Poisson,
    /// A Poisson process with `factor` times the mean rate for the first part of each
    /// period, and a lower rate for the rest that keeps the mean.
    Bursts {
        /// Length of a period.
        period_ms: u64,
        /// Share of the period with the higher rate, between 0 and 1.
        part: f64,
        /// Rate of the bursts, as a multiple of the mean.
        factor: f64,
    },
    /// A Poisson process whose rate follows a sine with the period of a day.
    Day {
        /// Length of a day.
        period_ms: u64,
        /// Amplitude as a share of the mean, between 0 and 1.
        swing: f64,
    },
}

impl Arrivals {
    /// Times from the start at which requests are due, in order.
    #[must_use]
    pub fn times(self, rng: &mut StdRng, rate_per_s: f64, duration: Duration) -> Vec<Duration> {
        if self == Self::Steady {
            return steady(rate_per_s, duration);
        }
        let peak_per_s = rate_per_s * self.peak_factor();
        let Ok(gaps) = Exp::new(peak_per_s) else {
            return Vec::new();
        };
        let mut times = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += gaps.sample(rng);
            if at_s >= duration.as_secs_f64() {
                return times;
            }
            // Thinning: accepted with probability (current rate / peak rate).
            let is_accepted = rng.random::<f64>() < self.factor(at_s) / self.peak_factor();
            if is_accepted {
                times.push(Duration::from_secs_f64(at_s));
            }
        }
    }

    /// Highest rate as a multiple of the mean.
    fn peak_factor(self) -> f64 {
        match self {
            Self::Steady | Self::Poisson => 1.0,
            Self::Bursts { factor, .. } => factor.max(1.0),
            Self::Day { swing, .. } => 1.0 + swing,
        }
    }

    /// Rate at a time as a multiple of the mean.
    fn factor(self, at_s: f64) -> f64 {
        match self {
            Self::Steady | Self::Poisson => 1.0,
            Self::Bursts {
                period_ms,
                part,
                factor,
            } => {
                let phase = phase(at_s, period_ms);
                let base_factor = ((1.0 - factor * part) / (1.0 - part)).max(0.0);
                if phase < part { factor } else { base_factor }
            }
            Self::Day { period_ms, swing } => {
                let phase = phase(at_s, period_ms);
                1.0 + swing * (phase * std::f64::consts::TAU).sin()
            }
        }
    }
}

/// Share of the current period that has passed, from 0 to 1.
fn phase(at_s: f64, period_ms: u64) -> f64 {
    let period = Duration::from_millis(period_ms.max(1));
    (at_s / period.as_secs_f64()).fract()
}

fn steady(rate_per_s: f64, duration: Duration) -> Vec<Duration> {
    let gap_s = 1.0 / rate_per_s;
    let mut times = Vec::new();
    let mut at_s = 0.0;
    while at_s < duration.as_secs_f64() {
        times.push(Duration::from_secs_f64(at_s));
        at_s += gap_s;
    }
    times
}
