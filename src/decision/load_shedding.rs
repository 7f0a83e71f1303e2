//! Overload: what latency a new request can expect, and whether it is turned away for it.

use super::balancer::endpoint_table::Server;
use super::balancer::Balancer;
use super::estimators::Tally;
use super::{EndpointState, Micros, NewRequest, Settings, TICK};

/// Danger: of the few requests that one node has out the number swings by chance, and overload is judged by
/// it. A tick's weight in its mean: over 0.2 s, some times what a request takes.
pub(super) const HELD_GAIN: f64 = 0.1;
/// Smoothing of the rate of answers: some tens of answers, and well within an overload's onset.
pub(super) const DONE_SPAN: f64 = 1.5e6;
/// Smoothing of the mean time of answers, and how many requests out it weighs as much as.
pub(super) const MEAN_SPAN: f64 = 4.0e6;
const EVIDENCE: f64 = 3.0;
/// A request is shed when its expected latency is past this share of its aim: the cheapest and the dearest
/// work. Work times vary about as much as their mean, hence well under the whole.
/// Lost attempts are left out of what is held, hence 0.48 and not the half as before.
pub(super) const SHED_CHEAPEST: f64 = 0.25;
pub(super) const SHED_DEAREST: f64 = 0.48;

/// What is out, and how long answers take: the input of load shedding.
#[derive(Default)]
pub(super) struct LoadShedder {
    /// What is out at servers that answer, smoothed.
    held: f64,
    times: Tally,
    /// When the node started.
    started_at: Micros,
}

impl LoadShedder {
    /// The node starts now.
    pub fn start(&mut self, now: Micros) {
        self.started_at = now;
    }

    /// A response came from an endpoint about as fast as the others.
    pub fn record_response_time(&mut self, now: Micros, elapsed: Micros) {
        self.times.add(now, elapsed as f64, MEAN_SPAN);
    }

    /// A tick: takes what is in flight now into the mean.
    pub fn on_tick(&mut self, balancer: &Balancer, now: Micros) {
        let held: usize =
            balancer.servers.met().filter(|s| balancer.answers(s, now)).map(|s| balancer.working(s)).sum();
        self.held += (held as f64 - self.held) * HELD_GAIN;
    }

    /// If the fleet is full for this request, how soon it is not, if nothing more were sent: what is expected
    /// is smoothed, so it falls by a constant share each tick.
    /// Danger: a full fleet, where everything is answered late. The cheapest work goes first. Judged by what
    /// is out now, so that an idle fleet always lets in: old latencies alone latch it shut.
    pub(super) fn overloaded(
        &self,
        settings: &Settings,
        balancer: &Balancer,
        new: &NewRequest,
        now: Micros,
    ) -> Option<Micros> {
        let plan = settings.plans.get(new.plan)?;
        let class = &settings.classes[new.class];
        let credit = settings.classes.iter().map(|c| c.priority_weight).fold(1e-9, f64::max);
        let factor = settings.plans.iter().map(|p| p.weight_factor).fold(1e-9, f64::max);
        let rank = class.priority_weight / credit * plan.weight_factor / factor;
        let share = SHED_CHEAPEST + (SHED_DEAREST - SHED_CHEAPEST) * rank;
        // All classes queue at the same servers: the shortest aim rules, or the patient class takes all.
        // Danger: of a few answers the mean swings far, and each node would shed at its own chance highs.
        let sure = 1.0 - 1.0 / (1.0 + self.times.weight(now, MEAN_SPAN)).sqrt();
        let over = self.expected(settings, balancer, now) * sure / (shortest_aim(settings) * share).max(1.0);
        (over > 1.0).then(|| (over.ln() / HELD_GAIN * TICK as f64) as Micros)
    }

    /// The latency to expect of a new request, by Little's law: what this node has out over the rate at which
    /// answers come, on the servers that answer. Danger: a node that sees a few requests a second has one or
    /// none out, and one alone would look like a full fleet. So the mean of recent answers weighs as much as
    /// `EVIDENCE` requests out; with no answers it is forgotten.
    pub(super) fn expected(&self, settings: &Settings, balancer: &Balancer, now: Micros) -> f64 {
        let answering = balancer.servers.met().filter(|s| balancer.answers(s, now));
        let rate: f64 = answering.map(|s| s.done.get(now, DONE_SPAN)).sum();
        let mean = self.times.mean(now, shortest_aim(settings) * SHED_CHEAPEST / 2.0, MEAN_SPAN);
        let age = 1.0 - (-(now.saturating_sub(self.started_at) as f64) / DONE_SPAN).exp();
        let rate = (rate > 0.0).then_some(rate / age.max(1e-3) + EVIDENCE * 1e6 / mean.max(1.0));
        rate.map_or(0.0, |rate| (self.held + EVIDENCE) / rate * 1e6)
    }
}

/// The shortest latency objective of all classes.
pub(super) fn shortest_aim(settings: &Settings) -> f64 {
    settings.classes.iter().map(|c| c.latency_objective).min().unwrap_or(0) as f64
}

impl Balancer {
    /// Whether overload is judged by a server.
    pub(super) fn answers(&self, s: &Server, now: Micros) -> bool {
        s.told.state == EndpointState::Active
            && s.strikes == 0
            && s.latency < 2.0 * self.latency
            && !self.silent(s, now)
    }

    /// How many attempts a server is at. Danger: what hung before the last ejection, and what got lost while
    /// later attempts were answered, stays out until its client gives up; one or two look like a full fleet.
    /// It does harm where single requests work for much longer than others: these are not seen.
    pub(super) fn working(&self, s: &Server) -> usize {
        let lost = s.answered.saturating_sub(self.latency_bound() as Micros);
        s.in_flight.iter().filter(|&&sent| sent >= s.ejected && sent >= lost).count()
    }
}
