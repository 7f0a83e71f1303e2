//! Runs this build and another in turn, each in a process of its own, and reports the ratios of their figures.

use std::path::Path;
use std::time::{Duration, Instant};

use super::new_report;
use super::options::Options;
use crate::error::BenchError;
use crate::report::{Figure, Report};
use crate::slopes::child;

/// The reports of both builds in one round.
struct Round {
    ours: Report,
    theirs: Report,
}

/// The values of one figure in one round.
struct Pair {
    ours: f64,
    theirs: f64,
}

/// Makes the runs and reports medians and ratios.
pub fn compare(options: &Options, other_program: &Path) -> Result<Report, BenchError> {
    let this_program = std::env::current_exe()
        .map_err(|source| BenchError::System { what: "cannot find this program", source })?;
    let time_limit_at = Instant::now() + Duration::from_secs_f64(options.limit_s) * 2 * options.rounds;
    let other_servers = options.beside_servers.unwrap_or(options.servers);
    let other_nodes = options.beside_nodes.unwrap_or(options.nodes);
    let mut rounds = Vec::new();
    for round in 0..options.rounds {
        let seed = options.seed.wrapping_add(round.into());
        let our_line = options.command_line(seed, options.servers, options.nodes);
        let their_line = options.command_line(seed, other_servers, other_nodes);
        let run_ours = || child::run(&this_program, &our_line, time_limit_at);
        let run_theirs = || child::run(other_program, &their_line, time_limit_at);
        // Each is first in turn, so that what slows the machine down affects both alike.
        let reports = if round % 2 == 0 {
            run_ours().and_then(|ours| Ok(Round { ours, theirs: run_theirs()? }))
        } else {
            run_theirs().and_then(|theirs| Ok(Round { ours: run_ours()?, theirs }))
        };
        rounds.push(reports.map_err(BenchError::Argument)?);
    }
    let mut report = new_report(options)?;
    for figure in rounds.first().map_or(&[][..], |first| &first.ours.figures) {
        add_comparison(figure, &rounds, &mut report);
    }
    let count = options.rounds;
    report.notes.push(format!(
        "medians over {count} rounds in turn; `beside_` is the other build at {other_servers} servers and \
         {other_nodes} nodes, `ratio_` this build's figure over its"
    ));
    Ok(report)
}

/// Adds the medians of a figure that both builds have in every round; for times also the ratios.
fn add_comparison(figure: &Figure, rounds: &[Round], report: &mut Report) {
    let name = &figure.name;
    let unit = &figure.unit;
    let values = |round: &Round| Some(Pair { ours: round.ours.get(name)?, theirs: round.theirs.get(name)? });
    let Some(pairs) = rounds.iter().map(values).collect::<Option<Vec<Pair>>>() else { return };
    report.add(name, median(pairs.iter().map(|pair| pair.ours).collect()), unit);
    report.add(&format!("beside_{name}"), median(pairs.iter().map(|pair| pair.theirs).collect()), unit);
    if unit == "us" || unit == "%" {
        add_ratios(name, &pairs, report);
    }
}

fn add_ratios(name: &str, pairs: &[Pair], report: &mut Report) {
    let mut ratios: Vec<f64> = pairs.iter().map(|pair| pair.ours / pair.theirs).collect();
    ratios.sort_by(f64::total_cmp);
    if ratios.iter().all(|ratio| ratio.is_finite()) {
        report.add(&format!("ratio_{name}_least"), ratios[0], "x");
        report.add(&format!("ratio_{name}_most"), ratios[ratios.len() - 1], "x");
        report.add(&format!("ratio_{name}"), median(ratios), "x");
    }
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0
}
