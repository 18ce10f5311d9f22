//! Command-line tool for operators. Subcommands: `check`, `apply` and `get` validate,
//! write and print configurations; `status` and `site` show the state of an instance and
//! of a site; `explain` and `trace` show how a request was handled; `digest` computes the
//! digest of a client account's key.
#![forbid(unsafe_code)]

mod apply;
mod args;
mod error;
mod explain;
mod output;
mod site;
mod status;
mod trace;

use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use rookferry_core::SiteConfig;
use rookferry_net::HttpClient;
use rookferry_net::HttpPlatform;
use rookferry_net::Platform;
use rookferry_wire::CONFIG_KIND;
use rookferry_wire::CONFIG_NAME;

use crate::args::Args;
use crate::args::Command;
use crate::error::CtlError;
use crate::site::InstanceList;
use crate::site::SiteQuery;
use crate::trace::Timeline;

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("rookferryctl: {error}");
            error.exit_code()
        }
    }
}

async fn run(args: Args) -> Result<(), CtlError> {
    let client = HttpClient::new();
    match args.command {
        Command::Check { file } => {
            let text = error::read_file(&file)?;
            SiteConfig::from_json(&text).map_err(|errors| CtlError::InvalidConfig { errors })?;
            println!("{}: no errors", file.display());
            Ok(())
        }
        Command::Apply {
            platform,
            expected,
            file,
        } => {
            let text = error::read_file(&file)?;
            let platform = HttpPlatform::new(client, platform);
            let message = apply::apply(&platform, &text, expected).await?;
            println!("{message}");
            Ok(())
        }
        Command::Get { platform } => {
            let platform = HttpPlatform::new(client, platform);
            let object = platform.get(CONFIG_KIND, CONFIG_NAME).await;
            let object = object.map_err(|source| CtlError::Platform { source })?;
            let object = object.ok_or(CtlError::NoConfig)?;
            println!(
                "{}",
                serde_json::to_string_pretty(&object.value).unwrap_or_default()
            );
            eprintln!("version {}", object.version);
            Ok(())
        }
        Command::Status { entry } => status::show(&client, entry).await,
        Command::Site {
            select,
            wait_ms,
            json,
            file,
        } => {
            let list = InstanceList::read(&file)?.matching(&select);
            if list.instances.is_empty() {
                return Err(CtlError::NoMatch);
            }
            let query = SiteQuery::new(Duration::from_millis(wait_ms)).with_json(json);
            query.run(&client, list).await
        }
        Command::Explain { entry, request_id } => explain::show(&client, entry, &request_id).await,
        Command::Trace {
            window_ms,
            select,
            request_id,
            files,
        } => Timeline::new(&request_id, window_ms, &select).show(&files),
        Command::Digest => {
            println!("{}", error::digest_of_stdin()?);
            Ok(())
        }
    }
}
