//! The subcommand `node`: measures one real edge node process under load. This process sends the requests as
//! the node's clients, and runs fakes of the node's peers: the endpoints, the discovery agent and the counter
//! service.

pub(crate) mod configuration;
mod figures;
pub(crate) mod limits;
pub mod load;
mod option_values;
mod options;
mod peers;
mod phases;
pub(crate) mod process;
mod usage;

use std::time::Duration;

use tokio::runtime::Runtime;
use tokio::time::timeout;

pub use option_values::{AgentReturn, Arrivals, InitialList, Span, WorkTimes};
pub use options::Options;

use crate::error::BenchError;
use crate::fakes::endpoints::WorkModel;
use crate::report::Report;
use load::schedule::RequestSchedule;
use peers::{Peers, StartedPeers};
use process::{StartedProcess, StartingNode};

/// Number of threads that run the clients and the fake endpoints.
const DATA_THREADS: usize = 2;
/// Number of threads that run the fake discovery agent and the fake counter service. These threads are
/// separate because writing a snapshot of the endpoint list takes some tens of milliseconds, which would
/// delay responses whose latency is measured.
const CONTROL_THREADS: usize = 1;

/// Runs the measurement and prints its figures.
///
/// # Errors
/// Returns an error if the arguments contradict each other, the operating system denies a resource, the edge
/// node fails, the run is interrupted, or the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    measure(&options)?.print(&options.output)
}

/// Runs the measurement and returns its figures. When this returns, the edge node's process has been killed
/// and the fakes are being shut down.
///
/// # Errors
/// Returns an error if the arguments contradict each other, the operating system denies a resource, the edge
/// node fails, or the run is interrupted.
pub fn measure(options: &Options) -> Result<Report, BenchError> {
    options.check()?;
    limits::raise_descriptor_limit(options.descriptors())?;
    let data = limits::new_runtime(DATA_THREADS)?;
    let control = limits::new_runtime(CONTROL_THREADS)?;
    let result = data.block_on(measure_async(options, &control));
    data.shutdown_background();
    control.shutdown_background();
    result
}

async fn measure_async(options: &Options, control: &Runtime) -> Result<Report, BenchError> {
    let schedule = RequestSchedule::draw(options);
    let work = peers::work_model(options);
    let request_count = schedule.requests().len() as u32;
    let started = Peers::start(options, control, work, request_count).await?;
    let StartedPeers { peers, initial_list } = started;
    let snapshot = peers.agent.snapshot_text().map_err(|error| BenchError::System {
        operation: "cannot serialize the endpoint list",
        source: error.into(),
    })?;
    let configuration = configuration::write(options, peers.addresses(), initial_list)?;
    peers.start_list_changes(options, control);
    let interruption = limits::interruption()?;
    let StartedProcess { mut process, node: starting } =
        StartedProcess::start(&options.program, configuration.path())?;
    let time_limit = options.time_limit();
    let run = Run { options, control, peers, schedule, work, list_bytes: snapshot.len() };
    let result = tokio::select! {
        result = timeout(time_limit, run.measure(starting)) => result.unwrap_or_else(|_| {
            Err(BenchError::EdgeNode(format!("the run exceeded its time limit of {time_limit:?}")))
        }),
        error = process.unexpected_exit() => Err(error),
        error = interruption => Err(error),
    };
    // The process is killed however the run ended, so that none is left behind.
    process.kill().await;
    result
}

/// What a run needs once the edge node's process is started.
struct Run<'a> {
    options: &'a Options,
    control: &'a Runtime,
    peers: Peers,
    schedule: RequestSchedule,
    work: WorkModel,
    /// Size of a snapshot of the agent's endpoint list at the start of the run, in bytes.
    list_bytes: usize,
}

impl Run<'_> {
    async fn measure(self, starting: StartingNode) -> Result<Report, BenchError> {
        let ready_limit = Duration::from_secs_f64(self.options.ready_limit_s);
        let edge = starting.wait_until_listening(ready_limit).await?;
        let mut report = figures::new_report(self.options);
        report.add("ready_s", edge.wait_until_ready(ready_limit).await?.as_secs_f64(), "s");
        report.add("list_bytes", self.list_bytes as f64, "bytes");
        report.add("agent_out_bytes_at_ready", self.peers.agent.byte_counts().sent as f64, "bytes");
        let phases =
            phases::run(self.options, self.control, &edge, &self.peers, self.schedule, self.work).await?;
        figures::add_figures(&phases, &mut report);
        Ok(report)
    }
}
