//! Experiments that the figures on the project's pages come from.
//!
//! Each starts stand-ins and entry instances in this process, every instance
//! with threads of its own, so that its processor time can be told apart.
//! Ratios within one run are meant to be compared; absolute times depend on
//! the machine.
#![forbid(unsafe_code)]

mod bench;
mod claims;
mod control;
mod overhead;
mod policies;
mod process;
mod recovery;
mod spread;

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
    /// Throughput as a share of the bound, beside the baselines.
    Policies {
        /// How long each policy is loaded.
        #[arg(long, default_value_t = 8)]
        seconds: u64,
        /// Loads as multiples of the bound.
        #[arg(long, default_values_t = [0.9, 1.5])]
        load: Vec<f64>,
        /// Policies, as the configuration names them.
        #[arg(long, default_values_t = policies::ALL.map(str::to_owned))]
        policy: Vec<String>,
        /// Overcommitment of engines; the default's if absent.
        #[arg(long)]
        overcommit: Option<f64>,
    },
    /// Time from a fault until the tokens a second are back.
    Recovery {
        /// How long each fault's load lasts.
        #[arg(long, default_value_t = 12)]
        seconds: u64,
        /// Only faults whose name holds this.
        #[arg(long)]
        only: Option<String>,
        /// The floor of step timeouts; the default's if absent.
        #[arg(long)]
        floor_ms: Option<u64>,
    },
    /// Time from a configuration's acceptance until it is in force everywhere.
    Spread {
        /// Configurations applied.
        #[arg(long, default_value_t = 100)]
        applies: u64,
    },
    /// Time and processor time that an entry instance adds to a request.
    Overhead {
        /// How long each load lasts.
        #[arg(long, default_value_t = 6)]
        seconds: u64,
    },
    /// What control costs a node, and its slopes by members and engines.
    Control {
        /// How long the idle site is watched.
        #[arg(long, default_value_t = 10)]
        seconds: u64,
    },
    /// Claims a second and writes that they cost.
    Claims {
        /// How long keyed calls are sent.
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
