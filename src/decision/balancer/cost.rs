//! The cost of an attempt at an endpoint. It decides between endpoints that the other rules rank alike.

use super::endpoint::EndpointBalancingState;
use super::endpoint_table::EndpointTable;
use super::failure_shares::{FailureKind, FailureShares};
use super::SelectionRequest;
use crate::decision::estimators::RandomSource;
use crate::decision::{Micros, Settings};

/// How fast the node's own load counts outweigh exploration: the weight of exploration is
/// 1 / (1 + `EXPLORATION_DECAY` * n) with n attempts in flight per active endpoint.
const EXPLORATION_DECAY: f64 = 60.0;
/// The failure factor of the cost is (1 + `FAILURE_COST` * risk)^2, with the risk of failure from 0 to 1.
const FAILURE_COST: f64 = 10.0;
/// Failures affect the cost only if the share of at least one kind over the fleet is above this value.
const NEGLIGIBLE_FAILURE_SHARE: f64 = 0.01;
/// Bounds of the slowness, the response time of an endpoint relative to that of the fleet.
const MIN_SLOWNESS: f64 = 0.25;
const MAX_SLOWNESS: f64 = 4.0;
/// Lower bound of the warm fraction by which the cost is divided.
const MIN_WARM_FRACTION: f64 = 0.05;

/// A kind of failure and the share of attempts over the fleet that fail in this way, 0 to 1.
#[derive(Clone, Copy)]
struct FleetShare {
    kind: FailureKind,
    share: f64,
}

/// The shares over the fleet of the kinds of failure that one request may meet.
struct FleetFailures {
    class: FleetShare,
    plan: FleetShare,
    unanswered: FleetShare,
}

impl FleetFailures {
    fn of(request: &SelectionRequest, fleet: &FailureShares, now: Micros) -> Self {
        let fleet_share = |kind| FleetShare { kind, share: fleet.share(kind, 0.0, now) };
        FleetFailures {
            class: fleet_share(FailureKind::Class(request.class)),
            plan: fleet_share(FailureKind::Plan(request.plan)),
            unanswered: fleet_share(FailureKind::Unanswered),
        }
    }

    fn are_negligible(&self) -> bool {
        let all = [self.class, self.plan, self.unanswered];
        all.iter().all(|fleet| fleet.share <= NEGLIGIBLE_FAILURE_SHARE)
    }
}

/// Estimates the cost of an attempt for one request.
pub(super) struct CostModel<'a> {
    settings: &'a Settings,
    now: Micros,
    /// Mean response time of the fleet in microseconds.
    fleet_mean_latency: f64,
    /// Weight of a random number relative to the node's own load counts, 0 to 1. Without it, a node with
    /// almost no attempts in flight would always select the endpoint with the greatest capacity.
    exploration: f64,
    /// `None` if all shares are negligible.
    fleet_failures: Option<FleetFailures>,
}

impl<'a> CostModel<'a> {
    /// Creates the model for one request.
    pub fn new(
        settings: &'a Settings,
        now: Micros,
        request: &SelectionRequest,
        endpoints: &EndpointTable,
        fleet_mean_latency: f64,
        fleet_failures: &FailureShares,
    ) -> Self {
        let in_flight = endpoints.in_flight() as f64;
        let active_count = endpoints.active_count().max(1) as f64;
        let exploration = 1.0 / (1.0 + EXPLORATION_DECAY * in_flight / active_count);
        let fleet_failures = FleetFailures::of(request, fleet_failures, now);
        let fleet_failures = (!fleet_failures.are_negligible()).then_some(fleet_failures);
        CostModel { settings, now, fleet_mean_latency, exploration, fleet_failures }
    }

    /// Returns the cost of an attempt at an endpoint: the expected wait relative to the endpoint's capacity,
    /// times a factor for the distance and a factor for the risk of failure. Draws one random number.
    pub fn cost(
        &self,
        endpoint: &EndpointBalancingState,
        warm_fraction: f64,
        random: &mut RandomSource,
    ) -> f64 {
        let wait = self.slowness(endpoint) * self.queue(endpoint, random);
        let capacity = endpoint.entry.weight * warm_fraction.max(MIN_WARM_FRACTION);
        let failure_factor = (1.0 + FAILURE_COST * self.failure_risk(endpoint)).powi(2);
        wait / capacity * self.distance_factor(endpoint) * failure_factor
    }

    /// Returns the endpoint's mean response time relative to that of the fleet, within its bounds.
    fn slowness(&self, endpoint: &EndpointBalancingState) -> f64 {
        (endpoint.latency / self.fleet_mean_latency).clamp(MIN_SLOWNESS, MAX_SLOWNESS)
    }

    /// Returns the number of attempts at the endpoint, including this one. With few attempts in flight the
    /// node's own count says little, and a random number replaces most of this attempt's part. The random
    /// number is exponentially distributed, so that endpoints are selected in proportion to their capacity.
    fn queue(&self, endpoint: &EndpointBalancingState, random: &mut RandomSource) -> f64 {
        let load = endpoint.in_flight_since_ejection().count() as f64;
        load + 1.0 - self.exploration + self.exploration * random.exponential()
    }

    /// Returns the factor on the cost for crossing zones; 1 in the node's own zone.
    ///
    /// With a greater factor than 2 on `cross_zone_cost`, fewer attempts cross zones, and endpoints of the
    /// own zone get more load before others are preferred. With a smaller one, the load is spread more evenly
    /// over the zones, and more attempts cross them.
    fn distance_factor(&self, endpoint: &EndpointBalancingState) -> f64 {
        if endpoint.entry.zone == self.settings.zone {
            1.0
        } else {
            1.0 + 2.0 * self.settings.cross_zone_cost
        }
    }

    /// Returns the probability that the attempt fails, 0 to 1, by the kind of failure with the greatest
    /// share. Where a node always has attempts in flight at an endpoint, these reveal missing responses by
    /// themselves, so the share of unanswered attempts weighs less there.
    fn failure_risk(&self, endpoint: &EndpointBalancingState) -> f64 {
        let Some(fleet) = &self.fleet_failures else { return 0.0 };
        let share = |fleet: FleetShare| endpoint.failures.share(fleet.kind, fleet.share, self.now);
        let unanswered_weight = (2.0 * self.exploration).min(1.0);
        share(fleet.class).max(share(fleet.plan)).max(share(fleet.unanswered) * unanswered_weight)
    }
}
