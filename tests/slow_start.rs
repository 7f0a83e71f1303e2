//! Endpoints that warm up under the sum of what twenty to thirty nodes send: they get part of the load and
//! survive it.

mod common;
mod warm_up;

use common::{MILLISECOND, SECOND};
use edge_node::decision::WarmUp;
use warm_up::{NodeOutage, Scenario, Simulation};

/// Few warming endpoints among many warm ones, under a burst.
fn few_among_many_under_burst(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 25,
        warm_count: 10,
        warming_count: 3,
        load_before: 0.6,
        load_in_burst: 0.9,
        ..Scenario::calm(warm_up)
    }
}

/// More warming endpoints than warm ones, under a burst that begins a second later.
fn more_warming_than_warm(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 20,
        warm_count: 5,
        warming_count: 8,
        load_before: 0.6,
        load_in_burst: 0.9,
        burst_after: SECOND,
        ..Scenario::calm(warm_up)
    }
}

/// A burst beyond what the warm endpoints can serve, after hardly any load.
fn burst_after_idle_time(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 30,
        warm_count: 8,
        warming_count: 4,
        load_before: 0.02,
        load_in_burst: 1.2,
        burst_after: 8 * SECOND,
        ..Scenario::calm(warm_up)
    }
}

/// Twice what the warm endpoints can serve.
fn far_more_than_warm_ones_can_serve(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 30,
        warm_count: 4,
        warming_count: 8,
        load_before: 0.9,
        load_in_burst: 2.0,
        ..Scenario::calm(warm_up)
    }
}

/// Seven in ten nodes are killed for two seconds during the burst.
fn most_nodes_killed(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 28,
        warm_count: 12,
        warming_count: 6,
        load_before: 1.0,
        load_in_burst: 1.4,
        outage: Some(NodeOutage { after: SECOND, duration: 2 * SECOND }),
        ..Scenario::calm(warm_up)
    }
}

fn scenarios(warm_up: &WarmUp) -> [Scenario; 5] {
    [
        few_among_many_under_burst(warm_up),
        more_warming_than_warm(warm_up),
        burst_after_idle_time(warm_up),
        far_more_than_warm_ones_can_serve(warm_up),
        most_nodes_killed(warm_up),
    ]
}

/// Asserts that the warming endpoints survive what they get, and that they get some of it.
fn assert_warming_endpoints_are_used_and_survive(warm_up: &WarmUp) {
    for (number, scenario) in scenarios(warm_up).iter().enumerate() {
        for seed in 1..=3 {
            let outcome = Simulation::new(scenario, seed).run();
            let fullest = outcome.fullest_window;
            let share = outcome.warming_share;
            assert!(fullest <= 1.0, "scenario {number}, seed {seed}: {fullest:.2} of the survivable load");
            assert!(share > 0.02, "scenario {number}, seed {seed}: {share:.3} to the warming endpoints");
        }
    }
}

#[test]
fn nodes_together_use_cold_endpoints_without_overloading_them() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.21,
        duration: 12 * SECOND,
        overload_multiple: 4.0,
        overload_duration: 3 * SECOND,
    });
}

#[test]
fn nodes_together_do_not_overload_cold_endpoints_that_survive_less_for_a_shorter_time() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 2.5,
        overload_duration: 1_500 * MILLISECOND,
    });
}

#[test]
fn nodes_together_do_not_overload_cold_endpoints_that_fail_at_one_and_a_half_times_their_capacity() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 1.5,
        overload_duration: SECOND,
    });
}
