//! The subcommand `soak`: runs short plays, each of one real edge node process with faulty peers and clients,
//! and checks that every request gets a correct response in time, that no non-idempotent request is repeated
//! once it may have run, and that the node recovers and neither panics nor exits with an error. [`Violation`]
//! lists all of these rules. Everything that happens in a play is drawn from its seed.

mod client;
mod endpoints;
mod flood;
mod lateness;
pub(crate) mod message;
mod options;
mod plan;
mod play;
mod play_times;
mod rules;

use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub(crate) use client::request_text;
pub use options::Options;
pub use plan::{Behaviour, Plan};
pub use play::{PlayResult, Verdict};
pub use rules::{Counts, Ending, RequestLog, Violation};

use crate::error::BenchError;
use crate::node::limits;

/// Number of threads that run the clients and peers of all plays.
const THREADS: usize = 3;
/// File descriptors that this process needs for each play.
const DESCRIPTORS_PER_PLAY: u64 = 800;
/// File descriptors that this process needs apart from the plays.
const OTHER_DESCRIPTORS: u64 = 64;

/// Runs the plays and prints a line for each play, a line for each broken rule, and the totals.
///
/// # Errors
/// Returns an error if a play has failed (see [`Verdict`]), a node or its peers can't be started, or the
/// results can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    let results = play_all(&options)?;
    let count = |verdict| results.iter().filter(|result| result.verdict == verdict).count();
    let failed = count(Verdict::Failed);
    println!(
        "plays: {} passed, {failed} failed, {} disturbed",
        count(Verdict::Passed),
        count(Verdict::Disturbed)
    );
    if failed > 0 {
        return Err(BenchError::EdgeNode(format!("{failed} of {} plays broke a rule", results.len())));
    }
    Ok(())
}

/// Runs the plays, prints their results, and returns the results in the order in which the plays ended.
///
/// # Errors
/// Returns an error if a node or its peers can't be started, or the results can't be written.
pub fn play_all(options: &Options) -> Result<Vec<PlayResult>, BenchError> {
    options.check()?;
    limits::raise_descriptor_limit(u64::from(options.parallel) * DESCRIPTORS_PER_PLAY + OTHER_DESCRIPTORS)?;
    let runtime = limits::new_runtime(THREADS)?;
    let results = runtime.block_on(play_in_parallel(options));
    runtime.shutdown_background();
    results
}

async fn play_in_parallel(options: &Options) -> Result<Vec<PlayResult>, BenchError> {
    let permits = Arc::new(Semaphore::new(options.parallel as usize));
    let mut plays = JoinSet::new();
    for seed in options.seeds.clone() {
        let permits = permits.clone();
        let program = options.program.clone();
        plays.spawn(async move {
            let _permit = permits.acquire_owned().await;
            play::run(seed, &program).await
        });
    }
    let mut results = Vec::new();
    while let Some(played) = plays.join_next().await {
        let result = played.map_err(|error| BenchError::System {
            operation: "the task of a play panicked or was cancelled",
            source: std::io::Error::other(error),
        })??;
        print_result(&result);
        if let Some(path) = &options.out {
            append_result(path, &result)?;
        }
        results.push(result);
    }
    Ok(results)
}

fn print_result(result: &PlayResult) {
    // `lateness_ms` is the lateness of this process's timers, not that of requests.
    let PlayResult { seed, verdict, violations, counts, lateness_ms, .. } = result;
    println!(
        "seed {seed}: {verdict:?}, {} requests, {} served, {} not served, late by {lateness_ms} ms at most",
        counts.requests, counts.served, counts.not_served
    );
    for violation in violations {
        println!("  {violation}");
    }
}

/// Appends the result to the file as one line of JSON.
fn append_result(path: &Path, result: &PlayResult) -> Result<(), BenchError> {
    let failed = |source| BenchError::File { path: path.display().to_string(), source };
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path).map_err(failed)?;
    let line = serde_json::to_string(result).map_err(|error| failed(error.into()))?;
    writeln!(file, "{line}").map_err(failed)
}
