//! Deferral schedule: what goes beyond quota is refused with spaced times to return.

use super::*;

/// Open promises per customer at most, in mean requests of the burst: D-hat of the paper.
const PROMISES_MAX: usize = 16;

impl DecisionEngine {
    /// Beyond quota: DSRT. A retry-after x past the latest promise, at most D of them open.
    pub(super) fn defer(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get(id) else { return };
        let Some(plan) = self.set.plans.get(r.ask.plan) else { return };
        // Where a try beyond quota earns more than it costs it is served, while there is room.
        let roomy = self.load_shedder.expected(&self.set, &self.balancer, now)
            < self.set.classes[r.ask.class].latency_objective as f64 * SHED_CHEAPEST;
        if plan.over_quota_weight > plan.over_quota_cost && plan.ceiling_units_per_second <= 0.0 && roomy {
            return self.launch(id, true, out);
        }
        let Some(c) = self.customers.get_mut(&r.ask.account) else { return };
        let (rate, burst) = (plan.quota_units_per_second, plan.burst_units);
        let slots = (plan.max_in_flight as f64 / c.spread).max(1.0);
        let drawn = c.drawn.get(now, RATE_SPAN).max(rate / c.spread);
        let x = if rate > 0.0 { r.ask.units / drawn * 1e6 } else { self.balancer.latency / slots };
        let reach =
            if rate > 0.0 { burst / rate * 1e6 } else { self.balancer.latency * plan.max_in_flight as f64 };
        let reach = reach.min(self.set.limits.max_retry_after as f64);
        c.promises.retain(|&p| p > now);
        let most = ((reach / x.max(1.0)) as usize).min(PROMISES_MAX);
        let mut advice = 0;
        if self.set.limits.retry_after_allowed && !r.ask.is_retry && c.promises.len() < most {
            let at = c.promises.back().copied().unwrap_or(now) + x as Micros;
            c.promises.push_back(at);
            advice = at - now;
        }
        self.refuse(id, advice, out);
    }
}
