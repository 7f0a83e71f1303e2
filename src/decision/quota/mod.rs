//! Quota leases: a request draws on its customer's lease here, waits for the counter, or goes beyond quota.

use super::*;

/// Lease ahead for this long at the recent demand, at least for so many mean requests: little lies idle.
const LEASE_AHEAD: f64 = 0.5e6;
const LEASE_REQUESTS: f64 = 3.0;
/// A lease untouched for this long is handed back.
pub(super) const LEASE_IDLE: Micros = 3_000_000;
/// One count name lives for this long: long against a burst, within the minute that the counter keeps it.
const WINDOW: Micros = 30_000_000;
pub(super) const KEEP: Micros = 60_000_000;
/// What the filling overflowed is taken off the total once it is this part of a burst. Until then it can be
/// spent on top of the burst; each time it is taken off costs a call.
const OVERFLOW: f64 = 0.25;
/// Smoothing of demand and draw rates: a few requests of a busy customer, less than a spike lasts.
pub(super) const RATE_SPAN: f64 = 2.0e6;
/// What a full fleet adds to the price of a doubtful request, in its worth.
const CROWD: f64 = 0.5;
/// AIMD of the share that asks the counter: a prompt answer, a late one or none; the least, over the nodes.
const ASK_MORE: f64 = 0.10;
const ASK_LESS: f64 = 0.85;
const ASK_LEAST: f64 = 4.0;
/// Back-off from a failing counter: doubles from the first to the last.
pub(super) const COUNTER_BACKOFF: Micros = 50_000;
const COUNTER_BACKOFF_MAX: Micros = 800_000;
/// What guesses may cost by what they let through beyond quotas: a share of what is asked, and so much of the
/// dearest request saved up. The operators bear a tenth of the worth. What was let through was some three
/// times what the risk told, since looks lag behind and retries are asked for, too: hence a sixth of that.
const GUESS_SHARE: f64 = 0.015;
pub(super) const GUESS_STORE: f64 = 3.0;
/// How often a total is read again whose answer could not be read.
const REREADS: u32 = 1;

#[derive(Clone)]
pub(super) struct Call {
    pub amount: f64,
    /// Draws without a call that this one reports too; of them what it stands for as a sample.
    pub told: f64,
    pub proxy: f64,
    /// And what of them is overflow taken off, which is told once at most: the next total shows what is left.
    pub burn: f64,
    pub at: Micros,
    /// Answers to it that could not be read, or did not come since its connection broke.
    pub unread: u32,
    /// Whether it was added is not known.
    pub doubtful: bool,
}

#[derive(Default)]
pub(super) struct Customer {
    pub plan: usize,
    pub spread: f64,
    pub lease: f64,
    /// The fleet's bucket as the counter's totals tell it.
    pub level: f64,
    pub level_at: Micros,
    /// Looks at the total, and those that found it empty.
    pub looks: Tally,
    /// How many unasked requests the next call stands for.
    pub stands: f64,
    /// Last total seen, and in which window; none before the first answer.
    pub seen: Option<(u64, f64)>,
    pub others: Rate,
    /// What clients ask here, and what is drawn here.
    pub asked: Rate,
    pub drawn: Rate,
    pub mean: f64,
    pub call: Option<Call>,
    pub waiting: VecDeque<RequestId>,
    /// Let in on the even share and not yet told to the counter.
    pub untold: f64,
    /// Even share of quota while the counter is away.
    pub share: Option<Bucket>,
    pub promises: VecDeque<Micros>,
    pub open: u32,
    pub used_at: Micros,
}

enum Verdict {
    Granted,
    Held,
    Beyond,
}

