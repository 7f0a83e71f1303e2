//! Converts the measurements of a run to the figures of its report.

use hdrhistogram::Histogram;

use super::load::LoadResults;
use super::options::Options;
use super::phases::{Measured, Reading};
use crate::report::Report;

/// Returns a report without figures that holds the options and the notes that explain the figures.
pub fn new_report(options: &Options) -> Report {
    let arguments = serde_json::to_value(options).unwrap_or_default();
    let mut report = Report::new("node", arguments);
    let notes = [
        "latency added: from when a request was due to its answer, less its app server's own time; of all \
         that were served, however late, and of the lost, which count with the time they were waited for",
        "added_from_sent: the same without what the clients were late by (bench_late), which on a busy \
         machine is scale-bench's own; no client waits for another's answer, so it is free of coordinated \
         omission, too",
        "lost: no answer by a second after the deadline; late: an answer between the deadline and then",
        "cpu_wait_loaded_percent: the node could have run and had no processor; where it or \
         bench_late_p99_ms is not small, the machine was too busy for latencies to say anything",
        "bytes are those that TCP carries, without its headers, in and out as the peer sees them",
        "handshakes, probes and servers used are of the whole run; calls, attempts and outcomes of the load",
    ];
    report.notes.extend(notes.map(String::from));
    report
}

/// Adds all figures of the idle phase and the load phase to the report.
pub fn add_figures(measured: &Measured, report: &mut Report) {
    add_node_usage(measured, report);
    add_traffic(report, "idle", &measured.before_idle, &measured.after_idle);
    add_traffic(report, "loaded", &measured.after_idle, &measured.after_load);
    let messages = &measured.agent_messages;
    let snapshots = messages.after.snapshots - messages.before.snapshots;
    let deltas = messages.after.deltas - messages.before.deltas;
    report.add("whole_lists_loaded", snapshots as f64, "");
    report.add("change_lists_loaded", deltas as f64, "");
    add_outcome_counts(&measured.results, report);
    add_latency(&measured.results, report);
    add_peer_counts(measured, report);
    add_bench_overhead(measured, report);
}

fn add_node_usage(measured: &Measured, report: &mut Report) {
    let before_idle = &measured.before_idle.usage;
    let after_idle = &measured.after_idle.usage;
    let after_load = &measured.after_load.usage;
    report.add("cpu_idle_percent", after_idle.cpu_percent_since(before_idle), "% of a core");
    report.add("cpu_loaded_percent", after_load.cpu_percent_since(after_idle), "% of a core");
    if let Some(waiting) = after_load.waiting_percent_since(after_idle) {
        report.add("cpu_wait_loaded_percent", waiting, "% of the time");
    }
    report.add("rss_idle_mb", megabytes(after_idle.memory.resident), "MB");
    report.add("rss_mb", megabytes(after_load.memory.resident), "MB");
    report.add("peak_mb", megabytes(measured.usage_at_end.memory.peak), "MB");
}

/// Adds the control traffic between two readings, in bytes per second. `in` and `out` are the directions as
/// seen by the peer (discovery agent or counter service).
fn add_traffic(report: &mut Report, phase: &str, from: &Reading, to: &Reading) {
    let seconds = to.read_at.duration_since(from.read_at).as_secs_f64().max(1e-9);
    let rate = |from: u64, to: u64| (to - from) as f64 / seconds;
    let rates = [
        ("agent_in", rate(from.agent.received, to.agent.received)),
        ("agent_out", rate(from.agent.sent, to.agent.sent)),
        ("counter_in", rate(from.counter.received, to.counter.received)),
        ("counter_out", rate(from.counter.sent, to.counter.sent)),
    ];
    for (name, rate) in rates {
        report.add(&format!("{name}_bytes_per_s_{phase}"), rate, "bytes/s");
    }
    let total = rates.iter().map(|(_, rate)| rate).sum();
    report.add(&format!("control_bytes_per_s_{phase}"), total, "bytes/s");
}

fn add_outcome_counts(results: &LoadResults, report: &mut Report) {
    let counts = [
        ("requests", results.sent),
        ("answered_200", results.ok),
        ("answered_429", results.too_many_requests),
        ("answered_503", results.unavailable),
        ("answered_other", results.other_status),
        ("wrong_body", results.wrong_body),
        ("answered_late", results.late),
        ("lost", results.lost),
        ("connection_errors", results.connection_errors),
        ("sent_again", results.resent),
        ("client_connections", results.connections),
    ];
    for (name, count) in counts {
        report.add(name, count as f64, "");
    }
}

fn add_latency(results: &LoadResults, report: &mut Report) {
    let added = &results.added_latency;
    if added.is_empty() {
        return;
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        report.add(&format!("added_{name}_ms"), quantile_ms(added, quantile), "ms");
    }
    report.add("added_max_ms", milliseconds(added.max()), "ms");
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99)] {
        let value = quantile_ms(&results.added_latency_from_sent, quantile);
        report.add(&format!("added_from_sent_{name}_ms"), value, "ms");
    }
}

fn add_peer_counts(measured: &Measured, report: &mut Report) {
    let sent = (measured.results.sent as f64).max(1.0);
    let before = measured.counter_calls.before;
    let after = measured.counter_calls.after;
    report.add("counter_calls_per_request", (after.calls - before.calls) as f64 / sent, "");
    report.add("counter_busy", (after.busy - before.busy) as f64, "");
    let endpoints = &measured.endpoints;
    report.add("attempts_per_request", measured.results.attempts as f64 / sent, "");
    report.add("handshakes", endpoints.connections as f64, "");
    report.add("handshakes_per_request", endpoints.connections as f64 / sent, "");
    report.add("probes", endpoints.probes as f64, "");
    report.add("servers_used", endpoints.endpoints_used as f64, "");
    report.add("strange_requests", endpoints.unknown_requests as f64, "");
    report.add("log_lines", measured.log_lines as f64, "");
}

fn add_bench_overhead(measured: &Measured, report: &mut Report) {
    let send_delay = &measured.results.send_delay;
    report.add("bench_late_p99_ms", quantile_ms(send_delay, 0.99), "ms");
    report.add("bench_late_max_ms", milliseconds(send_delay.max()), "ms");
    let own_usage = &measured.own_usage;
    let percent = own_usage.after.cpu_percent_since(&own_usage.before);
    report.add("bench_cpu_percent", percent, "% of a core");
}

fn quantile_ms(histogram: &Histogram<u64>, quantile: f64) -> f64 {
    milliseconds(histogram.value_at_quantile(quantile))
}

fn megabytes(bytes: u64) -> f64 {
    bytes as f64 / 1e6
}

fn milliseconds(micros: u64) -> f64 {
    micros as f64 / 1e3
}
