//! `scale-bench decisions`: the same work for the same seed, and one line for bad arguments.

mod common {
    pub mod command;
}

use common::command::{assert_refused_in_one_line, run, PROGRAM};
use scale_bench::report::Report;

/// A short run with these arguments.
fn report(arguments: &[&str]) -> Report {
    let arguments = [&["--json", "--warm-up-s", "0.5", "--run-s", "2"], arguments].concat();
    let output = run("decisions", &arguments);
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    serde_json::from_slice(&output.stdout).expect("a report")
}

/// The figures that count work, without those of time and memory.
fn counts(report: &Report) -> Vec<(String, f64)> {
    let is_count = |unit: &str| ["events", "calls", "servers"].contains(&unit);
    let counts = report.figures.iter().filter(|figure| is_count(&figure.unit));
    counts.map(|figure| (figure.name.clone(), figure.value)).collect()
}

#[test]
fn same_seed_repeats_the_run() {
    let first = report(&["--seed", "5"]);
    assert_eq!(counts(&first), counts(&report(&["--seed", "5"])));
    assert_ne!(counts(&first), counts(&report(&["--seed", "6"])));
    let get = |name| first.get(name).expect(name);
    // 130 requests a second for 2 s, and 50 timers a second; nothing is lost in a healthy fleet.
    assert!((180.0..340.0).contains(&get("request_count")), "{}", get("request_count"));
    assert_eq!(get("tick_count"), 100.0);
    assert!((get("answered") - get("request_count")).abs() < 30.0, "{}", get("answered"));
    assert_eq!(get("failed"), 0.0);
    assert_eq!(get("refused"), 0.0);
    assert_eq!(get("whole_same_count"), 5.0);
    assert_eq!(get("whole_other_count"), 5.0);
    assert!(get("counter_calls") > 0.0);
    assert!(get("decision_p50") > 0.0);
}

#[test]
fn requests_without_a_quota_call_no_counter() {
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
    assert!(0.0 < least && least <= ratio && ratio <= most, "{least} {ratio} {most}");
}

#[test]
fn bad_arguments_are_refused_in_one_line() {
    for (arguments, part) in [
        (&["--nodes", "300", "--me", "300"][..], "--me 300"),
        (&["--rate", "0"], "--rate 0"),
        (&["--rate", "nan"], "--rate NaN"),
        (&["--quota-share", "1.5"], "--quota-share 1.5"),
        (&["--beside", "/nowhere/scale-bench"], "/nowhere/scale-bench"),
        (&["--limit-s", "0.1", "--rate", "5000", "--run-s", "600"], "--limit-s 0.1"),
    ] {
        let line = assert_refused_in_one_line(&run("decisions", arguments), arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}
