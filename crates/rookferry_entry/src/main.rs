//! Runs an entry instance until it gets SIGTERM or SIGINT.
//!
//! Exits with code 3 if requests were still active when the drain timed out, and
//! with 1 on an error.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use rookferry_entry::Entry;
use rookferry_entry::EntrySettings;
use rookferry_net::read_text;
use rookferry_net::root_logger;
use rookferry_net::write_addresses;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Run an entry instance of rookferry.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Path of the instance's settings (JSON).
    #[arg(long)]
    config: PathBuf,
    /// File to write the listening addresses to, as JSON, after startup.
    #[arg(long)]
    addresses: Option<PathBuf>,
    /// Validate the settings, print all errors and exit without starting.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        // The drain timed out with active requests.
        Ok(false) => ExitCode::from(3),
        Err(message) => {
            eprintln!("rookferry-entry: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<bool, String> {
    let text = read_text(&args.config).map_err(|error| error.to_string())?;
    let settings = EntrySettings::from_json(&text).map_err(|errors| errors.to_string())?;
    if args.check {
        println!("{}: no errors", args.config.display());
        return Ok(true);
    }
    let log = root_logger(settings.log_format, settings.log_level, &settings.instance);
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    let entry = Entry::start(settings, log.clone())
        .await
        .map_err(|error| error.to_string())?;
    if let Some(path) = &args.addresses {
        write_addresses(path, &entry.addrs()).map_err(|error| error.to_string())?;
    }
    tokio::select! {
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    let is_drained = entry.leave().await;
    info!(log, "entry: stopped"; "part" => "entry", "drained" => is_drained);
    Ok(is_drained)
}
