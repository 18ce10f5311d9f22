//! Runs one controller until it receives SIGTERM or an interrupt.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use rookferry_controller::Controller;
use rookferry_controller::ControllerSettings;
use rookferry_net::read_text;
use rookferry_net::root_logger;
use slog::info;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

/// Send fenced placement orders to a failure domain's engines while holding its lease.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Path of the controller's settings (JSON).
    #[arg(long)]
    config: PathBuf,
    /// Validate the settings, print all errors and exit without starting.
    #[arg(long)]
    check: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("rookferry-controller: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), String> {
    let text = read_text(&args.config).map_err(|error| error.to_string())?;
    let settings = ControllerSettings::from_json(&text).map_err(|errors| errors.to_string())?;
    if args.check {
        println!("{}: no errors", args.config.display());
        return Ok(());
    }
    let log = root_logger(settings.log_format, settings.log_level, &settings.instance);
    let mut terminate = signal(SignalKind::terminate()).map_err(|error| error.to_string())?;
    info!(log, "controller: started"; "part" => "controller");
    tokio::select! {
        () = Controller::new(settings, log.clone()).run() => {}
        _ = terminate.recv() => {}
        _ = tokio::signal::ctrl_c() => {}
    }
    info!(log, "controller: stopped"; "part" => "controller");
    Ok(())
}
