//! Runs this build and another one alternately, each run in a process of its own, and reports the medians of
//! their figures and the ratios between them.

use std::path::Path;
use std::time::{Duration, Instant};

use super::new_report;
use super::options::Options;
use crate::error::BenchError;
use crate::report::{Figure, Report};
use crate::slopes::child;

/// The reports of both builds from one round.
struct Round {
    this: Report,
    other: Report,
}

/// The values of one figure for both builds in one round.
struct Pair {
    this: f64,
    other: f64,
}

/// Runs all rounds and returns a report of medians and ratios.
///
/// # Errors
/// Returns an error if the path of this program is unknown, or a run fails.
pub fn compare(options: &Options, other_program: &Path) -> Result<Report, BenchError> {
    let this_program = std::env::current_exe()
        .map_err(|source| BenchError::System { operation: "cannot find this program", source })?;
    let time_limit_at = Instant::now() + Duration::from_secs_f64(options.limit_s) * 2 * options.rounds;
    let other_servers = options.beside_servers.unwrap_or(options.servers);
    let other_nodes = options.beside_nodes.unwrap_or(options.nodes);
    let mut rounds = Vec::new();
    for round in 0..options.rounds {
        let seed = options.seed.wrapping_add(round.into());
        let this_command_line = options.command_line(seed, options.servers, options.nodes);
        let other_command_line = options.command_line(seed, other_servers, other_nodes);
        let run_this_build = || child::run(&this_program, &this_command_line, time_limit_at);
        let run_other_build = || child::run(other_program, &other_command_line, time_limit_at);
        // The builds take turns at running first, so that a change of the machine's load affects both alike.
        let reports = if round % 2 == 0 {
            run_this_build().and_then(|this| Ok(Round { this, other: run_other_build()? }))
        } else {
            run_other_build().and_then(|other| Ok(Round { this: run_this_build()?, other }))
        };
        rounds.push(reports.map_err(BenchError::Argument)?);
    }
    let mut report = new_report(options)?;
    for figure in rounds.first().map_or(&[][..], |first| &first.this.figures) {
        add_comparison(figure, &rounds, &mut report);
    }
    let count = options.rounds;
    report.notes.push(format!(
        "medians over {count} rounds in turn; `beside_` is the other build at {other_servers} servers and \
         {other_nodes} nodes, `ratio_` this build's figure over its"
    ));
    Ok(report)
}

/// Adds the medians of a figure, and the ratios if its unit is a time or a share of a core. Adds nothing if
/// the figure is missing from a build's report in any round.
fn add_comparison(figure: &Figure, rounds: &[Round], report: &mut Report) {
    let name = &figure.name;
    let unit = &figure.unit;
    let values = |round: &Round| Some(Pair { this: round.this.get(name)?, other: round.other.get(name)? });
    let Some(pairs) = rounds.iter().map(values).collect::<Option<Vec<Pair>>>() else { return };
    report.add(name, median(pairs.iter().map(|pair| pair.this).collect()), unit);
    report.add(&format!("beside_{name}"), median(pairs.iter().map(|pair| pair.other).collect()), unit);
    if unit == "us" || unit == "%" {
        add_ratios(name, &pairs, report);
    }
}

/// Adds the smallest, the largest and the median ratio over the rounds, unless one of the ratios is not
/// finite.
fn add_ratios(name: &str, pairs: &[Pair], report: &mut Report) {
    let mut ratios: Vec<f64> = pairs.iter().map(|pair| pair.this / pair.other).collect();
    ratios.sort_by(f64::total_cmp);
    if ratios.iter().all(|ratio| ratio.is_finite()) {
        report.add(&format!("ratio_{name}_least"), ratios[0], "x");
        report.add(&format!("ratio_{name}_most"), ratios[ratios.len() - 1], "x");
        report.add(&format!("ratio_{name}"), median(ratios), "x");
    }
}

/// Returns the median of the values, of which there is at least one.
fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    (values[(values.len() - 1) / 2] + values[values.len() / 2]) / 2.0
}
