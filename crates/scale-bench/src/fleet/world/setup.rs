//! Derives the nodes' settings, the endpoints and the endpoints' shared model from the scenario.

use edge_node::decision::{CounterSettings, EndpointId, Limits, Plan, Settings, WarmUp};
use rand::rngs::StdRng;
use rand::Rng;

use crate::fleet::accounts::{classes, AccountMix};
use crate::fleet::endpoint::{EndpointModel, ModelEndpoint};
use crate::fleet::scenario::Scenario;

/// Returns the parameters from which the accounts are drawn.
pub fn account_mix(scenario: &Scenario) -> AccountMix {
    AccountMix {
        count: scenario.account_count(),
        nodes: scenario.nodes,
        rate: scenario.total_rate(),
        quota_share: scenario.quota_share,
    }
}

/// Returns the settings that all nodes share. `node_index` and `zone` are set for each node later.
pub fn shared_settings(scenario: &Scenario, plans: Vec<Plan>) -> Settings {
    Settings {
        node_count: scenario.nodes,
        batch_interval: 2_000,
        clients_mark_retries: true,
        max_request_units: 2.0,
        cross_zone_cost: scenario.cross_zone_price,
        classes: classes(),
        plans,
        limits: Limits {
            cancel_allowed: true,
            probes_allowed: true,
            retry_after_allowed: true,
            max_retry_after: 2_000_000,
            max_attempts: 4,
            connect_timeout: scenario.connect_ms * 1_000,
        },
        counter: CounterSettings { enabled: true, timeout: 30_000 },
        warm_up: warm_up(scenario),
        ..Settings::default()
    }
}

/// Returns the parameters that all endpoints share.
pub fn endpoint_model(scenario: &Scenario) -> EndpointModel {
    EndpointModel {
        cores: scenario.cores,
        worker_slots: scenario.slots as usize,
        queue_length: scenario.queue as usize,
        mean_work: scenario.work_ms * 1e3,
        warm_up: warm_up(scenario),
    }
}

/// Draws the endpoints that are up from the start. They are spread over the zones in proportion to the nodes.
pub fn draw_endpoints(scenario: &Scenario, random: &mut StdRng) -> Vec<ModelEndpoint> {
    let endpoints_per_node = f64::from(scenario.servers) / f64::from(scenario.nodes);
    let mut endpoints = Vec::with_capacity(scenario.servers as usize);
    for index in 0..scenario.servers {
        let id = EndpointId(random.random());
        let zone = (f64::from(index) / endpoints_per_node) as u32 % scenario.zones;
        endpoints.push(ModelEndpoint::new(id, zone, 0, 0));
    }
    endpoints
}

fn warm_up(scenario: &Scenario) -> WarmUp {
    WarmUp {
        initial_fraction: scenario.cold_from,
        duration: scenario.cold_ms * 1_000,
        overload_multiple: scenario.fall_multiple,
        overload_duration: scenario.tip_after_ms * 1_000,
    }
}
