//! Tests of the subcommand `fleet` with some dozens of hollow nodes. The clock is simulated, so a seed
//! determines the result.

use clap::Parser;
use scale_bench::fleet::{measure, Options};
use scale_bench::report::Report;

#[derive(Parser)]
struct Cli {
    #[command(flatten)]
    options: Options,
}

/// Parses the arguments of `fleet`.
fn parse(arguments: &str) -> Result<Options, clap::Error> {
    let words = ["fleet"].into_iter().chain(arguments.split_whitespace());
    Cli::try_parse_from(words).map(|cli| cli.options)
}

/// Runs a simulation and returns its report without memory and wall-time figures.
fn run(arguments: &str) -> Report {
    let options = parse(&format!("--simulated-only {arguments}")).expect("the arguments should parse");
    measure(&options.scenario).expect("the run should succeed")
}

/// Returns a figure of the report, which must have it.
fn get(report: &Report, name: &str) -> f64 {
    report.get(name).unwrap_or_else(|| panic!("the report has no figure {name}"))
}

/// Arguments for a fleet that is small enough for a debug build to simulate.
const SMALL: &str = "--nodes 36 --servers 48 --rate 720 --work-ms 60 --cores 2 --warm-ms 4000";

/// Arguments for equal delays between all zones.
const EQUAL_DELAYS: &str = "--delay-region-us 150 --delay-far-us 150 --warm-ms 4000";

#[test]
fn same_seed_yields_identical_report_and_another_seed_does_not() {
    let run_with_seed = |seed: u32| {
        let failure = "--fail restart-tenth --fail-at-ms 2000";
        run(&format!("{SMALL} --measured-ms 6000 {failure} --seed {seed}"))
    };
    let to_text =
        |report: &Report| serde_json::to_string_pretty(report).expect("the report should serialize");
    let first = run_with_seed(1);
    assert_eq!(to_text(&first), to_text(&run_with_seed(1)));
    assert_ne!(first.figures, run_with_seed(2).figures);
}

#[test]
fn release_overloads_new_endpoints_only_if_their_overload_limit_is_tiny() {
    let release = "--measured-ms 14000 --fail release --fail-at-ms 2000 --fail-for-ms 5000 --release-steps 5";
    let report = run(&format!("{SMALL} {release}"));
    assert_eq!(get(&report, "cold_started"), 24.0);
    assert_eq!(get(&report, "cold_fell"), 0.0);
    assert!(get(&report, "service") > 0.97, "service is {}, expected above 0.97", get(&report, "service"));
    // Shows that the check can fail: with an overload limit of a twentieth of the capacity, the same load
    // overloads new endpoints.
    let report = run(&format!("{SMALL} {release} --fall-multiple 0.05"));
    assert!(get(&report, "cold_fell") > 0.0);
}

/// Guards against subsets that leave some endpoints to fewer nodes than others. With 96 endpoints and 48
/// nodes, each subset has 48 endpoints and each endpoint is in 24 subsets.
///
/// Every request takes the same time, which is slightly longer than a node assumes of an endpoint that it has
/// not used yet. Each node therefore tries all endpoints of its subset and ejects none of them, so the
/// endpoints that it used are its subset.
#[test]
fn endpoints_are_in_equally_many_subsets_and_lose_only_nodes_that_are_down() {
    let sizes = "--nodes 48 --servers 96 --rate 1440 --work-ms 120 --work-spread 0 --cores 8";
    let all_up = run(&format!("{sizes} {EQUAL_DELAYS} --measured-ms 10000"));
    for figure in ["nodes_per_server_least", "nodes_per_server_most"] {
        assert_eq!(get(&all_up, figure), 24.0, "{figure}");
    }
    assert_eq!(get(&all_up, "servers_per_node_least"), 48.0);
    // Five of the 48 nodes are down for the rest of the run. An endpoint loses at most these five and gains
    // none.
    let failure = "--fail restart-tenth --fail-at-ms 1000 --boot-ms 60000";
    let some_down = run(&format!("{sizes} {EQUAL_DELAYS} --measured-ms 10000 {failure}"));
    assert_eq!(get(&some_down, "servers_per_node_least"), 0.0);
    let least = get(&some_down, "nodes_per_server_least");
    let most = get(&some_down, "nodes_per_server_most");
    assert!(least >= 19.0 && most <= 24.0, "endpoints have {least} to {most} nodes, expected 19 to 24");
    assert_eq!(get(&some_down, "nodes_per_server"), 21.5);
}

/// Arguments for a fleet in which half of the 48 nodes are down. Each of the 96 endpoints is then in the
/// subsets of 12 nodes on average. The nodes are drawn at random, so one part of the ring may lose most of
/// its nodes, but no endpoint is left without nodes.
const HALF_DOWN: &str = "--nodes 48 --servers 96 --rate 720 --work-ms 120 --work-spread 0 --cores 8 \
                         --measured-ms 12000 --fail half-down --fail-at-ms 1000 --fail-for-ms 60000";

