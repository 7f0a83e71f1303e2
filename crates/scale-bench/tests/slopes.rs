//! Tests of the subcommand `slopes`: fits to known values, and ladders in which some runs fail.

mod common {
    pub mod command;
}

use std::process::Output;

use common::command::{assert_rejected_in_one_line, run};
use scale_bench::slopes::fit::{exponent, slope, NoExponent, Point};
use scale_bench::slopes::{Ladder, Size};

/// Sizes at which the values to fit are given.
const SIZES: [f64; 4] = [200.0, 4_600.0, 23_000.0, 46_000.0];

/// Returns the points of three rounds over all sizes. `value` returns the value of a round at a size.
fn points(value: impl Fn(u32, f64) -> f64) -> Vec<Point> {
    let mut points = Vec::new();
    for round in 0..3 {
        for size in SIZES {
            points.push(Point { round, size, value: value(round, size) });
        }
    }
    points
}

fn assert_near(value: f64, expected: f64, tolerance: f64) {
    assert!((value - expected).abs() <= tolerance, "got {value}, expected {expected}");
}

#[test]
fn fit_finds_the_exponent_of_exact_power_laws() {
    for power in [0.0, 0.5, 1.0, 2.0] {
        let fitted =
            exponent(&points(|_, size| 3.0 * size.powf(power))).expect("the points should have an exponent");
        assert_near(fitted.value, power, 1e-9);
        assert_near(fitted.most - fitted.least, 0.0, 1e-9);
    }
    let line = slope(&points(|_, size| 7.0 - 0.25 * size)).expect("the points should have a slope");
    assert_near(line.value, -0.25, 1e-9);
}

#[test]
fn noise_widens_the_spread_of_the_exponent() {
    // The values of each round deviate by up to a tenth, in a fixed pattern of their own.
    let noise = [[0.9, 1.1, 1.0, 1.0], [1.1, 0.9, 1.05, 0.95], [1.0, 1.0, 0.9, 1.1]];
    let factor = |round: u32, size: f64| {
        let index = SIZES.iter().position(|&known| known == size).expect("the size should be one of SIZES");
        noise[round as usize][index]
    };
    let fitted = exponent(&points(|round, size| 2.0 * size * factor(round, size)))
        .expect("the points should have an exponent");
    assert_near(fitted.value, 1.0, 0.02);
    assert!(fitted.least < fitted.value && fitted.value < fitted.most, "{fitted:?}");
    assert!((0.01..0.1).contains(&(fitted.most - fitted.least)), "{fitted:?}");
}

#[test]
fn round_with_another_exponent_widens_the_spread() {
    let mixed = exponent(&points(|round, size| if round == 2 { size * size } else { size }))
        .expect("the points should have an exponent");
    assert_near(mixed.least, 1.0, 1e-9);
    assert_near(mixed.most, 2.0, 1e-9);
    assert_near(mixed.value, 4.0 / 3.0, 1e-9);
}

#[test]
fn values_without_a_logarithm_have_no_exponent() {
    let with_zero = points(|round, size| if round == 1 && size == 200.0 { 0.0 } else { size });
    assert_eq!(exponent(&with_zero), Err(NoExponent::NotPositive));
    assert_eq!(exponent(&points(|_, size| -size)), Err(NoExponent::NotPositive));
    assert!(slope(&with_zero).is_some());
    let all = points(|_, size| size);
    let one_size: Vec<Point> = all.into_iter().filter(|point| point.size == 200.0).collect();
    assert_eq!(exponent(&one_size), Err(NoExponent::OneSize));
    assert_eq!(slope(&one_size), None);
    assert_eq!(exponent(&[]), Err(NoExponent::OneSize));
}

/// Runs a ladder of `decisions` with these arguments. Its runs get a short warm-up and `run_arguments`.
fn ladder_of_decisions(arguments: &[&str], run_arguments: &[&str]) -> Output {
    let run_arguments = [&["--", "--warm-up-s", "0.1"], run_arguments].concat();
    run("slopes", &[&["decisions"], arguments, &run_arguments].concat())
}

