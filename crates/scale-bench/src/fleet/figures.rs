//! Computes the figures of a fleet report from the measurements of the run.

use super::fleet_failure::FleetFailure;
use super::measurements::{Measurements, INTERVAL};
use super::world::World;
use crate::report::Report;

/// Service has recovered once its share is at most this much below the mean share before the failure.
const RECOVERY_TOLERANCE: f64 = 0.01;

/// Adds all figures of the run to the report.
pub fn add_figures(world: &World, report: &mut Report) {
    let counts = &world.measurements;
    add_requests(world, report);
    add_attempts(counts, report);
    let idle = ratio(world.idle_connections() as f64, world.nodes.len() as f64);
    report.add("idle_connections_per_node", idle, "connections");
    add_counter(counts, report);
    add_latency(counts, report);
    add_load(world, report);
    add_subsets(world, report);
    report.add("cold_started", world.cold_starts as f64, "servers");
    report.add("cold_fell", counts.overloaded, "servers");
    report.add("cold_fell_told", counts.overloaded_by_notified_nodes, "servers");
    add_recovery(world, report);
}

fn add_requests(world: &World, report: &mut Report) {
    let counts = &world.measurements;
    let requested: f64 = world.accounts.iter().map(|account| account.requested_units).sum();
    let served: f64 =
        world.accounts.iter().map(|account| account.served_units.min(account.requested_units)).sum();
    report.add("requests", counts.requests, "requests");
    report.add("request_rate", counts.requests / counts.seconds(), "requests/s");
    report.add("service", ratio(served, requested), "share of units asked inside quotas");
    report.add("inside", ratio(counts.within_quota, counts.requests), "share of requests");
    report.add("served", ratio(counts.results.served, counts.requests), "share of requests");
    report.add("refused", ratio(counts.results.rejected, counts.requests), "share of requests");
    report.add("failed", ratio(counts.results.failed, counts.requests), "share of requests");
    report.add("lost", ratio(counts.results.lost, counts.requests), "share of requests");
    let rejected_within_quota = ratio(counts.rejected_within_quota, counts.within_quota);
    report.add("refused_inside", rejected_within_quota, "share of requests inside quotas");
    report.add("lost_tries", counts.lost_tries, "tries");
    let without_node = ratio(counts.without_node, counts.requests);
    report.add("no_node", without_node, "share of requests, at their first try");
    report.add("on_time", ratio(counts.on_time, counts.results.served), "share of served");
    report.add("let_in_beyond", counts.admitted_over_quota, "units");
    let admitted_over_quota = ratio(counts.admitted_over_quota, counts.admitted_units);
    report.add("let_in_beyond_share", admitted_over_quota, "share of units let in under quotas");
}

fn add_attempts(counts: &Measurements, report: &mut Report) {
    report.add("attempts_per_request", ratio(counts.attempts, counts.requests), "attempts");
    let failed = &counts.failed_attempts;
    let by_outcome = [
        ("attempts_full", failed.rejected),
        ("attempts_timed_out", failed.timed_out),
        ("attempts_connect_failed", failed.connect_failed),
        ("attempts_reset", failed.reset),
        ("attempts_cancelled", failed.cancelled),
        ("cross_zone", counts.cross_zone),
        ("cross_region", counts.cross_region),
    ];
    for (name, count) in by_outcome {
        report.add(name, ratio(count, counts.attempts), "share of attempts");
    }
    report.add("handshakes_per_request", ratio(counts.handshakes, counts.requests), "handshakes");
}

fn add_counter(counts: &Measurements, report: &mut Report) {
    let calls = counts.counter_calls;
    report.add("counter_calls_per_request", ratio(calls, counts.requests), "calls");
    report.add("counter_calls", calls / counts.seconds(), "calls/s");
    report.add("counter_timed_out", ratio(counts.counter_timeouts, calls), "share of calls");
    report.add("counter_busy", ratio(counts.counter_rejections, calls), "share of calls");
    report.add("counter_late_answers", ratio(counts.counter_late_replies, calls), "share of calls");
}

fn add_latency(counts: &Measurements, report: &mut Report) {
    let Some(latency) = &counts.latency else { return };
    for (name, quantile) in [("latency_p50", 0.5), ("latency_p99", 0.99), ("latency_p999", 0.999)] {
        report.add(name, latency.value_at_quantile(quantile) as f64 / 1e3, "ms");
    }
}

