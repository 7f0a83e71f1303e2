//! What a run counts, and how it is told.

use edge_node::decision::{Micros, Outcome};
use hdrhistogram::Histogram;

use super::faults::Fail;
use super::world::{Final, World};
use super::Scenario;
use crate::report::Report;

/// Service is looked at in steps of this, by when requests were first asked.
const STEP: Micros = 1_000_000;
/// Service is well again once it is within this of the level before.
const WELL: f64 = 0.01;

#[derive(Default)]
struct Step {
    asked: f64,
    served: f64,
}

/// Counts of the time measured.
pub struct Figures {
    from: Micros,
    until: Micros,
    steps: Vec<Step>,
    requests: f64,
    inside: f64,
    ends: [f64; 4],
    refused_inside: f64,
    on_time: f64,
    lost_tries: f64,
    no_node: f64,
    let_in: f64,
    beyond: f64,
    attempts: f64,
    cross_zone: f64,
    cross_region: f64,
    handshakes: f64,
    calls: f64,
    calls_timed_out: f64,
    answers: [f64; 2],
    late_answers: f64,
    outcomes: [f64; 5],
    fell: f64,
    fell_told: f64,
    latency: Option<Histogram<u64>>,
}

impl Figures {
    /// Nothing counted yet.
    pub fn new(options: &Scenario) -> Self {
        let from = 1_000_000_000 + options.warm_ms * 1_000;
        let until = from + options.measured_ms * 1_000;
        let steps = (until - from).div_ceil(STEP) as usize;
        Figures {
            from,
            until,
            steps: (0..steps).map(|_| Step::default()).collect(),
            requests: 0.0,
            inside: 0.0,
            ends: [0.0; 4],
            refused_inside: 0.0,
            on_time: 0.0,
            lost_tries: 0.0,
            no_node: 0.0,
            let_in: 0.0,
            beyond: 0.0,
            attempts: 0.0,
            cross_zone: 0.0,
            cross_region: 0.0,
            handshakes: 0.0,
            calls: 0.0,
            calls_timed_out: 0.0,
            answers: [0.0; 2],
            late_answers: 0.0,
            outcomes: [0.0; 5],
            fell: 0.0,
            fell_told: 0.0,
            latency: Histogram::new_with_bounds(1, 60_000_000, 3).ok(),
        }
    }

    fn measured(&self, now: Micros) -> bool {
        now >= self.from && now < self.until
    }

    fn step(&mut self, first: Micros) -> Option<&mut Step> {
        self.steps.get_mut(((first - self.from) / STEP) as usize)
    }

    /// A first try of the time measured.
    pub fn asked(&mut self, first: Micros, units: f64, inside: bool) {
        self.requests += 1.0;
        if inside {
            self.inside += 1.0;
            if let Some(step) = self.step(first) {
                step.asked += units;
            }
        }
    }

    /// Its end for its client.
    pub fn finished(
        &mut self,
        first: Micros,
        now: Micros,
        units: f64,
        inside: bool,
        end: Final,
        aim: Micros,
    ) {
        let place =
            [Final::Served, Final::Refused, Final::Failed, Final::Lost].iter().position(|e| *e == end);
        self.ends[place.unwrap_or(0)] += 1.0;
        match end {
            Final::Served => {
                let span = now - first;
                self.on_time += f64::from(u8::from(span <= aim));
                if let Some(latency) = &mut self.latency {
                    latency.saturating_record(span.max(1));
                }
                if let Some(step) = self.step(first).filter(|_| inside) {
                    step.served += units;
                }
            }
            Final::Refused if inside => self.refused_inside += 1.0,
            _ => {}
        }
    }

    /// A try that its node took and never answered.
    pub fn lost_try(&mut self, now: Micros) {
        self.lost_tries += f64::from(u8::from(self.measured(now)));
    }

    /// A first try of the time measured for which the front saw every node of the customer's set down.
    pub fn no_node(&mut self) {
        self.no_node += 1.0;
    }

    /// A try under a quota that was sent on, inside it or not.
    pub fn let_in(&mut self, units: f64, inside: bool) {
        self.let_in += units;
        self.beyond += if inside { 0.0 } else { units };
    }

