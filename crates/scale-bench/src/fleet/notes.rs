//! Adds to a fleet report the notes that explain how to read its figures.

use super::scenario::Scenario;
use crate::report::Report;

/// Adds the notes that apply to the scenario.
pub fn add_notes(scenario: &Scenario, report: &mut Report) {
    report.notes.push(share_of_whole_fleet(scenario));
    report.notes.push(
        "at one ratio of app servers to nodes and one rate a node, shares, calls and handshakes a request \
         and the load of a server carry over; what does not: the counter's calls a second grow with all \
         requests, the list's length and each node's memory with all app servers, a list change is sent to \
         all nodes, and a failure of one rack, zone or region is a smaller share of more of them"
            .into(),
    );
    if scenario.counter_calls_per_s.is_none() {
        report.notes.push("the counter was given ample capacity, two calls for each request".into());
    }
    report.notes.push(
        "service: for each customer the units served inside its quota, up to those asked inside it, over \
         all customers; the exact bucket that no node sees tells what is inside; service_before, \
         service_least: the share of the requests that were inside the quota when first asked and that \
         were served in the end"
            .into(),
    );
    report.notes.push(
        "the counter is equally far from all nodes (--counter-delay-us), though regions are --delay-far-us \
         apart; clients reach their node without delay; the subset knows nothing of zones and regions"
            .into(),
    );
    if !scenario.simulated_only {
        report.notes.push(
            "memory_per_hollow_node: growth of the resident size over the warm-up, over the nodes; it \
             holds the decision module, its idle connections' bookkeeping and the model's requests under \
             way, and none of a real process's sockets, buffers or code"
                .into(),
        );
    }
}

fn share_of_whole_fleet(scenario: &Scenario) -> String {
    let nodes = f64::from(scenario.nodes);
    let endpoints = f64::from(scenario.servers);
    let rate = scenario.total_rate();
    let whole_nodes = f64::from(scenario.whole_nodes);
    let whole_endpoints = f64::from(scenario.whole_servers);
    format!(
        "share of the whole fleet: {:.2}% of {} nodes, {:.2}% of {} app servers, {:.2}% of {} requests a \
         second; {:.2} app servers a node here and {:.2} there, {:.0} requests a second at a node here and \
         {:.0} there",
        percent(nodes, whole_nodes),
        scenario.whole_nodes,
        percent(endpoints, whole_endpoints),
        scenario.whole_servers,
        percent(rate, scenario.whole_rate),
        scenario.whole_rate,
        endpoints / nodes,
        whole_endpoints / whole_nodes,
        rate / nodes,
        scenario.whole_rate / whole_nodes,
    )
}

fn percent(part: f64, whole: f64) -> f64 {
    part / whole * 100.0
}
