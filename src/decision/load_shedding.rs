//! Load shedding: the response time that a new request can expect, and whether it is rejected for it.

use super::balancer::{Balancer, EndpointBalancingState, COMPLETION_TIME_CONSTANT};
use super::estimators::{DecayingMean, MICROS_PER_SECOND};
use super::{Micros, NewRequest, Settings, TICK};

/// Weight of a tick in the mean of attempts in flight, which so covers some 0.2 s: the few requests that one
/// node has in flight vary by chance, and overload is judged by their number.
const IN_FLIGHT_GAIN: f64 = 0.1;
/// Time constant of the mean response time, in microseconds.
const RESPONSE_TIME_CONSTANT: f64 = 4.0e6;
/// The mean response time weighs as much as so many attempts in flight.
const RESPONSE_TIME_EVIDENCE: f64 = 3.0;
/// Least age of the node that the rate of responses is corrected by, as a share of its time constant.
const MIN_RELATIVE_AGE: f64 = 1e-3;
/// Least value that weights and factors are divided by.
const MIN_WEIGHT: f64 = 1e-9;
/// A request is shed when its expected response time is past this share of the latency objective: for
/// requests of the least weight and for those of the greatest. A greater share admits more requests, of which
/// more are answered late; a smaller one sheds more of them early.
pub(super) const LEAST_SHED_THRESHOLD: f64 = 0.25;
pub(super) const GREATEST_SHED_THRESHOLD: f64 = 0.48;

/// Judges overload by attempts in flight and response times at healthy endpoints.
#[derive(Default)]
pub(super) struct LoadShedder {
    /// Attempts in flight, smoothed over ticks.
    in_flight: f64,
    /// Response times in microseconds.
    response_times: DecayingMean,
    /// When the node started.
    started_at: Micros,
}

impl LoadShedder {
    /// The node starts now.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Records the response time of an endpoint that is about as fast as the others.
    pub fn record_response_time(&mut self, now: Micros, elapsed: Micros) {
        self.response_times.record(now, elapsed as f64, RESPONSE_TIME_CONSTANT);
    }

    /// Takes what is in flight at a tick into the mean.
    pub fn on_tick(&mut self, balancer: &Balancer, now: Micros) {
        let latency_bound = balancer.latency_bound();
        let in_flight: usize = balancer
            .typical_endpoints(now)
            .map(|endpoint| attempts_being_served(endpoint, latency_bound))
            .sum();
        self.in_flight += (in_flight as f64 - self.in_flight) * IN_FLIGHT_GAIN;
    }

    /// The time until the fleet would admit this request if nothing more were sent, in microseconds. None if
    /// it is admitted now.
    ///
    /// In a full fleet everything would be answered late, so requests are shed, those of the least weight
    /// first. Overload is judged by what is in flight now: an idle fleet always admits, while response times
    /// of the past alone would shut it for good.
    pub fn time_until_admission(
        &self,
        settings: &Settings,
        balancer: &Balancer,
        request: &NewRequest,
        now: Micros,
    ) -> Option<Micros> {
        let threshold = shed_threshold(settings, request)?;
        // All classes queue at the same endpoints. If each had its own objective as the limit, the class with
        // the longest would take all capacity.
        let limit = (shortest_latency_objective(settings) * threshold).max(1.0);
        let expected = self.expected_response_time(settings, balancer, now);
        let overload_ratio = expected * self.confidence(now) / limit;
        // What is expected is smoothed, so without new requests it falls by a constant share each tick.
        (overload_ratio > 1.0).then(|| (overload_ratio.ln() / IN_FLIGHT_GAIN * TICK as f64) as Micros)
    }

    /// How far the response times can be relied on, 0 to 1. The mean of a few swings far, and each node would
    /// shed at its own chance highs.
    fn confidence(&self, now: Micros) -> f64 {
        let samples = self.response_times.weight(now, RESPONSE_TIME_CONSTANT);
        1.0 - 1.0 / (1.0 + samples).sqrt()
    }

    /// The response time that a new request can expect, in microseconds; 0 before any response.
    ///
    /// By Little's law it is what this node has in flight over the rate at which responses come, at endpoints
    /// that are healthy. A node that sees a few requests a second has one or none in flight, and one alone
    /// would look like a full fleet. So the mean of recent response times weighs as much as
    /// `RESPONSE_TIME_EVIDENCE` attempts in flight; without responses it is forgotten.
    pub fn expected_response_time(&self, settings: &Settings, balancer: &Balancer, now: Micros) -> f64 {
        let rate: f64 = balancer.typical_endpoints(now).map(|endpoint| endpoint.completion_rate(now)).sum();
        if rate > 0.0 {
            let mean = self.mean_response_time(settings, now);
            let evidence_rate = RESPONSE_TIME_EVIDENCE * MICROS_PER_SECOND / mean.max(1.0);
            let rate = rate / self.relative_age(now).max(MIN_RELATIVE_AGE) + evidence_rate;
            (self.in_flight + RESPONSE_TIME_EVIDENCE) / rate * MICROS_PER_SECOND
        } else {
            0.0
        }
    }

    /// The mean of recent response times in microseconds, with half of what is shed first as one sample.
    fn mean_response_time(&self, settings: &Settings, now: Micros) -> f64 {
        let prior = shortest_latency_objective(settings) * LEAST_SHED_THRESHOLD / 2.0;
        self.response_times.with_prior(now, prior, RESPONSE_TIME_CONSTANT)
    }

    /// The share of its final value that a steady rate of responses has reached since the node started.
    fn relative_age(&self, now: Micros) -> f64 {
        1.0 - (-(now.saturating_sub(self.started_at) as f64) / COMPLETION_TIME_CONSTANT).exp()
    }
}

/// The shortest latency objective of all classes, in microseconds.
pub(super) fn shortest_latency_objective(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0) as f64
}

/// The share of the latency objective from which on a request is shed, by its weight relative to the
/// greatest. None if its plan is not in the settings.
fn shed_threshold(settings: &Settings, request: &NewRequest) -> Option<f64> {
    let plan = settings.plans.get(request.plan)?;
    let class = &settings.classes[request.class];
    let greatest_weight =
        settings.classes.iter().map(|class| class.priority_weight).fold(MIN_WEIGHT, f64::max);
    let greatest_factor = settings.plans.iter().map(|plan| plan.weight_factor).fold(MIN_WEIGHT, f64::max);
    let relative_weight = class.priority_weight / greatest_weight * plan.weight_factor / greatest_factor;
    Some(LEAST_SHED_THRESHOLD + (GREATEST_SHED_THRESHOLD - LEAST_SHED_THRESHOLD) * relative_weight)
}

/// How many attempts an endpoint works at. Those that were sent before its latest ejection ended, or got lost
/// while later ones were answered, stay in flight until their clients disconnect, and one or two would look
/// like a full fleet. The price: where single requests take much longer than others, these are not counted.
fn attempts_being_served(endpoint: &EndpointBalancingState, latency_bound: f64) -> usize {
    let lost_before = endpoint.last_success_sent_at.saturating_sub(latency_bound as Micros);
    endpoint.in_flight_since_ejection().filter(|&sent_at| sent_at >= lost_before).count()
}
