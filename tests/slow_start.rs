//! Slow start in a fleet: endpoints that are warming up get a part of the load of twenty to thirty nodes, and
//! the nodes together do not overload them.

mod common;
mod warm_up;

use common::{MILLISECOND, SECOND};
use edge_node::decision::WarmUp;
use warm_up::{NodeOutage, Scenario, Simulation};

/// Few endpoints that are warming up among many warm ones, under a burst.
fn few_among_many_under_burst(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 25,
        warm_count: 10,
        warming_count: 3,
        load_before: 0.6,
        load_in_burst: 0.9,
        ..Scenario::empty(warm_up)
    }
}

/// More endpoints that are warming up than warm ones, under a burst that begins a second after their start.
fn more_warming_than_warm(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 20,
        warm_count: 5,
        warming_count: 8,
        load_before: 0.6,
        load_in_burst: 0.9,
        burst_after: SECOND,
        ..Scenario::empty(warm_up)
    }
}

/// A burst that exceeds the capacity of the warm endpoints, after hardly any load.
fn burst_after_idle_time(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 30,
        warm_count: 8,
        warming_count: 4,
        load_before: 0.02,
        load_in_burst: 1.2,
        burst_after: 8 * SECOND,
        ..Scenario::empty(warm_up)
    }
}

/// A burst of twice the capacity of the warm endpoints.
fn far_more_than_warm_ones_can_serve(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 30,
        warm_count: 4,
        warming_count: 8,
        load_before: 0.9,
        load_in_burst: 2.0,
        ..Scenario::empty(warm_up)
    }
}

/// Seven in ten nodes are killed during the burst and are down for two seconds.
fn most_nodes_killed(warm_up: &WarmUp) -> Scenario {
    Scenario {
        node_count: 28,
        warm_count: 12,
        warming_count: 6,
        load_before: 1.0,
        load_in_burst: 1.4,
        outage: Some(NodeOutage { after: SECOND, duration: 2 * SECOND }),
        ..Scenario::empty(warm_up)
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

/// Asserts for each scenario that the endpoints that are warming up are not overloaded, and that they get
/// some load.
fn assert_warming_endpoints_are_used_and_survive(warm_up: &WarmUp) {
    for (number, scenario) in scenarios(warm_up).iter().enumerate() {
        for seed in 1..=3 {
            let outcome = Simulation::new(scenario, seed).run();
            let peak = outcome.peak_window_load;
            let share = outcome.warming_share;
            assert!(
                peak <= 1.0,
                "scenario {number}, seed {seed}: peak load {peak:.2}, relative to the survivable load plus \
                 an allowance for random arrivals; expected at most 1"
            );
            assert!(
                share > 0.02,
                "scenario {number}, seed {seed}: {share:.3} of the attempts went to warming endpoints; \
                 expected more than 0.02"
            );
        }
    }
}

#[test]
fn nodes_together_use_warming_endpoints_without_overloading_them() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.21,
        duration: 12 * SECOND,
        overload_multiple: 4.0,
        overload_duration: 3 * SECOND,
    });
}

#[test]
fn nodes_together_do_not_overload_warming_endpoints_that_survive_less_for_a_shorter_time() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 2.5,
        overload_duration: 1_500 * MILLISECOND,
    });
}

#[test]
fn nodes_together_do_not_overload_warming_endpoints_that_fail_at_one_and_a_half_times_their_capacity() {
    assert_warming_endpoints_are_used_and_survive(&WarmUp {
        initial_fraction: 0.2,
        duration: 15 * SECOND,
        overload_multiple: 1.5,
        overload_duration: SECOND,
    });
}
