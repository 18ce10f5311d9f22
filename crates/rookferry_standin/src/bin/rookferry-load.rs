//! Sends a planned load to entry instances and reports latencies and outcomes.
//!
//! Exit codes: 0 if requests were sent and none was answered wrong or cut; 1 if the plan
//! can't be read or is invalid, or the report can't be written; 2 if an answer was wrong
//! or cut, no request was sent, or the arguments are invalid.

use std::fs;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Parser;
use rookferry_core::read_json;
use rookferry_net::read_text;
use rookferry_standin::LoadPlan;
use rookferry_standin::LoadRun;

/// Send open-loop load and compare each complete answer with the reference.
#[derive(Debug, Parser)]
#[command(version)]
struct Args {
    /// Path of the load plan (JSON).
    #[arg(long)]
    plan: PathBuf,
    /// File to write the report to, as JSON.
    #[arg(long)]
    report: Option<PathBuf>,
    /// Print the outcome of each request.
    #[arg(long)]
    show: bool,
}

#[tokio::main]
async fn main() -> ExitCode {
    match run(Args::parse()).await {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(message) => {
            eprintln!("rookferry-load: {message}");
            ExitCode::FAILURE
        }
    }
}

/// Returns whether requests were sent and none was answered wrong or cut.
async fn run(args: Args) -> Result<bool, String> {
    let text = read_text(&args.plan).map_err(|error| error.to_string())?;
    let plan: LoadPlan = read_json(&text).map_err(|errors| errors.to_string())?;
    if plan.targets.is_empty() || plan.accounts.is_empty() {
        return Err("the plan needs at least one target and one account".to_owned());
    }
    let load_run = LoadRun::run(plan).await;
    if args.show {
        for request in &load_run.requests {
            println!("{:?} {}", request.kind, show(&request.outcome));
        }
    }
    print!("{}", load_run.report.to_text());
    if let Some(path) = args.report {
        let json =
            serde_json::to_string_pretty(&load_run.report).map_err(|error| error.to_string())?;
        fs::write(path, json).map_err(|error| error.to_string())?;
    }
    let all_correct = load_run
        .report
        .kinds
        .values()
        .all(|kind| kind.wrong == 0 && kind.cut == 0);
    Ok(all_correct && !load_run.requests.is_empty())
}

fn show(outcome: &rookferry_standin::CallOutcome) -> String {
    match outcome {
        rookferry_standin::CallOutcome::Answered(answer) => {
            format!("{} {:?} {}", answer.id, answer.tokens, answer.body)
        }
        rookferry_standin::CallOutcome::Problem(problem) => {
            format!("{} {}", problem.request_id, problem.detail)
        }
        rookferry_standin::CallOutcome::Cut(message) => format!("cut: {message}"),
    }
}
