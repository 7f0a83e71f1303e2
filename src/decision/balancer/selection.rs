//! The rules by which one endpoint is preferred to another for an attempt.

use super::cost::CostModel;
use super::deduplication_group::DeduplicationGroup;
use super::endpoint::EndpointBalancingState;
use super::endpoint_table::EndpointTable;
use super::outlier_detection::Health;
use super::recovery::RecoveryTestBudget;
use super::slow_start::{self, SlowStart};
use super::subset::Subset;
use crate::decision::estimators::RandomSource;
use crate::decision::{EndpointId, Idempotency, Micros, Settings};

/// Whether an endpoint is expected to respond. The lesser value is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Availability {
    Available,
    /// It is recovering, and the request may not test it: it is sent the request only if no endpoint is
    /// available.
    Untested,
    Unavailable,
}

/// Whether an endpoint counts as part of the node's subset. The lesser value is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Location {
    InSubset,
    OutsideSubset,
}

/// Whether slow start gives an endpoint precedence. The lesser value is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// It is warming up and due a request (`slow_start`). Ranked by cost alone, it would always lose to the
    /// best of the warm endpoints, and these would be overloaded.
    WarmingUpAndDue,
    Ordinary,
}

/// How well an endpoint suits an attempt. The least value is preferred; the fields are compared in this
/// order.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd)]
struct Preference {
    availability: Availability,
    location: Location,
    precedence: Precedence,
    cost: f64,
}

/// An endpoint that may be sent an attempt.
#[derive(Clone, Copy)]
pub(super) struct Candidate {
    pub endpoint: EndpointId,
    /// Lower bound of the share of its full capacity that the endpoint has, 0 to 1.
    pub warm_fraction: f64,
    /// The endpoint is recovering, so the attempt tests whether it serves again.
    pub is_recovery_test: bool,
    preference: Preference,
}

impl Candidate {
    /// Returns whether the endpoint is expected to respond.
    pub fn is_available(&self) -> bool {
        self.preference.availability == Availability::Available
    }

    /// Returns the preferred of two candidates, `best` if they are equal.
    fn or_better(best: Option<Candidate>, other: Candidate) -> Candidate {
        match best {
            Some(best) if other.preference < best.preference => other,
            Some(best) => best,
            None => other,
        }
    }
}

/// Selects an endpoint for one attempt.
pub(super) struct Selector<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    pub endpoints: &'a EndpointTable,
    pub subset: &'a Subset,
    pub slow_start: &'a SlowStart,
    /// Mean response time of the fleet in microseconds.
    pub fleet_mean_latency: f64,
    /// An attempt in flight for longer than this many microseconds takes more time than the fleet usually
    /// needs.
    pub latency_bound: f64,
    pub cost_model: CostModel<'a>,
    /// The deduplication group to which the attempt is bound, if an earlier attempt may have run.
    pub bound_to: Option<DeduplicationGroup>,
    /// An endpoint that must not be selected, if any.
    pub exclude: Option<EndpointId>,
    /// The idempotency of the request's class.
    pub idempotency: Idempotency,
    /// The budget of recovery tests by requests that are not safe.
    pub recovery_tests: &'a RecoveryTestBudget,
}

impl Selector<'_> {
    /// Returns the best of the endpoints that are examined for each attempt, or `None` if none of them may be
    /// sent this one.
    pub fn best_of_always_examined(&self, random: &mut RandomSource) -> Option<Candidate> {
        self.best_of(self.subset.positions_to_examine(), None, random)
    }

    /// Returns the best of `best` and endpoints beyond the subset: all endpoints of the group for an attempt
    /// that is bound to a group, else a sample.
    pub fn or_better_beyond_subset(
        &self,
        best: Option<Candidate>,
        random: &mut RandomSource,
    ) -> Option<Candidate> {
        // The sample draws a random number even though a bound attempt does not use the sample.
        let sample = self.subset.sample_beyond_subset(random);
        match self.bound_to {
            Some(group) => {
                let of_group = self.endpoints.positions_of(group);
                let beyond_subset = of_group.filter(|&position| !self.subset.contains(position));
                self.best_of(beyond_subset, best, random)
            }
            None => self.best_of(sample, best, random),
        }
    }

    fn best_of(
        &self,
        positions: impl Iterator<Item = usize>,
        mut best: Option<Candidate>,
        random: &mut RandomSource,
    ) -> Option<Candidate> {
        for position in positions {
            if let Some(candidate) = self.candidate(position, random) {
                best = Some(Candidate::or_better(best, candidate));
            }
        }
        best
    }

    /// Returns the endpoint at a ring position as a candidate, or `None` if it may not be sent the attempt.
    // Inlined, since it runs for every endpoint that is examined.
    #[inline(always)]
    fn candidate(&self, position: usize, random: &mut RandomSource) -> Option<Candidate> {
        let endpoint = self.endpoints.at(position);
        if !self.is_allowed(endpoint) {
            return None;
        }
        let rules = &self.settings.warm_up;
        let warm_fraction = slow_start::warm_fraction(rules, endpoint, self.fleet_mean_latency, self.now);
        if !self.slow_start.admits(endpoint, warm_fraction) {
            return None;
        }
        let health = endpoint.health(self.latency_bound, self.now);
        let availability = self.availability(endpoint, health)?;
        let location = self.location(endpoint, position);
        let preference = Preference {
            availability,
            location,
            precedence: precedence(endpoint, location, warm_fraction),
            cost: self.cost_model.cost(endpoint, warm_fraction, random),
        };
        Some(Candidate {
            endpoint: endpoint.entry.id,
            warm_fraction,
            is_recovery_test: health == Health::Recovering,
            preference,
        })
    }

    /// Returns whether the endpoint is in the group to which the attempt is bound, if any, and is not
    /// excluded.
    fn is_allowed(&self, endpoint: &EndpointBalancingState) -> bool {
        let in_bound_group = self.bound_to.is_none_or(|group| group.contains(&endpoint.entry));
        in_bound_group && Some(endpoint.entry.id) != self.exclude
    }

    /// Returns whether the endpoint is expected to respond to this attempt. Returns `None` if the endpoint
    /// may not be sent the attempt, since the attempt that tests its recovery is in flight.
    fn availability(&self, endpoint: &EndpointBalancingState, health: Health) -> Option<Availability> {
        match health {
            Health::Healthy => Some(Availability::Available),
            Health::Unavailable => Some(Availability::Unavailable),
            Health::Recovering if endpoint.has_recovery_attempt_in_flight() => None,
            Health::Recovering if self.recovery_tests.allows_test(endpoint, self.idempotency, self.now) => {
                Some(Availability::Available)
            }
            Health::Recovering => Some(Availability::Untested),
        }
    }

    /// Returns whether the endpoint counts as part of the subset. An ejected endpoint within the subset
    /// counts as outside: the next endpoints on the ring replace it, and it must not be preferred to other
    /// unavailable endpoints beyond the subset.
    fn location(&self, endpoint: &EndpointBalancingState, position: usize) -> Location {
        if !endpoint.is_ejected(self.now) && self.subset.contains(position) {
            Location::InSubset
        } else {
            Location::OutsideSubset
        }
    }
}

fn precedence(endpoint: &EndpointBalancingState, location: Location, warm_fraction: f64) -> Precedence {
    if location == Location::InSubset && warm_fraction < 1.0 && endpoint.consecutive_ejections == 0 {
        Precedence::WarmingUpAndDue
    } else {
        Precedence::Ordinary
    }
}
