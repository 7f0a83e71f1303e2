//! Hollow nodes on one simulated clock, before model endpoints and one model counter service.
//!
//! Each hollow node is a real decision engine with real settings; what its process would do with sockets is
//! modelled. One ordered queue holds all events, so the same seed and arguments give the same figures.

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
mod failure_name;
mod figures;
mod measurements;
mod network;
mod node;
mod notes;
mod random;
mod request;
mod scenario;
mod world;

pub use failure_name::Failure;
pub use scenario::Scenario;

/// The world runs on for this long after the measured time, until its last requests are over: longer than the
/// longest deadline.
const DRAIN_TIME: Micros = 3_500_000;

/// Arguments of `fleet`.
#[derive(Args, Debug, Clone, Serialize)]
pub struct Options {
    /// What is run.
    #[command(flatten)]
    #[serde(flatten)]
    pub scenario: Box<Scenario>,
    /// Where the figures go.
    #[command(flatten)]
    #[serde(skip)]
    pub output: Output,
}

/// Makes the run and prints its figures.
///
/// # Errors
/// If the arguments make no sense together or the figures can't be written.
pub fn run(options: Options) -> Result<(), BenchError> {
    measure(&options.scenario)?.print(&options.output)
}

/// Makes the run and returns its figures.
///
/// # Errors
/// If the arguments make no sense together.
pub fn measure(scenario: &Scenario) -> Result<Report, BenchError> {
    scenario.check()?;
    let arguments = serde_json::to_value(scenario)
        .map_err(|error| BenchError::System { what: "cannot write the arguments", source: error.into() })?;
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
