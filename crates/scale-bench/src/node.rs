//! One real edge node process before fakes of all its peers.

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

/// Threads that serve clients and endpoints.
const DATA_THREADS: usize = 2;
/// Threads that serve the discovery agent and the counter service. They are threads of their own because a snapshot
/// of the list takes some tens of milliseconds, and would hold up a response that is measured.
const CONTROL_THREADS: usize = 1;

/// Makes the run and prints its figures.
///
/// # Errors
/// If the arguments make no sense together, the edge node fails, or the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    measure(&options)?.print(&options.output)
}

/// Makes the run and returns its figures. The fakes and the edge node's process end with it.
///
/// # Errors
/// If the arguments make no sense together or the edge node fails.
pub fn measure(options: &Options) -> Result<Report, BenchError> {
    options.check()?;
    limits::allow_descriptors(options.descriptors())?;
    let data = limits::new_runtime(DATA_THREADS)?;
    let control = limits::new_runtime(CONTROL_THREADS)?;
    let result = data.block_on(measure_in(options, &control));
    data.shutdown_background();
    control.shutdown_background();
    result
}

async fn measure_in(options: &Options, control: &Runtime) -> Result<Report, BenchError> {
    let schedule = RequestSchedule::draw(options);
    let work = peers::work_model(options);
    let request_count = schedule.requests().len() as u32;
    let started = Peers::start(options, control, work, request_count).await?;
    let StartedPeers { peers, initial_list } = started;
    let snapshot = peers
        .agent
        .snapshot_text()
        .map_err(|error| BenchError::System { what: "cannot write the list", source: error.into() })?;
    let configuration = configuration::write(options, peers.addresses(), initial_list)?;
    peers.start_list_changes(options, control);
    let interruption = limits::interruption()?;
    let StartedProcess { mut process, node: starting } =
        StartedProcess::start(&options.program, configuration.path())?;
    let time_limit = options.time_limit();
    let run = Run { options, control, peers, schedule, work, list_bytes: snapshot.len() };
    let result = tokio::select! {
        result = timeout(time_limit, run.measure(starting)) => result.unwrap_or_else(|_| {
            Err(BenchError::EdgeNode(format!("the run has taken over {time_limit:?}")))
        }),
        error = process.ended() => Err(error),
        error = interruption => Err(error),
    };
    // However the run ended, the process has ended before this returns.
    process.kill().await;
    result
}

/// All that a run needs once the edge node's process is started.
struct Run<'a> {
    options: &'a Options,
    control: &'a Runtime,
    peers: Peers,
    schedule: RequestSchedule,
    work: WorkModel,
    list_bytes: usize,
}

impl Run<'_> {
    async fn measure(self, starting: StartingNode) -> Result<Report, BenchError> {
        let ready_limit = Duration::from_secs_f64(self.options.ready_limit_s);
        let edge = starting.listens(ready_limit).await?;
        let mut report = figures::new_report(self.options);
        report.add("ready_s", edge.ready(ready_limit).await?.as_secs_f64(), "s");
        report.add("list_bytes", self.list_bytes as f64, "bytes");
        report.add("agent_out_bytes_at_ready", self.peers.agent.byte_counts().sent as f64, "bytes");
        let phases =
            phases::run(self.options, self.control, &edge, &self.peers, self.schedule, self.work).await?;
        figures::add_figures(&phases, &mut report);
        Ok(report)
    }
}
