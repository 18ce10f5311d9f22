//! Burn-rate reports: how fast each service-level objective uses up its error budget,
//! over short and long windows and by client account.
//!
//! `sample` reads the cumulative counters of the instances and appends them to a file.
//! `report` renders the samples as text, JSON or a self-contained HTML page. Instances
//! store no history, so the file is the only one.
#![forbid(unsafe_code)]

mod history;
mod html;
mod report;
mod sample;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use clap::Subcommand;
use clap::ValueEnum;
use rookferry_net::read_text;

use crate::history::History;
use crate::report::Report;

/// Report how fast service-level objectives use up their error budgets.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Append the current counters of the instances to a file of samples.
    Sample {
        /// Operators' address of an instance (IP:PORT); repeat it for each instance.
        #[arg(long, required = true)]
        entry: Vec<SocketAddr>,
        /// File to append to, one JSON object per line; created if missing.
        #[arg(long)]
        samples: PathBuf,
        /// Number of sampling rounds.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Time between two rounds, in seconds.
        #[arg(long, default_value_t = 60)]
        every_s: u64,
    },
    /// Render a report from a file of samples.
    Report {
        /// The site's configuration (JSON), which defines the objectives.
        #[arg(long)]
        config: PathBuf,
        /// File of samples, as written by `sample`.
        #[arg(long)]
        samples: PathBuf,
        /// Output format.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Windows to report, in seconds, ending at the last sample.
        #[arg(long, value_delimiter = ',', default_values_t = [300, 3_600, 21_600, 259_200])]
        windows_s: Vec<u64>,
    },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Format {
    Text,
    Json,
    Html,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("rookferry-burn: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), String> {
    match args.command {
        Command::Sample {
            entry,
            samples,
            times,
            every_s,
        } => sample::run(&entry, &samples, times, Duration::from_secs(every_s)).await,
        Command::Report {
            config,
            samples,
            format,
            windows_s,
        } => {
            let text = read_text(&config).map_err(|error| error.to_string())?;
            let config = rookferry_core::SiteConfig::from_json(&text)
                .map_err(|errors| errors.to_string())?;
            let history = History::read(&samples)?;
            let report = Report::new(&config, &history, &windows_s);
            match format {
                Format::Text => print!("{}", report.to_text()),
                Format::Json => println!("{}", report.to_json()),
                Format::Html => println!("{}", html::render_page(&report)),
            }
            Ok(())
        }
    }
}
