//! A soak: many short plays of one real node whose peers and clients make trouble, all drawn from the play's seed, and
//! the rules of the service checked on each.

mod client;
mod endpoints;
mod flood;
mod message;
mod options;
mod phase;
mod plan;
mod play;
mod rules;

use std::io::Write;
use std::path::Path;
use std::sync::Arc;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;

pub use options::Options;
pub use plan::{Behaviour, Plan};
pub use play::{PlayResult, Verdict};
pub use rules::{Counts, Ending, Ledger, Violation};

use crate::error::BenchError;
use crate::node::limits;

/// Threads that serve clients and peers.
const THREADS: usize = 3;
/// Descriptors of this process for each play, and for all else.
const DESCRIPTORS_PER_PLAY: u64 = 800;
const OWN_DESCRIPTORS: u64 = 64;

/// Makes the plays, prints a line for each, and fails if one of them has failed.
///
/// # Errors
/// If a rule was broken, the node can't be started, or the lines can't be written.
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

/// Makes the plays, prints a line for each, and returns their results in the order in which they ended.
///
/// # Errors
/// If the node can't be started, or the lines can't be written.
pub fn play_all(options: &Options) -> Result<Vec<PlayResult>, BenchError> {
    options.check()?;
    limits::allow_descriptors(u64::from(options.parallel) * DESCRIPTORS_PER_PLAY + OWN_DESCRIPTORS)?;
    let runtime = limits::new_runtime(THREADS)?;
    let results = runtime.block_on(play_in_parallel(options));
    runtime.shutdown_background();
    results
}

async fn play_in_parallel(options: &Options) -> Result<Vec<PlayResult>, BenchError> {
    let places = Arc::new(Semaphore::new(options.parallel as usize));
    let mut plays = JoinSet::new();
    for seed in options.seeds.clone() {
        let places = places.clone();
        let program = options.program.clone();
        plays.spawn(async move {
            let _place = places.acquire_owned().await;
            play::run(seed, &program).await
        });
    }
    let mut results = Vec::new();
    while let Some(played) = plays.join_next().await {
        let result = played.map_err(|error| BenchError::System {
            what: "a play has not ended in order",
            source: std::io::Error::other(error),
        })??;
        print_line(&result);
        if let Some(path) = &options.out {
            append(path, &result)?;
        }
        results.push(result);
    }
    Ok(results)
}

fn print_line(result: &PlayResult) {
    let PlayResult { seed, verdict, violations, counts, lateness_ms, .. } = result;
    println!(
        "seed {seed}: {verdict:?}, {} requests, {} served, {} not served, late by {lateness_ms} ms at most",
        counts.requests, counts.served, counts.not_served
    );
    for violation in violations {
        println!("  {violation}");
    }
}

fn append(path: &Path, result: &PlayResult) -> Result<(), BenchError> {
    let failed = |source| BenchError::File { path: path.display().to_string(), source };
    let mut file = std::fs::OpenOptions::new().create(true).append(true).open(path).map_err(failed)?;
    let line = serde_json::to_string(result).map_err(|error| failed(error.into()))?;
    writeln!(file, "{line}").map_err(failed)
}
