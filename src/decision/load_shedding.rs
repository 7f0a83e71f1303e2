//! Load shedding: estimates the response time of a new request, and rejects the request if that time is too
//! long.

use super::balancer::{Balancer, EndpointBalancingState, COMPLETION_TIME_CONSTANT};
use super::estimators::{DecayingMean, MICROS_PER_SECOND};
use super::{Micros, NewRequest, Settings, TICK_INTERVAL};

/// Weight of the latest tick in the mean number of attempts in flight. With this weight the mean covers about
/// 0.2 s. Overload is detected by this mean, since the few requests that one node has in flight vary by
/// chance.
const IN_FLIGHT_GAIN: f64 = 0.1;
/// Time constant of the mean response time, in microseconds.
const RESPONSE_TIME_CONSTANT: f64 = 4.0e6;
/// Weight of the mean response time in the expected response time, as a number of attempts in flight.
const MEAN_RESPONSE_TIME_WEIGHT: f64 = 3.0;
/// Lower bound of the startup correction, by which the completion rate is divided. It corresponds to a node
/// whose age is this share of the time constant of the rate.
const MIN_STARTUP_CORRECTION: f64 = 1e-3;
/// Lower bound of the greatest weight and of the greatest weight factor, which are used as divisors.
const MIN_WEIGHT: f64 = 1e-9;
/// A request of the least weight is shed if its expected response time exceeds this share of the shortest
/// latency objective of all classes. A greater share admits more requests, more of which get a late response.
/// A smaller share sheds more requests early.
pub(super) const MIN_SHED_THRESHOLD: f64 = 0.25;
/// The same share for requests of the greatest weight.
pub(super) const MAX_SHED_THRESHOLD: f64 = 0.48;

/// Detects overload by the attempts in flight at typical endpoints ([`Balancer::typical_endpoints`]) and by
/// the response times of endpoints whose mean response time is typical.
#[derive(Default)]
pub(super) struct LoadShedder {
    /// Number of attempts in flight at typical endpoints, smoothed over ticks.
    in_flight: f64,
    /// Recent response times, in microseconds.
    response_times: DecayingMean,
    /// Time at which the node started.
    started_at: Micros,
}

impl LoadShedder {
    /// Sets the time at which the node started.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// Records the response time of a success at an endpoint whose mean response time is typical.
    pub fn record_response_time(&mut self, now: Micros, elapsed: Micros) {
        self.response_times.record(now, elapsed as f64, RESPONSE_TIME_CONSTANT);
    }

    /// Adds the current number of attempts in flight at typical endpoints to the mean. To be called once per
    /// tick.
    pub fn on_tick(&mut self, balancer: &Balancer, now: Micros) {
        let latency_bound = balancer.latency_bound();
        let in_flight: usize = balancer
            .typical_endpoints(now)
            .map(|endpoint| attempts_being_served(endpoint, latency_bound))
            .sum();
        self.in_flight += (in_flight as f64 - self.in_flight) * IN_FLIGHT_GAIN;
    }

    /// Returns the time until the fleet would admit this request if no further requests were sent, in
    /// microseconds. Returns `None` if the request is admitted now. A request whose plan is not in the
    /// settings is always admitted.
    ///
    /// In a fully loaded fleet every response would be late, so requests are shed, those of the
    /// least weight first. Overload is detected by the attempts in flight now, so that an idle fleet always
    /// admits requests. If it were detected by past response times alone, an idle fleet could reject requests
    /// forever.
    pub fn time_until_admission(
        &self,
        settings: &Settings,
        balancer: &Balancer,
        request: &NewRequest,
        now: Micros,
    ) -> Option<Micros> {
        let threshold = shed_threshold(settings, request)?;
        // All classes queue at the same endpoints, so the shortest latency objective applies to all of them.
        // If each class had its own objective as the limit, the class with the longest one would take all
        // capacity.
        let limit = (shortest_latency_objective(settings) * threshold).max(1.0);
        let expected = self.expected_response_time(settings, balancer, now);
        let overload_ratio = expected * self.confidence(now) / limit;
        // An estimate: it assumes that the expected response time falls as the smoothed number of attempts in
        // flight does, which without new requests is by a constant share each tick.
        (overload_ratio > 1.0)
            .then(|| (overload_ratio.ln() / IN_FLIGHT_GAIN * TICK_INTERVAL as f64) as Micros)
    }