    /// An attempt of the time measured.
    pub fn sent(&mut self, cross_zone: bool, cross_region: bool) {
        self.attempts += 1.0;
        self.cross_zone += f64::from(u8::from(cross_zone));
        self.cross_region += f64::from(u8::from(cross_region));
    }

    /// An attempt's end.
    pub fn ended(&mut self, now: Micros, outcome: Outcome) {
        let kinds = [
            Outcome::Rejected,
            Outcome::TimedOut,
            Outcome::ConnectFailed,
            Outcome::Reset,
            Outcome::Cancelled,
        ];
        if let (true, Some(kind)) = (self.measured(now), kinds.iter().position(|k| *k == outcome)) {
            self.outcomes[kind] += 1.0;
        }
    }

    /// A new connection to a server.
    pub fn handshake(&mut self, now: Micros) {
        self.handshakes += f64::from(u8::from(self.measured(now)));
    }

    /// A call to the counter.
    pub fn called(&mut self, now: Micros) {
        self.calls += f64::from(u8::from(self.measured(now)));
    }

    /// A call whose answer did not come in time.
    pub fn call_timed_out(&mut self, now: Micros) {
        self.calls_timed_out += f64::from(u8::from(self.measured(now)));
    }

    /// An answer of the counter, and whether it came too late.
    pub fn counted(&mut self, now: Micros, outcome: Outcome, late: bool) {
        if self.measured(now) {
            self.answers[usize::from(outcome != Outcome::Ok)] += 1.0;
            self.late_answers += f64::from(u8::from(late));
        }
    }

    /// A cold server fell; whether over two thirds of what pushed it came from nodes that knew of its start.
    pub fn fell(&mut self, told: bool) {
        self.fell += 1.0;
        self.fell_told += f64::from(u8::from(told));
    }

    /// The share served in each step.
    fn levels(&self) -> Vec<f64> {
        self.steps.iter().map(|s| if s.asked > 0.0 { s.served / s.asked } else { 1.0 }).collect()
    }
}

/// Mean, least and most.
fn span(values: &[f64]) -> (f64, f64, f64) {
    let mean = values.iter().sum::<f64>() / values.len().max(1) as f64;
    let least = values.iter().copied().fold(f64::INFINITY, f64::min);
    (mean, if least.is_finite() { least } else { 0.0 }, values.iter().copied().fold(0.0, f64::max))
}

fn ratio(part: f64, of: f64) -> f64 {
    if of > 0.0 {
        part / of
    } else {
        0.0
    }
}

/// Writes all figures of the world into the report.
pub fn tell(world: &World, report: &mut Report) {
    let f = &world.figures;
    let seconds = (f.until - f.from) as f64 / 1e6;
    let asked: f64 = world.customers.iter().map(|c| c.asked).sum();
    let served: f64 = world.customers.iter().map(|c| c.served.min(c.asked)).sum();
    report.add("requests", f.requests, "requests");
    report.add("request_rate", f.requests / seconds, "requests/s");
    report.add("service", ratio(served, asked), "share of units asked inside quotas");
    report.add("inside", ratio(f.inside, f.requests), "share of requests");
    for (name, count) in ["served", "refused", "failed", "lost"].iter().zip(f.ends) {
        report.add(name, ratio(count, f.requests), "share of requests");
    }
    report.add("refused_inside", ratio(f.refused_inside, f.inside), "share of requests inside quotas");
    report.add("lost_tries", f.lost_tries, "tries");
    report.add("no_node", ratio(f.no_node, f.requests), "share of requests, at their first try");
    report.add("on_time", ratio(f.on_time, f.ends[0]), "share of served");
    report.add("let_in_beyond", f.beyond, "units");
    report.add("let_in_beyond_share", ratio(f.beyond, f.let_in), "share of units let in under quotas");
    report.add("attempts_per_request", ratio(f.attempts, f.requests), "attempts");
    let outcomes = ["full", "timed_out", "connect_failed", "reset", "cancelled"];
    for (name, count) in outcomes.iter().zip(f.outcomes) {
        report.add(&format!("attempts_{name}"), ratio(count, f.attempts), "share of attempts");
    }
    report.add("cross_zone", ratio(f.cross_zone, f.attempts), "share of attempts");
    report.add("cross_region", ratio(f.cross_region, f.attempts), "share of attempts");
    report.add("handshakes_per_request", ratio(f.handshakes, f.requests), "handshakes");
    report.add(
        "idle_connections_per_node",
        ratio(world.idle_connections() as f64, world.nodes.len() as f64),
        "connections",
    );
    report.add("counter_calls_per_request", ratio(f.calls, f.requests), "calls");
    report.add("counter_calls", f.calls / seconds, "calls/s");
    report.add("counter_timed_out", ratio(f.calls_timed_out, f.calls), "share of calls");
    report.add("counter_busy", ratio(f.answers[1], f.calls), "share of calls");
    report.add("counter_late_answers", ratio(f.late_answers, f.calls), "share of calls");
    if let Some(latency) = &f.latency {
        for (name, at) in [("latency_p50", 0.5), ("latency_p99", 0.99), ("latency_p999", 0.999)] {
            report.add(name, latency.value_at_quantile(at) as f64 / 1e3, "ms");
        }
    }
    spread(world, report);
    recovery(world, report);
}

