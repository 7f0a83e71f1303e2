//! Hollow fleets of some dozens. The simulated clock and one seed give the same verdict every time.

use clap::Parser;
use scale_bench::fleet::{measure, Options};
use scale_bench::report::Report;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    options: Options,
}

/// A run with the arguments of the command line.
fn run(arguments: &str) -> Report {
    let words = ["fleet", "--simulated-only"].into_iter().chain(arguments.split_whitespace());
    let options = Cli::try_parse_from(words).expect("arguments that parse").options;
    measure(&options.scenario).expect("a run")
}

fn get(report: &Report, name: &str) -> f64 {
    report.get(name).unwrap_or_else(|| panic!("no figure {name}"))
}

/// Some dozens of nodes at a rate that a debug build bears.
const SMALL: &str = "--nodes 36 --servers 48 --rate 720 --work-ms 60 --cores 2 --warm-ms 4000";

#[test]
fn the_same_seed_repeats_to_the_byte_and_another_does_not() {
    let run = |seed: u32| {
        let failure = "--fail restart-tenth --fail-at-ms 2000";
        let report = run(&format!("{SMALL} --measured-ms 6000 {failure} --seed {seed}"));
        serde_json::to_string_pretty(&report).expect("a report")
    };
    let first = run(1);
    assert_eq!(first, run(1));
    let figures = |text: &str| serde_json::from_str::<Report>(text).expect("a report").figures;
    assert_ne!(figures(&first), figures(&run(2)));
}

#[test]
fn no_cold_server_falls_through_a_release_and_one_does_where_it_bears_too_little() {
    let release = "--measured-ms 14000 --fail release --fail-at-ms 2000 --fail-for-ms 5000 --release-steps 5";
    let r = run(&format!("{SMALL} {release}"));
    assert_eq!(get(&r, "cold_started"), 24.0);
    assert_eq!(get(&r, "cold_fell"), 0.0);
    assert!(get(&r, "service") > 0.97, "{}", get(&r, "service"));
    // The model can fail: servers that bear a twentieth of what they can do fall under the same sends.
    let r = run(&format!("{SMALL} {release} --fall-multiple 0.05"));
    assert!(get(&r, "cold_fell") > 0.0);
}

/// At 96 app servers and 48 nodes each subset is 48 servers, and each server is in 24. Every request takes the same
/// time, a little more than a node takes for granted of a server that it has not met yet: so each node tries all
/// of its subset, ejects none, and what it met is its subset.
#[test]
fn each_server_is_in_as_many_subsets_as_any_other_also_with_a_tenth_of_the_nodes_down() {
    let sizes = "--nodes 48 --servers 96 --rate 1440 --work-ms 120 --work-spread 0 --cores 8";
    let flat = "--delay-region-us 150 --delay-far-us 150 --warm-ms 4000 --measured-ms 10000";
    let all = run(&format!("{sizes} {flat}"));
    for figure in ["nodes_per_server_least", "nodes_per_server_most"] {
        assert_eq!(get(&all, figure), 24.0, "{figure}");
    }
    assert_eq!(get(&all, "servers_per_node_least"), 48.0);
    // Five of the 48 are down for the rest of the run: no server loses more than these, and none gains.
    let down = "--fail restart-tenth --fail-at-ms 1000 --boot-ms 60000";
    let some = run(&format!("{sizes} {flat} {down}"));
    assert_eq!(get(&some, "servers_per_node_least"), 0.0);
    let (least, most) = (get(&some, "nodes_per_server_least"), get(&some, "nodes_per_server_most"));
    assert!(least >= 19.0 && most <= 24.0, "{least} to {most}");
    assert_eq!(get(&some, "nodes_per_server"), 21.5);
}