    /// Returns how reliable the mean response time is, from 0 to 1. The mean of a few samples varies widely,
    /// and each node would shed load at its own random peaks.
    fn confidence(&self, now: Micros) -> f64 {
        let samples = self.response_times.weight(now, RESPONSE_TIME_CONSTANT);
        1.0 - 1.0 / (1.0 + samples).sqrt()
    }

    /// Returns the response time that a new request can expect, in microseconds; 0 before any response.
    ///
    /// By Little's law it is the number of this node's attempts in flight divided by the rate of successes
    /// and of connection resets that did not eject the endpoint, both at typical endpoints. A node that
    /// receives a few requests a second has one attempt in flight or none, and a single one would look like a
    /// fully loaded fleet. Therefore the mean of recent response times is included with the weight of
    /// `MEAN_RESPONSE_TIME_WEIGHT` attempts in flight. Past response times lose their weight while no
    /// responses arrive.
    pub fn expected_response_time(&self, settings: &Settings, balancer: &Balancer, now: Micros) -> f64 {
        let rate: f64 = balancer.typical_endpoints(now).map(|endpoint| endpoint.completion_rate(now)).sum();
        if rate > 0.0 {
            let mean = self.mean_response_time(settings, now);
            let mean_response_rate = MEAN_RESPONSE_TIME_WEIGHT * MICROS_PER_SECOND / mean.max(1.0);
            let rate = rate / self.startup_correction(now).max(MIN_STARTUP_CORRECTION) + mean_response_rate;
            (self.in_flight + MEAN_RESPONSE_TIME_WEIGHT) / rate * MICROS_PER_SECOND
        } else {
            0.0
        }
    }

    /// Returns the mean of recent response times in microseconds. It includes one sample of half the response
    /// time from which on requests of the least weight are shed.
    fn mean_response_time(&self, settings: &Settings, now: Micros) -> f64 {
        let prior = shortest_latency_objective(settings) * MIN_SHED_THRESHOLD / 2.0;
        self.response_times.with_prior(now, prior, RESPONSE_TIME_CONSTANT)
    }

    /// Returns the share of its final value that the measured completion rate has reached since the node
    /// started if completions are steady, from 0 to 1. The measured rate is divided by it.
    fn startup_correction(&self, now: Micros) -> f64 {
        1.0 - (-(now.saturating_sub(self.started_at) as f64) / COMPLETION_TIME_CONSTANT).exp()
    }
}

/// Returns the shortest latency objective of all classes in microseconds; 0 if there are no classes.
pub(super) fn shortest_latency_objective(settings: &Settings) -> f64 {
    settings.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0) as f64
}

/// Returns the share of the shortest latency objective of all classes from which on a request is shed, by the
/// request's weight relative to the greatest weight. Returns `None` if its plan is not in the settings.
fn shed_threshold(settings: &Settings, request: &NewRequest) -> Option<f64> {
    let plan = settings.plans.get(request.plan)?;
    let class = &settings.classes[request.class];
    let greatest_weight =
        settings.classes.iter().map(|class| class.priority_weight).fold(MIN_WEIGHT, f64::max);
    let greatest_factor = settings.plans.iter().map(|plan| plan.weight_factor).fold(MIN_WEIGHT, f64::max);
    let relative_weight = class.priority_weight / greatest_weight * plan.weight_factor / greatest_factor;
    Some(MIN_SHED_THRESHOLD + (MAX_SHED_THRESHOLD - MIN_SHED_THRESHOLD) * relative_weight)
}

/// Returns the number of attempts in flight that an endpoint is working on.
///
/// Attempts that were sent before its latest ejection ended are not counted, nor those that seem lost because
/// an attempt sent more than `latency_bound` microseconds later succeeded. They stay in flight until their
/// clients disconnect, and one or two of them would look like a fully loaded fleet. The drawback: requests
/// that take much longer than others are not counted either.
fn attempts_being_served(endpoint: &EndpointBalancingState, latency_bound: f64) -> usize {
    let lost_before = endpoint.last_success_sent_at.saturating_sub(latency_bound as Micros);
    endpoint.in_flight_since_ejection().filter(|&sent_at| sent_at >= lost_before).count()
}
