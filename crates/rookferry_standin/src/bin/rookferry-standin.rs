//! Runs stand-ins of the external systems until it is stopped. Prints their addresses as
//! JSON once all of them listen.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use rookferry_core::read_json;
use rookferry_net::read_text;
use rookferry_net::write_addresses;
use rookferry_standin::Site;
use rookferry_standin::SiteSpec;

/// Runs stand-ins of the platform, model engines and application engines.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Stand-ins to start, a JSON file; see `SiteSpec`.
    #[arg(long)]
    config: PathBuf,
    /// File to write the listening addresses to, as JSON, after startup.
    #[arg(long)]
    addresses: Option<PathBuf>,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("rookferry-standin: {message}");
            ExitCode::FAILURE
        }
    }
}

async fn run(args: Args) -> Result<(), String> {
    let text = read_text(&args.config).map_err(|error| error.to_string())?;
    let spec: SiteSpec = read_json(&text).map_err(|errors| errors.to_string())?;
    let site = Site::start(spec).await.map_err(|error| error.to_string())?;
    let addresses = serde_json::to_string(&site.addrs).map_err(|error| error.to_string())?;
    if let Some(path) = args.addresses {
        write_addresses(&path, &site.addrs).map_err(|error| error.to_string())?;
    }
    println!("{addresses}");
    std::future::pending().await
}
