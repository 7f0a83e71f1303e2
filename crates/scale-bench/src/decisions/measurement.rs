//! Runs the phases of one measurement in this process and builds its report.

use edge_node::decision::Micros;

use super::model::{Counts, Model};
use super::options::Options;
use super::timing::EventKind;
use super::{new_report, SECOND};
use crate::error::BenchError;
use crate::memory::Memory;
use crate::report::Report;

/// Number of list changes that are timed after the load, because too few happen under load for a median.
const CHANGES_AFTER_LOAD: usize = 60;
/// Simulated time after the last request within which everything in flight ends.
const DRAIN_TIME: Micros = 2 * SECOND;
/// Simulated time between two list changes or whole lists that are timed after the load.
const LIST_INTERVAL: Micros = SECOND / 50;

/// What was measured under load, after the warm-up.
struct LoadResult {
    /// Requests that arrived, or 1 if none did, because figures are divided by it.
    requests: f64,
    /// Total time that the engine spent on requests, counter replies and ends of attempts.
    request_seconds: f64,
    timer_seconds: f64,
    list_change_seconds: f64,
    /// Endpoints that an attempt was sent to.
    endpoints_used: usize,
    counts: Counts,
}

/// Resident memory of this process at several points of the run, in bytes.
struct ResidentMemory {
    before_model: f64,
    with_model: f64,
    with_list: f64,
    after_load: f64,
}

/// Runs one measurement and returns its report.
///
/// # Errors
/// Returns an error if the run takes longer than its time limit, or the memory of this process can't be read.
pub fn measure(options: &Options) -> Result<Report, BenchError> {
    let before_model = resident_bytes()?;
    let mut model = Model::new(options);
    let with_model = resident_bytes()?;
    model.start_measuring();
    model.send_whole_list(EventKind::FirstList);
    model.stop_measuring();
    let with_list = resident_bytes()?;
    let load = measure_load(&mut model, options)?;
    let after_load = resident_bytes()?;
    measure_lists(&mut model, options)?;

    let memory = ResidentMemory { before_model, with_model, with_list, after_load };
    let mut report = new_report(&Options { me: Some(model.node_index()), ..options.clone() })?;
    add_times(&model, &mut report);
    add_load(&load, options, &mut report);
    add_memory(&memory, &mut report);
    add_notes(&model, &mut report);
    Ok(report)
}

/// Runs the load, and measures it from the end of the warm-up on.
fn measure_load(model: &mut Model, options: &Options) -> Result<LoadResult, BenchError> {
    model.start_load();
    model.advance((options.warm_up_s * SECOND as f64) as Micros)?;
    model.start_measuring();
    let requests_before = model.requests();
    model.advance((options.run_s * SECOND as f64) as Micros)?;
    let request_kinds = [EventKind::Request, EventKind::CounterReply, EventKind::AttemptEnd];
    Ok(LoadResult {
        requests: (model.requests() - requests_before).max(1) as f64,
        request_seconds: model.timings().total_seconds(&request_kinds),
        timer_seconds: model.timings().total_seconds(&[EventKind::Timer]),
        list_change_seconds: model.timings().total_seconds(&[EventKind::ListChange]),
        endpoints_used: model.endpoints_used(),
        counts: model.counts(),
    })
}

/// Ends the load, and then times list changes, unchanged whole lists and whole lists of new endpoints.
fn measure_lists(model: &mut Model, options: &Options) -> Result<(), BenchError> {
    model.stop_measuring();
    model.stop_load();
    model.advance(DRAIN_TIME)?;
    for _ in 0..CHANGES_AFTER_LOAD {
        model.start_measuring();
        model.change_list();
        model.stop_measuring();
        model.advance(LIST_INTERVAL)?;
    }
    for _ in 0..options.whole_lists {
        measure_whole_list(model, EventKind::SameList)?;
    }
    for _ in 0..options.whole_lists {
        model.replace_list();
        measure_whole_list(model, EventKind::OtherList)?;
    }
    Ok(())
}

fn measure_whole_list(model: &mut Model, kind: EventKind) -> Result<(), BenchError> {
    model.start_measuring();
    model.send_whole_list(kind);
    model.stop_measuring();
    model.advance(LIST_INTERVAL)
}

fn add_times(model: &Model, report: &mut Report) {
    for kind in EventKind::ALL {
        let times = model.timings().summary(kind);
        let prefix = kind.figure_prefix();
        report.add(&format!("{prefix}_count"), times.count as f64, "events");
        if times.count > 0 {
            report.add(&format!("{prefix}_p50"), times.p50, "us");
            report.add(&format!("{prefix}_p99"), times.p99, "us");
            report.add(&format!("{prefix}_mean"), times.mean, "us");
        }
    }
}

fn add_load(load: &LoadResult, options: &Options, report: &mut Report) {
    report.add("request_whole_mean", load.request_seconds / load.requests * 1e6, "us");
    let percent_of_core = |seconds: f64| seconds / options.run_s * 100.0;
    let all_seconds = load.request_seconds + load.timer_seconds + load.list_change_seconds;
    report.add("core", percent_of_core(all_seconds), "%");
    report.add("core_requests", percent_of_core(load.request_seconds), "%");
    report.add("core_ticks", percent_of_core(load.timer_seconds), "%");
    report.add("core_changes", percent_of_core(load.list_change_seconds), "%");
    let counts = &load.counts;
    report.add("answered", counts.served as f64, "events");
    report.add("cancelled", counts.cancelled as f64, "events");
    report.add("counter_calls", counts.counter_calls as f64, "events");
    report.add("failed", counts.failed as f64, "events");
    report.add("refused", counts.rejected as f64, "events");
    let calls_per_request = counts.counter_calls as f64 / load.requests;
    report.add("counter_calls_per_request", calls_per_request, "calls");
    report.add("servers_used", load.endpoints_used as f64, "servers");
}

fn add_memory(memory: &ResidentMemory, report: &mut Report) {
    report.add("resident_list", memory.with_list - memory.with_model, "bytes");
    report.add("resident_loaded", memory.after_load - memory.with_model, "bytes");
    report.add("resident_model", memory.with_model - memory.before_model, "bytes");
}

fn add_notes(model: &Model, report: &mut Report) {
    let waiting = if model.times_exclude_waiting() {
        "what the thread waited for a processor is taken off the times"
    } else {
        "the kernel does not tell what the thread waited for a processor: means and `core` hold it"
    };
    let notes = [
        "times are of `DecisionEngine::handle` alone, `core` of it at --rate",
        waiting,
        "`decision` is a request, or a counter's answer to it, that sent an attempt",
        "`request_whole_mean` is a request with its counter's and its app server's answer",
        "`servers_used` met an attempt in the timed part: the subset as far as visible",
    ];
    report.notes.extend(notes.map(String::from));
}

/// Returns the resident memory of this process, in bytes.
fn resident_bytes() -> Result<f64, BenchError> {
    Memory::own().map(|memory| memory.resident as f64)
}