impl DecisionEngine {
    pub(super) fn on_request(&mut self, mut ask: NewRequest, out: &mut Vec<Action>) {
        if ask.class >= self.set.classes.len() || self.requests.contains_key(&ask.id) {
            return;
        }
        let (now, id, key) = (self.now, ask.id.clone(), ask.account);
        ask.units = if ask.units.is_finite() { ask.units.max(0.0) } else { 1.0 };
        let spread = ask.account_node_count.clamp(1, self.set.node_count.max(1)) as f64;
        // Danger: under a hard ceiling nodes may restart in any number while the counter is empty.
        let first = |p: &Plan| {
            if p.ceiling_units_per_second > 0.0 {
                p.burst_units / spread / 2.0
            } else {
                p.burst_units
            }
        };
        let level = self.set.plans.get(ask.plan).map_or(0.0, first);
        let fresh = || Customer { level, level_at: now, mean: ask.units, ..Customer::default() };
        let c = self.customers.entry(key).or_insert_with(fresh);
        (c.plan, c.spread, c.used_at) = (ask.plan, spread, now);
        c.asked.add(now, ask.units, RATE_SPAN);
        c.mean += (ask.units - c.mean) * 0.1;
        if let Some(p) = self.set.plans.get(ask.plan) {
            let worth = self.set.classes[ask.class].priority_weight * p.weight_factor * ask.units;
            self.guesses = (self.guesses + GUESS_SHARE * worth).min(GUESS_STORE * dearest(&self.set));
        }
        if !ask.is_retry {
            self.patience.insert(ask.class, ask.deadline.saturating_sub(now));
        }
        // Danger: a try that comes as its client gives up is overdue before any answer could come.
        if let Some(over) = self.load_shedder.overloaded(&self.set, &self.balancer, &ask, now) {
            let told = self.set.limits.retry_after_allowed && !ask.is_retry;
            let relief = over.clamp(TICK, self.set.limits.max_retry_after.max(TICK));
            return self.refuse(&id, if told { relief } else { 0 }, out);
        }
        if ask.is_retry && self.hopeless(&ask)
            || now + TICK + self.balancer.latency as Micros / 4 > ask.deadline
        {
            return self.refuse(&id, 0, out);
        }
        let (attempts, in_flight, ran, answered, stream) = (0, None, None, false, false);
        let request = Request { ask, arrived: now, drew: 0.0, attempts, in_flight, ran, answered, stream };
        self.requests.insert(id.clone(), request);
        match self.draw(&id, true, out) {
            Verdict::Granted => self.launch(&id, true, out),
            Verdict::Held => self.customers.entry(key).or_default().waiting.push_back(id),
            Verdict::Beyond => self.defer(&id, out),
        }
    }

    /// Whether a marked return can no longer earn its worth: its client's time, counted back from when it
    /// gives up, is past the aim. A new try's span tells nothing of that, so an equal one is let be.
    fn hopeless(&self, new: &NewRequest) -> bool {
        let class = &self.set.classes[new.class];
        let span = new.deadline.saturating_sub(self.now);
        let fresh = self.patience.get(&new.class).is_some_and(|&p| p.abs_diff(span) < p / 50);
        let gone = class.total_timeout.saturating_sub(span) as f64;
        !fresh
            && class.late_weight < 0.5
            && gone + self.balancer.latency / 2.0 > class.latency_objective as f64
    }

    fn counter_up(&self) -> bool {
        self.set.counter.enabled && self.now >= self.counter_until
    }