fn spread(world: &World, report: &mut Report) {
    let steady = |n: &usize| world.servers[*n].steady;
    let mut load: Vec<f64> =
        (0..world.servers.len()).filter(steady).map(|n| world.servers[n].received as f64).collect();
    load.sort_unstable_by(f64::total_cmp);
    let (mean, _, most) = span(&load);
    let variance = load.iter().map(|l| (l - mean).powi(2)).sum::<f64>() / load.len().max(1) as f64;
    let p99 = load.get((load.len() * 99).div_ceil(100).saturating_sub(1)).copied().unwrap_or(0.0);
    report.add("load_servers", load.len() as f64, "servers up and warm throughout");
    report.add("load_mean", mean, "requests at a server");
    report.add("load_max", ratio(most, mean), "times the mean");
    report.add("load_p99", ratio(p99, mean), "times the mean");
    report.add("load_variation", ratio(variance.sqrt(), mean), "standard deviation over mean");
    report.add("load_variation_by_chance", ratio(1.0, mean.sqrt()), "standard deviation over mean");
    let met_by: Vec<f64> =
        (0..world.servers.len()).filter(steady).map(|n| f64::from(world.met_by[n])).collect();
    let told = [("nodes_per_server", met_by, "nodes"), ("servers_per_node", world.met(), "servers met")];
    let known = ("servers_known_per_node", world.known(), "servers");
    for (name, values, unit) in told.into_iter().chain([known]) {
        let (mean, least, most) = span(&values);
        report.add(name, mean, unit);
        report.add(&format!("{name}_least"), least, unit);
        report.add(&format!("{name}_most"), most, unit);
    }
    if world.options.fail != Fail::Calm {
        let from = "nodes_per_server and servers_per_node are counted from the failure's begin on (of a release: from \
                    the end of the warm-up on)";
        report.notes.push(from.into());
    }
    report.add("cold_started", world.cold_started as f64, "servers");
    report.add("cold_fell", world.figures.fell, "servers");
    report.add("cold_fell_told", world.figures.fell_told, "servers");
}

/// How far service fell, and how long until all was well again.
fn recovery(world: &World, report: &mut Report) {
    let levels = world.figures.levels();
    if world.options.fail == Fail::Calm {
        report.add("service_least", span(&levels).1, "share, worst second");
        return;
    }
    let begin = (world.options.fail_at_ms * 1_000 / STEP) as usize;
    let (before, after) = levels.split_at(begin.min(levels.len()));
    let (level, ..) = span(before);
    let bad = after.iter().rposition(|l| *l < level - WELL);
    let again = bad.map_or(0, |last| last + 1);
    report.add("service_before", level, "share");
    report.add("service_least", span(after).1, "share, worst second");
    report.add("well_again_after", again as f64, "s");
    report.add("well_again", f64::from(u8::from(again < after.len())), "1: yes, 0: not within the run");
    report.notes.push(format!(
        "well_again_after: whole seconds from the failure's begin to the end of the last second, by when requests \
         were first asked, in which the share served of the units asked inside quotas was more than {WELL} under \
         the mean of the seconds before; one second of {:.0} requests swings by chance, too",
        world.figures.requests / levels.len().max(1) as f64,
    ));
}
