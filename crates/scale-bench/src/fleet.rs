//! The subcommand `fleet`: simulates a fleet of hollow nodes, its endpoints and one counter service on one
//! clock.
//!
//! Each hollow node runs a real decision engine with real settings. The socket work of its process is
//! modelled, and so are the endpoints and the counter service. One ordered queue holds all events, so a run
//! with the same seed and arguments yields the same figures.

use std::time::Instant;

use clap::Args;
use edge_node::decision::Micros;
use serde::Serialize;

use crate::error::BenchError;
use crate::memory::Memory;
use crate::report::{Output, Report};

mod accounts;
mod counter;
mod endpoint;
mod endpoint_list;
mod event_queue;
mod failure;
mod figures;
mod fleet_failure;
mod measurements;
mod network;
mod node;
mod notes;
mod random;
mod request;
mod scenario;
mod world;

pub use fleet_failure::FleetFailure;
pub use scenario::Scenario;

/// The simulation continues for this long after the measured time, so that the last measured requests end. It
/// is longer than the longest total timeout of a request class.
const DRAIN_TIME: Micros = 3_500_000;

/// The arguments of `fleet`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// The fleet to simulate.
    #[command(flatten)]
    #[serde(flatten)]
    pub scenario: Box<Scenario>,
    /// The format and destination of the figures.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// Runs the simulation and prints its figures.
///
/// # Errors
/// Returns an error if the arguments contradict each other, if the run would exceed the memory limit, if the
/// memory of this process can't be read, or if the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    measure(&options.scenario)?.print(&options.output)
}

/// Runs the simulation and returns its figures.
///
/// # Errors
/// Returns an error if the arguments contradict each other, if the run would exceed the memory limit, or if
/// the memory of this process can't be read.
pub fn measure(scenario: &Scenario) -> Result<Report, BenchError> {
    scenario.check()?;
    let arguments = serde_json::to_value(scenario).map_err(|error| BenchError::System {
        operation: "cannot serialize the arguments as JSON",
        source: error.into(),
    })?;
    let mut report = Report::new("fleet", arguments);
    let started_at = Instant::now();
    let mut world = world::World::new(scenario);
    let memory_before_start = Memory::own()?.resident;
    world.start();
    let until = scenario.measured_until() + DRAIN_TIME;
    world.run_warm_up(until);
    let memory_when_warm = Memory::own()?.resident;
    world.run(until);
    figures::add_figures(&world, &mut report);
    if !scenario.simulated_only {
        let growth = (memory_when_warm as f64 - memory_before_start as f64).max(0.0);
        report.add("memory_per_hollow_node", growth / f64::from(scenario.nodes), "bytes");
        add_wall_time(started_at, &mut report);
    }
    notes::add_notes(scenario, &mut report);
    Ok(report)
}

fn add_wall_time(started_at: Instant, report: &mut Report) {
    let seconds = started_at.elapsed().as_secs_f64();
    report.add("wall_time", seconds, "s");
    let requests = report.get("requests").unwrap_or(0.0).max(1.0);
    let unit = "us of wall time, all of the model in it";
    report.add("wall_time_per_request", seconds * 1e6 / requests, unit);
}