    /// Draws a request's units from the lease, or says whether to wait for a refill.
    fn draw(&mut self, id: &RequestId, may_wait: bool, out: &mut Vec<Action>) -> Verdict {
        let (now, up) = (self.now, self.counter_up());
        let silent = self.counter_backoff >= COUNTER_BACKOFF_MAX;
        let Some(r) = self.requests.get_mut(id) else { return Verdict::Beyond };
        let Some(c) = self.customers.get_mut(&r.ask.account) else { return Verdict::Beyond };
        let Some(plan) = self.set.plans.get(r.ask.plan) else { return Verdict::Granted };
        let (key, units, credit) =
            (r.ask.account, r.ask.units, self.set.classes[r.ask.class].priority_weight);
        // Slots are shared by what the other nodes' recent draws keep out, one slot at least.
        let (slots, drawn) = (plan.max_in_flight as f64, c.others.get(now, RATE_SPAN) / c.mean.max(0.1));
        let away = if c.seen.is_some() {
            drawn * self.balancer.latency / 1e6
        } else {
            slots * (1.0 - 1.0 / c.spread)
        };
        if plan.max_in_flight > 0 && c.open as f64 + away + 0.5 > slots.max(away + 1.5) {
            return Verdict::Beyond;
        }
        if plan.quota_units_per_second <= 0.0 {
            return Verdict::Granted;
        }
        if c.lease >= units && (!may_wait || c.waiting.is_empty()) {
            c.lease -= units;
            r.drew = units;
            c.drawn.add(now, units, RATE_SPAN);
            let ahead = c.asked.get(now, RATE_SPAN) * LEASE_AHEAD / 1e6;
            if up && c.call.is_none() && ahead > LEASE_REQUESTS * c.mean && c.lease < ahead / 2.0 {
                self.refill(key, 0.0, out);
            }
            return Verdict::Granted;
        }
        let queued: f64 = c.waiting.iter().filter_map(|w| self.requests.get(w)).map(|w| w.ask.units).sum();
        let queued = if may_wait { queued } else { 0.0 };
        let left = projected(c, plan, now);
        if let (true, Some(call)) = (up, &c.call) {
            let expected = c.lease + call.amount.min(left).max(0.0);
            let room = expected - queued >= units || left - call.amount.max(0.0) - queued >= units;
            return if may_wait && room { Verdict::Held } else { Verdict::Beyond };
        }
        if up && c.seen.is_some() && left + c.lease - queued < units {
            return Verdict::Beyond;
        }
        let crowd = (self.load_shedder.expected(&self.set, &self.balancer, now)
            / (shortest_aim(&self.set) * SHED_DEAREST).max(1.0))
        .min(1.0);
        let Some(c) = self.customers.get_mut(&key) else { return Verdict::Beyond };
        // What is asked about is drawn by what a wrong guess would cost.
        let prior = self.looks.get(&c.plan).map_or(0.3, |t| t.mean(now, 0.3, TALLY_SPAN));
        let risk = c.looks.mean(now, prior, TALLY_SPAN);
        let cost = plan.over_quota_cost - plan.over_quota_weight;
        let worth = plan.weight_factor * units * credit;
        let stake = (1.0 - risk).min(risk * cost.max(0.0)) * worth;
        // In a full fleet what is let in crowds out others: doubtful tries are the first to go.
        let slight = plan.burst_units / c.spread < c.mean;
        let trusted =
            slight && plan.ceiling_units_per_second <= 0.0 && 1.0 - risk > risk * cost + crowd * CROWD;
        self.stakes += (stake - self.stakes) * if may_wait { 0.02 } else { 0.0 };
        let odds = self.ask_share * (stake / self.stakes.max(1e-9)).clamp(0.2, 5.0);
        let chance = odds / (1.0 - self.ask_share + odds);
        if up && uniform(&mut self.random) < chance {
            c.stands = if trusted { 1.0 / chance - 1.0 } else { 0.0 };
            self.refill(key, units + queued, out);
            return Verdict::Held;
        }
        // No answer to be had: the even share of the rate. It starts from this node's part of what the last
        // totals left; a node that knows nothing starts low, and with nothing under a hard ceiling.
        let part = 1.0 / c.spread;
        let start = left.max(0.0) * part * if c.seen.is_some() { 1.0 } else { 0.5 };
        let share = c.share.get_or_insert(Bucket { store: start, at: now });
        share.refill(now, plan.quota_units_per_second * part, plan.burst_units * part);
        // Danger: the gain of many guesses hides what they let through, and quotas would not hold. They hold
        // nobody's quota while the counter is silent: nothing better is known then.
        let (even, price) = (c.lease + share.store >= units, risk * cost.max(0.0) * worth);
        let guess = !even && trusted && left >= units && (silent || self.guesses >= price);
        self.guesses -= if guess && !silent { price } else { 0.0 };
        if guess || even {
            let drew = units - c.lease.max(0.0);
            (c.lease, share.store) = (0.0, (share.store - drew).max(0.0));
            c.untold += drew;
            c.drawn.add(now, units, RATE_SPAN);
            self.requests.entry(id.clone()).and_modify(|r| r.drew = units);
            return Verdict::Granted;
        }
        Verdict::Beyond
    }