#[test]
fn ladder_lists_every_run_and_reports_failures() {
    // A fleet of 30 nodes has no node 35, so both runs at the smallest size fail.
    let arguments = ["--json", "--sizes", "20/30,40/60,80/120", "--runs", "2"];
    let output = ladder_of_decisions(&arguments, &["--me", "35", "--run-s", "0.5"]);
    assert!(!output.status.success());
    assert!(String::from_utf8_lossy(&output.stderr).contains("2 of 6 runs failed"));
    let ladder: Ladder =
        serde_json::from_slice(&output.stdout).expect("standard output should be a JSON ladder");
    let runs: Vec<_> =
        ladder.runs.iter().map(|run| (run.size.servers, run.seed, run.report.is_some())).collect();
    let expected = [1, 2].map(|seed| [(20, seed, false), (40, seed, true), (80, seed, true)]);
    assert_eq!(runs, expected.concat());
    for run in ladder.runs.iter().filter(|run| run.size.servers == 20) {
        let failure = run.failure.as_deref().expect("the run should have a failure");
        assert!(failure.contains("--me 35 is no node of 30"), "{run:?}");
    }
    let figure = |name: &str| ladder.figures.iter().find(|figure| figure.name == name).expect(name);
    let timers = figure("tick_count");
    let means: Vec<_> = timers.sizes.iter().map(|at_size| (at_size.size, at_size.mean)).collect();
    let size = |servers, nodes| Size { servers, nodes };
    assert_eq!(means, [(size(40, 60), 25.0), (size(80, 120), 25.0)]);
    assert_near(timers.exponent.expect("the figure should have an exponent").value, 0.0, 1e-9);
    assert_eq!(figure("failed").no_exponent, Some(NoExponent::NotPositive));
}

#[test]
fn table_reports_failures_and_missing_exponents() {
    let arguments = ["--sizes", "20/30,40/60", "--runs", "1"];
    let output = ladder_of_decisions(&arguments, &["--me", "35", "--run-s", "0.5"]);
    let table = String::from_utf8_lossy(&output.stdout);
    assert!(!output.status.success());
    assert!(table.contains("failed: 20/30 seed 1: "), "{table}");
    assert!(table.contains("no exponent"), "{table}");
}

#[test]
fn ladder_ends_at_its_time_limit() {
    let arguments = ["--json", "--sizes", "200/300,400/600", "--limit-s", "1"];
    let output = ladder_of_decisions(&arguments, &["--rate", "5000", "--run-s", "600"]);
    assert!(!output.status.success());
    let ladder: Ladder =
        serde_json::from_slice(&output.stdout).expect("standard output should be a JSON ladder");
    let failures: Vec<_> = ladder.runs.iter().filter_map(|run| run.failure.as_deref()).collect();
    assert_eq!(failures.len(), 6, "{failures:?}");
    assert!(failures[0].ends_with("ended by the time limit"), "{failures:?}");
    for failure in &failures[1..] {
        assert!(failure.ends_with("the ladder's time was over"), "{failures:?}");
    }
}

#[test]
fn invalid_ladders_are_rejected_in_one_line() {
    for (arguments, run_arguments, part) in [
        (&["--sizes", "200"][..], &[][..], "\"200\""),
        (&["--sizes", "200/300,0/4"], &[], "\"0/4\""),
        (&["--sizes", "200/300,,400/600"], &[], "\"\""),
        (&["--sizes", "200/300"], &[], "the same in all sizes"),
        (&["--sizes", "200/300,400/300", "--against", "nodes"], &[], "the same in all sizes"),
        (&["--limit-s", "0"], &[], "--limit-s 0"),
        (&[], &["--servers=5"], "--servers=5"),
    ] {
        let output = ladder_of_decisions(arguments, run_arguments);
        let line = assert_rejected_in_one_line(&output, arguments);
        assert!(line.contains(part), "{arguments:?}: {line}");
    }
}
