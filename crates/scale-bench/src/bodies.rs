//! The subcommand `bodies`: measures how much memory one real edge node process takes for long messages that
//! arrive in small pieces, beside the memory that their bytes take.

mod clients;
mod endpoints;
mod framing;
mod measurement;
mod options;

pub use framing::Kind;
pub use options::Options;

use serde::Serialize;

use crate::error::BenchError;
use crate::node::limits;
use crate::report::print_result;
use measurement::{measure, Measurement, Setup};

/// Number of threads that run the clients and the peers.
const THREADS: usize = 4;
/// File descriptors that this process needs for each client: its connection, and the endpoint's.
const DESCRIPTORS_PER_CLIENT: u64 = 2;
/// File descriptors that this process needs apart from the clients.
const OTHER_DESCRIPTORS: u64 = 128;

/// The result of the subcommand.
#[derive(Serialize)]
struct BodiesReport<'a> {
    command: &'static str,
    arguments: &'a Options,
    measurements: Vec<Measurement>,
}

/// Measures every combination of the arguments and prints a line for each.
///
/// # Errors
/// Returns an error if the operating system denies a resource, the edge node can't be started or exits, or
/// the results can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    let most_clients = options.clients.iter().copied().max().unwrap_or(0);
    limits::raise_descriptor_limit(u64::from(most_clients) * DESCRIPTORS_PER_CLIENT + OTHER_DESCRIPTORS)?;
    let runtime = limits::new_runtime(THREADS)?;
    let measured = runtime.block_on(measure_all(&options));
    runtime.shutdown_background();
    let measurements = measured?;
    let table = table(&measurements);
    print_result(
        &BodiesReport { command: "bodies", arguments: &options, measurements },
        &table,
        &options.output,
    )
}

async fn measure_all(options: &Options) -> Result<Vec<Measurement>, BenchError> {
    let mut measurements = Vec::new();
    for &kind in &options.kinds {
        for &memory_mb in &options.memory_mb {
            for &clients in &options.clients {
                for &piece_bytes in &options.piece_bytes {
                    let setup = Setup { kind, memory_mb, clients, piece_bytes, options };
                    measurements.push(measure(&setup).await?);
                }
            }
        }
    }
    Ok(measurements)
}

fn table(measurements: &[Measurement]) -> String {
    let heading =
        "kind              limit MB  clients  piece  whole  rejected  other  before MB  held MB  peak MB  \
                   growth/held  peak/(before+held)\n";
    let rows = measurements.iter().map(|row| {
        format!(
            "{:16}  {:8}  {:7}  {:5}  {:5}  {:8}  {:5}  {:9.1}  {:7.1}  {:7.1}  {:11.2}  {:18.2}\n",
            row.kind.to_string(),
            row.memory_mb,
            row.clients,
            row.piece_bytes,
            row.whole,
            row.rejected,
            row.other,
            row.before_mb,
            row.held_mb,
            row.peak_mb,
            row.growth_over_held,
            row.peak_over_needed
        )
    });
    rows.fold(heading.to_owned(), |table, row| table + &row)
}
