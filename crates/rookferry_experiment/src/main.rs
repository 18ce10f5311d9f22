//! Performance experiments behind the figures in the documentation.
//!
//! Each experiment starts stand-ins and entry instances in this process, sends load and
//! prints JSON. Every instance has its own named threads, so that its CPU time can be
//! measured separately. Compare ratios within one run; absolute times depend on the
//! machine.
#![forbid(unsafe_code)]

mod claims;
mod control;
mod overhead;
mod policies;
mod process;
mod recovery;
mod spread;
mod testbed;

use std::process::ExitCode;

use clap::Parser;
use clap::Subcommand;

/// Runs an experiment and prints its figures as JSON.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Measures throughput as a share of the upper bound, for each routing policy.
    Policies {
        /// Duration of the load for each policy, in seconds.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Loads, as multiples of the upper bound.
        #[arg(long, default_values_t = [0.9, 1.5])]
        load: Vec<f64>,
        /// Routing policies, by their names in the configuration.
        #[arg(long, default_values_t = policies::ALL_POLICIES.map(str::to_owned))]
        policy: Vec<String>,
        /// Overcommitment of engines; if absent, the configuration's default.
        #[arg(long)]
        overcommit: Option<f64>,
    },
    /// Measures the time from a fault until throughput has recovered.
    Recovery {
        /// Duration of the load for each fault, in seconds.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Runs only the faults whose name contains this text.
        #[arg(long)]
        only: Option<String>,
        /// Minimum step timeout in milliseconds; if absent, the configuration's default.
        #[arg(long)]
        floor_ms: Option<u64>,
    },
    /// Measures the time until an accepted configuration is active on every instance.
    Spread {
        /// Number of configurations to apply.
        #[arg(long, default_value_t = 100)]
        applies: u64,
    },
    /// Measures the latency and CPU time that an entry instance adds to a request.
    Overhead {
        /// Duration of each load, in seconds.
        #[arg(long, default_value_t = 6)]
        seconds: u64,
    },
    /// Measures the cost of the control plane, idle and by number of members and engines.
    Control {
        /// Duration of the measurement of each idle site, in seconds.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Measures the store writes and latency of calls with idempotency keys.
    Claims {
        /// Duration of the load at each rate, in seconds.
        #[arg(long, default_value_t = 6)]
        seconds: u64,
    },
}

fn main() -> ExitCode {
    let args = Args::parse();
    let figures = match args.experiment {
        Experiment::Policies {
            seconds,
            load,
            policy,
            overcommit,
        } => policies::run(seconds, &load, &policy, overcommit),
        Experiment::Recovery {
            seconds,
            only,
            floor_ms,
        } => recovery::run(seconds, only.as_deref(), floor_ms),
        Experiment::Spread { applies } => spread::run(applies),
        Experiment::Overhead { seconds } => overhead::run(seconds),
        Experiment::Control { seconds } => control::run(seconds),
        Experiment::Claims { seconds } => claims::run(seconds),
    };
    match serde_json::to_string_pretty(&figures) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("rookferry-experiment: {error}");
            ExitCode::FAILURE
        }
    }
}