/// Adds how evenly the requests are spread over the endpoints that were up and warm throughout the run.
fn add_load(world: &World, report: &mut Report) {
    let warm_throughout = world.endpoints.iter().filter(|endpoint| endpoint.warm_throughout);
    let mut load: Vec<f64> = warm_throughout.map(|endpoint| endpoint.received as f64).collect();
    load.sort_unstable_by(f64::total_cmp);
    let summary = Summary::of(&load);
    let mean = summary.mean;
    let squares = load.iter().map(|requests| (requests - mean).powi(2));
    let variance = squares.sum::<f64>() / load.len().max(1) as f64;
    let p99_index = (load.len() * 99).div_ceil(100).saturating_sub(1);
    let p99 = load.get(p99_index).copied().unwrap_or(0.0);
    report.add("load_servers", load.len() as f64, "servers up and warm throughout");
    report.add("load_mean", mean, "requests at a server");
    report.add("load_max", ratio(summary.most, mean), "times the mean");
    report.add("load_p99", ratio(p99, mean), "times the mean");
    report.add("load_variation", ratio(variance.sqrt(), mean), "standard deviation over mean");
    report.add("load_variation_by_chance", ratio(1.0, mean.sqrt()), "standard deviation over mean");
}

/// Adds how many endpoints each node uses and knows, and how many nodes use each endpoint.
fn add_subsets(world: &World, report: &mut Report) {
    let warm_throughout = world.endpoints.iter().filter(|endpoint| endpoint.warm_throughout);
    let sending_nodes: Vec<f64> = warm_throughout.map(|endpoint| f64::from(endpoint.sending_nodes)).collect();
    add_summary("nodes_per_server", &sending_nodes, "nodes", report);
    add_summary("servers_per_node", &world.endpoints_used_by_node(), "servers met", report);
    add_summary("servers_known_per_node", &world.endpoints_known_by_node(), "servers", report);
    if world.scenario.fail != FleetFailure::Calm {
        let note = "nodes_per_server and servers_per_node are counted from the failure's begin on (of a \
                    release: from the end of the warm-up on)";
        report.notes.push(note.into());
    }
}

fn add_summary(name: &str, values: &[f64], unit: &str, report: &mut Report) {
    let summary = Summary::of(values);
    report.add(name, summary.mean, unit);
    report.add(&format!("{name}_least"), summary.least, unit);
    report.add(&format!("{name}_most"), summary.most, unit);
}

/// Adds how far service fell during the failure, and how long it took to recover.
///
/// If nothing fails, adds the worst service of any interval only.
fn add_recovery(world: &World, report: &mut Report) {
    let service = world.measurements.service_by_interval();
    if world.scenario.fail == FleetFailure::Calm {
        report.add("service_least", Summary::of(&service).least, "share, worst second");
        return;
    }
    let failure_interval = (world.scenario.fail_at_ms * 1_000 / INTERVAL) as usize;
    let (before, after) = service.split_at(failure_interval.min(service.len()));
    let level_before = Summary::of(before).mean;
    let last_degraded = after.iter().rposition(|level| *level < level_before - RECOVERY_TOLERANCE);
    let recovered_after = last_degraded.map_or(0, |interval| interval + 1);
    let recovered = if recovered_after < after.len() { 1.0 } else { 0.0 };
    report.add("service_before", level_before, "share");
    report.add("service_least", Summary::of(after).least, "share, worst second");
    report.add("well_again_after", recovered_after as f64, "s");
    report.add("well_again", recovered, "1: yes, 0: not within the run");
    report.notes.push(format!(
        "well_again_after: whole seconds from the failure's begin to the end of the last second, by when \
         requests were first asked, in which the share served of the units asked inside quotas was more \
         than {RECOVERY_TOLERANCE} under the mean of the seconds before; one second of {:.0} requests \
         swings by chance, too",
        world.measurements.requests / service.len().max(1) as f64,
    ));
}

/// The mean and the extremes of some values; all are 0 if there are no values.
struct Summary {
    mean: f64,
    least: f64,
    most: f64,
}

impl Summary {
    fn of(values: &[f64]) -> Self {
        let least = values.iter().copied().fold(f64::INFINITY, f64::min);
        Summary {
            mean: values.iter().sum::<f64>() / values.len().max(1) as f64,
            least: if least.is_finite() { least } else { 0.0 },
            most: values.iter().copied().fold(0.0, f64::max),
        }
    }
}

/// Returns `part / whole`, or 0 if `whole` is not positive.
fn ratio(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        part / whole
    } else {
        0.0
    }
}
