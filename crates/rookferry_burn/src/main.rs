//! The report on service-level burn: how fast each objective's error budget
//! is used up, by whom, over short and long windows.
//!
//! `sample` reads the counts of all instances and appends them to a file;
//! `report` makes text, JSON or one self-contained HTML page of it. Instances
//! keep nothing, so that the file is all the history there is.
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

/// Reports how service-level objectives burn their error budgets.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Reads the counts of all instances and appends them to a file.
    Sample {
        /// Instances' addresses for operators.
        #[arg(long, required = true)]
        entry: Vec<SocketAddr>,
        /// The file, a JSON object a line.
        #[arg(long)]
        samples: PathBuf,
        /// How many times to sample.
        #[arg(long, default_value_t = 1)]
        times: u64,
        /// Seconds between samples.
        #[arg(long, default_value_t = 60)]
        every_s: u64,
    },
    /// Makes a report of the samples.
    Report {
        /// The site's configuration, for the objectives.
        #[arg(long)]
        config: PathBuf,
        /// The file of samples.
        #[arg(long)]
        samples: PathBuf,
        /// How it is written.
        #[arg(long, value_enum, default_value_t = Format::Text)]
        format: Format,
        /// Windows in seconds, shortest first.
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
                .map_err(|faults| faults.to_string())?;
            let history = History::read(&samples)?;
            let report = Report::new(&config, &history, &windows_s);
            match format {
                Format::Text => print!("{}", report.to_text()),
                Format::Json => println!("{}", report.to_json()),
                Format::Html => println!("{}", html::page(&report)),
            }
            Ok(())
        }
    }
}
