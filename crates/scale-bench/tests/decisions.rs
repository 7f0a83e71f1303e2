//! Tests of the subcommand `decisions`: a seed determines the work, and invalid arguments give an error of
//! one line.

mod common {
    pub mod command;
}

use common::command::{assert_rejected_in_one_line, run, PROGRAM};
use scale_bench::report::Report;

/// Runs `decisions` for a short time with these arguments and returns its report.
fn report(arguments: &[&str]) -> Report {
    let arguments = [&["--json", "--warm-up-s", "0.5", "--run-s", "2"], arguments].concat();
    let output = run("decisions", &arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("standard output should be a JSON report")
}

/// Returns the figures that count events, calls or servers, without those that depend on time and memory.
fn counts(report: &Report) -> Vec<(String, f64)> {
    let is_count = |unit: &str| ["events", "calls", "servers"].contains(&unit);
    let counts = report.figures.iter().filter(|figure| is_count(&figure.unit));
    counts.map(|figure| (figure.name.clone(), figure.value)).collect()
}

#[test]
fn same_seed_gives_the_same_counts() {
    let first = report(&["--seed", "5"]);
    assert_eq!(counts(&first), counts(&report(&["--seed", "5"])));
    assert_ne!(counts(&first), counts(&report(&["--seed", "6"])));
    let get = |name| first.get(name).expect(name);
    // The run has 130 requests per second for 2 s and 50 timers per second. No request is lost in a healthy
    // fleet.
    assert!((180.0..340.0).contains(&get("request_count")), "request_count is {}", get("request_count"));
    assert_eq!(get("tick_count"), 100.0);
    assert!((get("answered") - get("request_count")).abs() < 30.0, "answered is {}", get("answered"));
    assert_eq!(get("failed"), 0.0);
    assert_eq!(get("refused"), 0.0);
    assert_eq!(get("whole_same_count"), 5.0);
    assert_eq!(get("whole_other_count"), 5.0);
    assert!(get("counter_calls") > 0.0);
    assert!(get("decision_p50") > 0.0);
}

#[test]
fn requests_without_a_quota_do_not_call_the_counter_service() {
    let report = report(&["--quota-share", "0", "--servers", "30", "--nodes", "40", "--me", "39"]);
    assert_eq!(report.get("counter_calls"), Some(0.0));
    assert_eq!(report.get("counted_count"), Some(0.0));
    assert!(report.get("servers_used").is_some_and(|used| (2.0..=18.0).contains(&used)));
}

#[test]
fn comparison_with_another_build_reports_ratios() {
    let report = report(&["--beside", PROGRAM, "--beside-servers", "400", "--beside-nodes", "600"]);
    let get = |name| report.get(name).expect(name);
    assert!(get("beside_whole_same_p50") > 0.0);
    let least = get("ratio_tick_p50_least");
    let ratio = get("ratio_tick_p50");
    let most = get("ratio_tick_p50_most");
    assert!(0.0 < least && least <= ratio && ratio <= most, "least {least}, ratio {ratio}, most {most}");
}

#[test]
fn invalid_arguments_are_rejected_in_one_line() {
    for (arguments, part) in [
        (&["--nodes", "300", "--me", "300"][..], "--me 300"),
        (&["--rate", "0"], "--rate 0"),
        (&["--rate", "nan"], "--rate NaN"),
        (&["--quota-share", "1.5"], "--quota-share 1.5"),
        (&["--beside", "/nowhere/scale-bench"], "/nowhere/scale-bench"),
        (&["--limit-s", "0.1", "--rate", "5000", "--run-s", "600"], "--limit-s 0.1"),
    ] {
        let line = assert_rejected_in_one_line(&run("decisions", arguments), arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}