/// Each of the 96 app servers is in 24 subsets of 48; with half of the nodes down it is in 12 in the mean. They are
/// drawn by lot, and a stretch of the ring may lose most of its nodes, but none is left without.
#[test]
fn with_half_of_the_nodes_down_each_server_still_has_nodes_and_no_client_waits_for_a_dead_one() {
    let sizes = "--nodes 48 --servers 96 --rate 720 --work-ms 120 --work-spread 0 --cores 8";
    let flat = "--delay-region-us 150 --delay-far-us 150 --warm-ms 4000 --measured-ms 12000";
    let down = "--fail half-down --fail-at-ms 1000 --fail-for-ms 60000";
    // The front sees at once who is down: only what the dead held is lost.
    let r = run(&format!("{sizes} {flat} {down} --front-notice-ms 0"));
    assert_eq!(get(&r, "nodes_per_server"), 12.0);
    let (least, most) = (get(&r, "nodes_per_server_least"), get(&r, "nodes_per_server_most"));
    assert!(least >= 6.0 && most <= 18.0, "{least} to {most}");
    let nodes = (get(&r, "servers_per_node_least"), get(&r, "servers_per_node_most"));
    assert_eq!(nodes, (0.0, 48.0));
    let lost_at_once = get(&r, "lost_tries");
    assert!(lost_at_once > 0.0);
    // A customer whose whole set is down has nowhere to go; with a set of all nodes none is turned away so.
    assert!(get(&r, "no_node") > 0.1, "{}", get(&r, "no_node"));
    let wide = run(&format!("{sizes} {flat} {down} --front-notice-ms 0 --spread 48"));
    assert_eq!(get(&wide, "no_node"), 0.0);
    // Until the front sees it, each try that goes to a dead node is lost.
    let late = run(&format!("{sizes} {flat} {down}"));
    assert!(get(&late, "lost_tries") > 4.0 * lost_at_once, "{} of {lost_at_once}", get(&late, "lost_tries"));
}

#[test]
fn nodes_that_vanished_come_back_and_serve_as_before() {
    let r =
        run(&format!("{SMALL} --measured-ms 16000 --fail half-down --fail-at-ms 2000 --fail-for-ms 4000"));
    assert_eq!(get(&r, "well_again"), 1.0);
    let after = get(&r, "well_again_after");
    assert!((4.0..=8.0).contains(&after), "{after} s, of which 4 down and 1.5 at most to start");
    assert!(get(&r, "servers_per_node_least") > 0.0);
    assert_eq!(get(&r, "cold_started"), 0.0);
}

#[test]
fn a_silent_counter_is_survived_and_a_small_one_shows() {
    let calm = run(&format!("{SMALL} --measured-ms 14000"));
    assert_eq!(get(&calm, "counter_timed_out"), 0.0);
    let silent = "--fail counter-silent --fail-at-ms 3000 --fail-for-ms 3000";
    let silent = run(&format!("{SMALL} --measured-ms 14000 {silent}"));
    assert!(get(&silent, "counter_timed_out") > 0.0);
    assert!(get(&silent, "refused_inside") > get(&calm, "refused_inside"));
    assert_eq!(get(&silent, "well_again"), 1.0);
    let small = run(&format!("{SMALL} --measured-ms 14000 --counter-calls-per-s 60"));
    assert!(get(&small, "counter_timed_out") > 0.1, "{}", get(&small, "counter_timed_out"));
    assert!(get(&small, "counter_calls") < get(&calm, "counter_calls") / 2.0);
    assert!(get(&small, "service") < get(&calm, "service"));
}

#[test]
fn what_cannot_be_run_is_refused_with_one_line() {
    for bad in ["--nodes 0", "--work-ms -1", "--quota-share 1.5", "--fail flood", "--rate inf"] {
        let words = ["fleet"].into_iter().chain(bad.split_whitespace());
        assert!(Cli::try_parse_from(words).is_err(), "{bad}");
    }
    for bad in [
        "--nodes 5000 --servers 46000",
        "--regions 4 --zones 3",
        "--fail rack --fail-at-ms 30000",
        "--nodes 20000 --servers 1 --customers-per-node 100 --memory-most-mb 12000",
    ] {
        let words = ["fleet"].into_iter().chain(bad.split_whitespace());
        let options = Cli::try_parse_from(words).expect("arguments that parse").options;
        let error = measure(&options.scenario).expect_err(bad).to_string();
        assert!(!error.is_empty() && !error.contains('\n'), "{error}");
    }
}