    /// Calls for a demand-sized block, no more than the bucket seems to hold.
    pub(super) fn refill(&mut self, key: AccountId, need: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get(&key) else { return };
        let Some(plan) = self.set.plans.get(c.plan) else { return };
        let left = projected(c, plan, self.now);
        // Danger: whole requests lying at each of a hundred nodes would strand the burst of a slow customer.
        let part = (LEASE_REQUESTS * c.mean).min(plan.burst_units / c.spread);
        let block = (c.asked.get(self.now, RATE_SPAN) * LEASE_AHEAD / 1e6).max(part);
        let amount = (need - c.lease).max(block - c.lease).min((left / 2.0).max(need - c.lease)).max(0.0);
        if amount > 0.0 {
            self.count(key, amount, 0.0, out);
        }
    }

    /// Calls for an amount; tells with it what was let in untold, and the burn.
    fn count(&mut self, key: AccountId, amount: f64, burn: f64, out: &mut Vec<Action>) {
        let Some(c) = self.customers.get_mut(&key) else { return };
        let name = count_name(key, self.now);
        let proxy = amount.max(0.0) * std::mem::take(&mut c.stands);
        let (told, at) = (std::mem::take(&mut c.untold) + burn + proxy, self.now);
        c.call = Some(Call { amount, told, proxy, burn: burn.max(0.0), at, unread: 0, doubtful: false });
        self.calls.insert(name, key);
        out.push(Action::IncrementCounter { key: name, amount: amount + told, keep_for: KEEP });
    }

    pub(super) fn on_count(&mut self, name: CounterKey, outcome: Outcome, total: f64, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(key) = self.calls.remove(&name) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        let Some(mut call) = c.call.take() else { return };
        // Danger: what got an answer that can't be read was added all the same; what got none since its
        // connection broke may have been, and the counter is alive. The total is read once more, and tells
        // what the answer would have told.
        let spoilt = matches!(outcome, Outcome::Error | Outcome::Reset);
        if spoilt && call.unread < REREADS {
            (call.unread, call.at) = (call.unread + 1, now);
            call.doubtful = outcome == Outcome::Reset;
            c.call = Some(call);
            self.calls.insert(name, key);
            return out.push(Action::IncrementCounter { key: name, amount: 0.0, keep_for: KEEP });
        }
        let (mut excess, mut burn) = (0.0, 0.0);
        // Danger: a hundred nodes that ask for every request crowd the counter, and then none gets an answer.
        let prompt = outcome == Outcome::Ok && now.saturating_sub(call.at) < self.set.counter.timeout / 2;
        if !spoilt {
            let next = if prompt { self.ask_share + ASK_MORE } else { self.ask_share * ASK_LESS };
            self.ask_share = next.max(ASK_LEAST / self.set.node_count as f64).clamp(0.05, 1.0);
        }
        if outcome == Outcome::Ok && total.is_finite() {
            (self.counter_backoff, self.counter_until) = (COUNTER_BACKOFF, 0);
            c.share = None;
            (excess, burn) = self.booked(key, &mut call, total);
        } else if !spoilt {
            // Danger: a silent or crowded counter. Nothing is granted; the next call waits, longer each time,
            // and a random part keeps the nodes from coming back in step.
            let rest = self.counter_backoff;
            self.counter_until = now + rest / 2 + (uniform(&mut self.random) * rest as f64 / 2.0) as Micros;
            self.counter_backoff = (rest * 2).min(COUNTER_BACKOFF_MAX);
            match outcome {
                Outcome::TimedOut => self.expired.entry(name).or_default().push_back((key, call.clone())),
                _ => not_added(c, &call),
            }
        }
        if excess > 0.01 {
            self.count(key, -excess, 0.0, out);
        } else if !call.doubtful && (burn < 0.0 || burn > 0.0 && self.ask_share > 0.5) {
            self.count(key, 0.0, burn, out);
        }
        self.serve_waiting(key, out);
        if self.stopping {
            self.hand_back(0, out);
        }
    }