#[test]
fn every_endpoint_keeps_nodes_with_half_of_the_nodes_down() {
    let report = run(&format!("{HALF_DOWN} {EQUAL_DELAYS} --front-notice-ms 0"));
    assert_eq!(get(&report, "nodes_per_server"), 12.0);
    let least = get(&report, "nodes_per_server_least");
    let most = get(&report, "nodes_per_server_most");
    assert!(least >= 6.0 && most <= 18.0, "endpoints have {least} to {most} nodes, expected 6 to 18");
    assert_eq!(get(&report, "servers_per_node_least"), 0.0);
    assert_eq!(get(&report, "servers_per_node_most"), 48.0);
}

#[test]
fn tries_sent_to_unresponsive_nodes_are_lost_until_the_front_notices() {
    // If the front notices at once, only the tries that the unresponsive nodes had accepted are lost.
    let noticed_at_once = run(&format!("{HALF_DOWN} {EQUAL_DELAYS} --front-notice-ms 0"));
    let lost_at_once = get(&noticed_at_once, "lost_tries");
    assert!(lost_at_once > 0.0);
    let noticed_late = run(&format!("{HALF_DOWN} {EQUAL_DELAYS}"));
    let lost = get(&noticed_late, "lost_tries");
    assert!(
        lost > 4.0 * lost_at_once,
        "{lost} tries were lost, expected over 4 times the {lost_at_once} lost with immediate notice"
    );
}

#[test]
fn account_has_no_available_node_only_if_all_its_nodes_are_down() {
    let two_nodes = run(&format!("{HALF_DOWN} {EQUAL_DELAYS} --front-notice-ms 0"));
    assert!(
        get(&two_nodes, "no_node") > 0.1,
        "no_node is {}, expected above 0.1",
        get(&two_nodes, "no_node")
    );
    let all_nodes = run(&format!("{HALF_DOWN} {EQUAL_DELAYS} --front-notice-ms 0 --spread 48"));
    assert_eq!(get(&all_nodes, "no_node"), 0.0);
}

#[test]
fn service_recovers_after_unresponsive_nodes_restart() {
    let failure = "--fail half-down --fail-at-ms 2000 --fail-for-ms 4000";
    let report = run(&format!("{SMALL} --measured-ms 16000 {failure}"));
    assert_eq!(get(&report, "well_again"), 1.0);
    let recovered_after = get(&report, "well_again_after");
    // The nodes are down for 4 s of this time and take at most 1.5 s to start.
    assert!(
        (4.0..=8.0).contains(&recovered_after),
        "service recovered after {recovered_after} s, expected 4 to 8 s"
    );
    assert!(get(&report, "servers_per_node_least") > 0.0);
    assert_eq!(get(&report, "cold_started"), 0.0);
}

#[test]
fn service_recovers_after_a_silent_counter_service() {
    let calm = run(&format!("{SMALL} --measured-ms 14000"));
    assert_eq!(get(&calm, "counter_timed_out"), 0.0);
    let failure = "--fail counter-silent --fail-at-ms 3000 --fail-for-ms 3000";
    let silent = run(&format!("{SMALL} --measured-ms 14000 {failure}"));
    assert!(get(&silent, "counter_timed_out") > 0.0);
    assert!(get(&silent, "refused_inside") > get(&calm, "refused_inside"));
    assert_eq!(get(&silent, "well_again"), 1.0);
}

#[test]
fn undersized_counter_service_lowers_service() {
    let calm = run(&format!("{SMALL} --measured-ms 14000"));
    let small = run(&format!("{SMALL} --measured-ms 14000 --counter-calls-per-s 60"));
    assert!(
        get(&small, "counter_timed_out") > 0.1,
        "counter_timed_out is {}, expected above 0.1",
        get(&small, "counter_timed_out")
    );
    assert!(get(&small, "counter_calls") < get(&calm, "counter_calls") / 2.0);
    assert!(get(&small, "service") < get(&calm, "service"));
}

#[test]
fn arguments_out_of_range_do_not_parse() {
    for arguments in ["--nodes 0", "--work-ms -1", "--quota-share 1.5", "--fail flood", "--rate inf"] {
        assert!(parse(arguments).is_err(), "parsed although out of range: {arguments}");
    }
}

#[test]
fn contradictory_arguments_are_rejected_with_one_line() {
    for arguments in [
        "--nodes 5000 --servers 46000",
        "--regions 4 --zones 3",
        "--fail rack --fail-at-ms 30000",
        "--nodes 20000 --servers 1 --customers-per-node 100 --memory-most-mb 12000",
    ] {
        let options = parse(arguments).expect("the arguments should parse");
        let error = measure(&options.scenario).expect_err(arguments).to_string();
        assert!(!error.is_empty(), "empty error text for {arguments}");
        assert!(!error.contains('\n'), "error text has more than one line: {error}");
    }
}
