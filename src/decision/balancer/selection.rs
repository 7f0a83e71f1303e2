//! The rules by which one endpoint is preferred over another for an attempt.

use super::cost::CostModel;
use super::deduplication_group::DeduplicationGroup;
use super::endpoint::Endpoint;
use super::endpoint_table::EndpointTable;
use super::outlier_detection::Health;
use super::recovery::RecoveryTestBudget;
use super::slow_start::{self, SlowStart};
use super::subset::Subset;
use crate::decision::estimators::RandomSource;
use crate::decision::{EndpointId, Idempotency, Micros, Settings};

/// Whether an endpoint is expected to respond. The lesser is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Availability {
    Available,
    /// It is recovering, and the request may not test it: it gets the request only if nothing is available.
    Untested,
    Unavailable,
}

/// Where an endpoint is. The lesser is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Location {
    InSubset,
    Elsewhere,
}

/// Whether slow start gives an endpoint precedence. The lesser is preferred.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// It is warming up and due a request: by cost it would always lose to the best of the warm ones, which
    /// would be overloaded.
    WarmingUpAndDue,
    Ordinary,
}

/// How well an endpoint suits an attempt. The least is preferred; the fields count in this order.
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
    pub warm_fraction: f64,
    /// The endpoint is recovering: the attempt shows whether it serves again.
    pub is_recovery_test: bool,
    preference: Preference,
}

impl Candidate {
    /// Whether it is expected to respond.
    pub fn is_available(&self) -> bool {
        self.preference.availability == Availability::Available
    }

    /// The preferred of two candidates; the earlier if they are alike.
    fn or_better(best: Option<Candidate>, other: Candidate) -> Candidate {
        match best {
            Some(best) if other.preference < best.preference => other,
            Some(best) => best,
            None => other,
        }
    }
}

/// Selects among endpoints for one attempt.
pub(super) struct Selector<'a> {
    pub settings: &'a Settings,
    pub now: Micros,
    pub endpoints: &'a EndpointTable,
    pub subset: &'a Subset,
    pub slow_start: &'a SlowStart,
    /// Mean response time of the fleet and the bound past which a response is late, in microseconds.
    pub fleet_mean_latency: f64,
    pub latency_bound: f64,
    pub cost_model: CostModel<'a>,
    /// The group of endpoints that the attempt is bound to, if an earlier one may have run.
    pub bound_to: Option<DeduplicationGroup>,
    /// An endpoint that is not to be selected.
    pub exclude: Option<EndpointId>,
    /// The idempotency of the request's class.
    pub idempotency: Idempotency,
    /// The tests of recovering endpoints that requests which are not safe have left.
    pub recovery_tests: &'a RecoveryTestBudget,
}

impl Selector<'_> {
    /// The best of the endpoints that are examined for each attempt.
    pub fn best_of_first(&self, random: &mut RandomSource) -> Option<Candidate> {
        self.best_of(self.subset.positions_to_examine(), None, random)
    }

    /// The better of `best` and the endpoints beyond the subset: for an attempt that is bound to a group all
    /// of the group, else a sample.
    pub fn or_better_of_rest(&self, best: Option<Candidate>, random: &mut RandomSource) -> Option<Candidate> {
        // The sample draws a random number though a bound attempt does not use it.
        let sample = self.subset.sample_of_rest(random);
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

    /// The endpoint at a ring position as a candidate, if it may be sent the attempt.
    // Inlined, since it runs for each endpoint that is examined.
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

    /// Whether the attempt may go to an endpoint at all.
    fn is_allowed(&self, endpoint: &Endpoint) -> bool {
        let in_bounds = self.bound_to.is_none_or(|group| group.contains(&endpoint.entry));
        in_bounds && Some(endpoint.entry.id) != self.exclude
    }

    /// Whether the endpoint is expected to respond to this attempt; none if it may not be sent it, since the
    /// attempt that shows if it has recovered is in flight.
    fn availability(&self, endpoint: &Endpoint, health: Health) -> Option<Availability> {
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

    /// An ejected endpoint in the subset counts as elsewhere: the next ones on the ring stand in for it, and
    /// it is to be no better than other unavailable endpoints beyond the subset.
    fn location(&self, endpoint: &Endpoint, position: usize) -> Location {
        if !endpoint.is_ejected(self.now) && self.subset.contains(position) {
            Location::InSubset
        } else {
            Location::Elsewhere
        }
    }
}

fn precedence(endpoint: &Endpoint, location: Location, warm_fraction: f64) -> Precedence {
    if location == Location::InSubset && warm_fraction < 1.0 && endpoint.consecutive_ejections == 0 {
        Precedence::WarmingUpAndDue
    } else {
        Precedence::Ordinary
    }
}