    /// Books the total of a call that was added; tells what is to go back, and what overflow to take off.
    fn booked(&mut self, key: AccountId, call: &mut Call, total: f64) -> (f64, f64) {
        let Some(c) = self.customers.get_mut(&key) else { return (0.0, 0.0) };
        let Some(plan) = self.set.plans.get(c.plan) else { return (0.0, 0.0) };
        settle(c, key, self.now, call, total);
        let (mut excess, burn) = book(c, plan, key, self.now, call, total);
        if call.amount > 0.0 {
            let empty = if excess > 0.0 { 1.0 } else { 0.0 };
            c.looks.add(self.now, empty, TALLY_SPAN);
            self.looks.entry(c.plan).or_default().add(self.now, empty, TALLY_SPAN);
            excess += empty * call.proxy;
            // Danger: a part of a request lying at each of a hundred nodes strands the whole burst. With
            // the bucket short, what serves nobody who waits goes back at once, and not when it is idle.
            let wants = c.waiting.iter().filter_map(|w| self.requests.get(w)).filter(|r| !r.answered);
            let rest = wants.fold(c.lease, |l, r| if l >= r.ask.units { l - r.ask.units } else { l });
            c.lease -= rest * empty;
            excess += rest * empty;
        }
        (excess, burn)
    }

    /// Danger: a slow counter adds what a call asked for though its answer comes too late. Taken for draws of
    /// other nodes, these units would serve nobody, and the quota would look used up.
    pub(super) fn on_late(&mut self, name: CounterKey, outcome: Outcome, total: f64, out: &mut Vec<Action>) {
        let Some((key, mut call)) = self.expired.get_mut(&name).and_then(VecDeque::pop_front) else { return };
        let Some(c) = self.customers.get_mut(&key) else { return };
        match outcome {
            // The total of a window that is over tells nothing of this one.
            Outcome::Ok if total.is_finite() && name == count_name(key, self.now) => {
                let (excess, _) = self.booked(key, &mut call, total);
                let Some(c) = self.customers.get_mut(&key) else { return };
                if c.call.is_some() {
                    c.untold -= excess;
                } else if excess > 0.01 {
                    self.count(key, -excess, 0.0, out);
                }
            }
            Outcome::Rejected | Outcome::ConnectFailed => not_added(c, &call),
            _ => {}
        }
    }

    /// Lets in what waited for a lease, in order; what still lacks units is deferred.
    fn serve_waiting(&mut self, key: AccountId, out: &mut Vec<Action>) {
        while let Some(id) = self.customers.get_mut(&key).and_then(|c| c.waiting.pop_front()) {
            match self.draw(&id, false, out) {
                Verdict::Granted => self.launch(&id, true, out),
                Verdict::Held => return self.customers.entry(key).or_default().waiting.push_front(id),
                Verdict::Beyond => self.defer(&id, out),
            }
        }
    }

    /// Gives back the leases of customers not seen for longer than `idle`.
    pub(super) fn hand_back(&mut self, idle: Micros, out: &mut Vec<Action>) {
        let (now, up) = (self.now, self.counter_up());
        let spare = |c: &Customer| up && now.saturating_sub(c.used_at) > idle && c.call.is_none();
        let spare = self.customers.iter_mut().filter(|(_, c)| spare(c) && c.lease > c.mean / 2.0);
        let back: Vec<_> = spare.map(|(&key, c)| (key, std::mem::take(&mut c.lease))).collect();
        back.into_iter().for_each(|(key, back)| self.count(key, -back, 0.0, out));
    }

    /// Danger: customers are ever new, and what is kept of each grows without end. One goes once its bucket
    /// must be full again and its lease is handed back: a new one is told the same by the counter.
    pub(super) fn forget(&mut self) {
        let now = self.now;
        self.balancer.servers.forget(now);
        let full = |c: &Customer| {
            let plan = self.set.plans.get(c.plan).filter(|p| p.quota_units_per_second > 0.0);
            plan.map_or(0, |p| (p.burst_units / p.quota_units_per_second * 1e6) as Micros).max(FORGET)
        };
        let idle = |c: &Customer| c.open == 0 && c.call.is_none() && c.waiting.is_empty();
        let over = |c: &Customer| now > c.used_at + if c.lease > c.mean / 2.0 { KEEP } else { full(c) };
        self.customers.retain(|_, c| !(idle(c) && over(c)));
    }
}

/// The worth of a unit of the dearest request.
pub(super) fn dearest(set: &Settings) -> f64 {
    let credit = set.classes.iter().map(|c| c.priority_weight).fold(0.0, f64::max);
    credit * set.plans.iter().map(|p| p.weight_factor).fold(0.0, f64::max)
}

/// What the fleet's bucket should hold now, if the others go on drawing as they did.
fn projected(c: &Customer, plan: &Plan, now: Micros) -> f64 {
    let span = now.saturating_sub(c.level_at) as f64 / 1e6;
    let net = (plan.quota_units_per_second - c.others.get(now, RATE_SPAN))
        .max(plan.quota_units_per_second / c.spread);
    (c.level + net * span).min(plan.burst_units - c.lease)
}

/// Takes back what a call was to tell and was not added. Of a call that was read again this says nothing.
fn not_added(c: &mut Customer, call: &Call) {
    if call.unread == 0 {
        c.untold += call.told - call.burn;
        c.lease += (-call.amount).max(0.0);
    }
}

/// Clears up whether a doubtful call was added. Danger: what others drew must not be granted here as well. So
/// it counts as added only if the total grew by its very amount, as not added only if by less; else its units
/// stay with the counter and nobody gets them, which costs a customer with little left.
fn settle(c: &mut Customer, key: AccountId, now: Micros, call: &mut Call, total: f64) {
    let last = c.seen.filter(|&(w, _)| w == window_of(key, now)).map_or(0.0, |(_, last)| last);
    let (sum, grown) = (call.amount + call.told, total - last);
    let exact = total.abs().max(1.0) * 2e-6;
    if !call.doubtful || (grown - sum).abs() <= exact {
        return;
    }
    if sum > 0.0 && grown < sum {
        c.untold += call.told - call.proxy - call.burn;
    }
    (call.amount, call.told, call.proxy) = (0.0, 0.0, 0.0);
}

/// Books a total. Returns what of the call's amount does not fit into the bucket, and what of the filling
/// found the bucket full and is to be taken off the total, once that is enough.
fn book(c: &mut Customer, plan: &Plan, key: AccountId, now: Micros, call: &Call, total: f64) -> (f64, f64) {
    let (amount, window) = (call.amount, window_of(key, now));
    let secs = |from: Micros| now.saturating_sub(from) as f64 / 1e6;
    let last = c.seen.filter(|&(w, _)| w == window).map(|(_, last)| last);
    let fallen = last.is_some_and(|last| total + plan.burst_units / 2.0 < last + amount);
    let delta = total - last.filter(|_| !fallen).unwrap_or(total - amount);
    let others = (delta - amount - call.told).max(0.0);
    c.others.add(now, others, RATE_SPAN);
    let start = (window * WINDOW).saturating_sub(mix(key.0) % WINDOW);
    let level = plan.burst_units + plan.quota_units_per_second * secs(start) - total;
    // Danger: a total that fell (flushed, or empty after a restart) tells nothing of the past. The level is
    // carried on, less what the others draw; under a hard ceiling always, since no total may grant a burst
    // twice.
    let carried = fallen || plan.ceiling_units_per_second > 0.0;
    let unseen = if last.is_none() || fallen { c.others.get(now, RATE_SPAN) * secs(c.level_at) } else { 0.0 };
    let grown = (c.level + plan.quota_units_per_second * secs(c.level_at)).min(plan.burst_units);
    c.level = if carried { grown - delta - unseen } else { level.min(grown - amount) };
    (c.level_at, c.seen) = (now, Some((window, total)));
    let asked = amount.max(0.0);
    let fit = (asked + (c.level + call.proxy).min(0.0)).clamp(0.0, asked);
    c.lease += fit;
    let over = level + amount - plan.burst_units;
    // Danger: two nodes that see one overflow both burn it. The later sees that others added about as much
    // during its call, and puts it back. That the bucket is not full tells nothing: it was just drawn from.
    let doubled = amount == 0.0 && call.told > 0.0 && others > call.told / 2.0;
    let burn = if carried || over < plan.burst_units * OVERFLOW { 0.0 } else { over };
    (asked - fit, if doubled { -call.told } else { burn })
}

/// Windows are staggered by customer, so that not all names change at a stroke.
fn window_of(key: AccountId, now: Micros) -> u64 {
    (now + mix(key.0) % WINDOW) / WINDOW
}

fn count_name(key: AccountId, now: Micros) -> CounterKey {
    CounterKey(mix(mix(key.0) ^ window_of(key, now).wrapping_mul(GOLDEN)) >> 1)
}
