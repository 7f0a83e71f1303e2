//! Attempts: how they begin and end, when another may follow, and the final answers.

use super::*;

/// Weight of a new latency sample in the EWMAs, and the latency assumed before the first answer.
const LATENCY_GAIN: f64 = 0.1;
pub(super) const LATENCY_START: f64 = 100_000.0;
/// Breaks in a row eject a server when so many would come by chance, at the fleet's own share of breaks, less
/// often than this; so many always do.
const BREAK_CHANCE: f64 = 0.01;
const BREAKS_MOST: u32 = 3;
/// Retry budget: further attempts per first attempt, and the most saved up.
const RETRY_SHARE: f64 = 0.2;
pub(super) const RETRY_STORE: f64 = 20.0;

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub server: EndpointId,
    /// The server's zone and cell: the request's group outlives the server.
    pub place: (u32, u32),
    pub sent: Micros,
}

pub(super) struct Request {
    /// What the client asks, with units that can be counted.
    pub ask: NewRequest,
    pub arrived: Micros,
    pub drew: f64,
    /// How many attempts it had, and the one that is out: never two at once.
    pub attempts: u32,
    pub in_flight: Option<Attempt>,
    /// First attempt that may have run.
    pub ran: Option<Attempt>,
    pub answered: bool,
    pub stream: bool,
}

impl DecisionEngine {
    pub(super) fn launch(&mut self, id: &RequestId, new: bool, out: &mut Vec<Action>) {
        match self.choose(id, None) {
            Some(to) => self.send(id, to, out),
            None => self.parked.push_back(id.clone()),
        }
        self.virtual_time += if new { (1e6 / self.subset_warmth.max(1.0)) as Micros } else { 0 };
    }

    fn send(&mut self, id: &RequestId, (server, warmth): (EndpointId, f64), out: &mut Vec<Action>) {
        let now = self.now;
        let (Some(r), Some(s)) = (self.requests.get_mut(id), self.servers.sent(server, now)) else { return };
        s.slow_start.refill(self.virtual_time, warmth, 1.5);
        s.slow_start.store -= 1.0;
        self.retries = (self.retries + if r.attempts == 0 { RETRY_SHARE } else { -1.0 }).min(RETRY_STORE);
        r.attempts += 1;
        r.in_flight = Some(Attempt { server, place: (s.told.zone, s.told.cell), sent: now });
        self.customers.entry(r.ask.account).and_modify(|c| c.open += 1);
        out.push(Action::StartAttempt { request: id.clone(), endpoint: server, timeout: 0 });
    }

    pub(super) fn on_ended(&mut self, end: EndedAttempt, out: &mut Vec<Action>) {
        let (now, bound) = (self.now, self.latency_bound());
        let Some(r) = self.requests.get_mut(&end.request) else { return };
        let Some(a) = r.in_flight.take_if(|_| end.attempt_number == r.attempts - 1) else { return };
        let (server, sent) = (a.server, a.sent);
        let may_have_run =
            !matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        r.ran = r.ran.or(may_have_run.then_some(a));
        r.answered |= end.request_completed;
        self.customers.entry(r.ask.account).and_modify(|c| c.open = c.open.saturating_sub(1));
        let Some(s) = self.servers.ended(server, sent) else { return };
        // Danger: servers that fail one class, or turn one plan away, and serve the rest. They are passed
        // over for that kind alone, by what else is known of it (outlier ejection by success rate).
        let (ok, bad) =
            (end.outcome == Outcome::Ok, matches!(end.outcome, Outcome::Error | Outcome::Rejected));
        // Danger: servers that lose part of what they take and answer the rest. An answer clears all strikes,
        // and a node that meets each server seldom would learn of each loss anew.
        let unanswered = matches!(end.outcome, Outcome::TimedOut | Outcome::Cancelled);
        let lost = unanswered && s.heard < sent && end.elapsed as f64 > bound;
        let kinds = [(r.ask.class, bad), (self.set.classes.len() + r.ask.plan, bad), (LOST, lost)];
        for (kind, failed) in kinds.into_iter().filter(|&(_, failed)| failed || ok) {
            for tally in [&mut s.tally, &mut self.tally] {
                tally.entry(kind).or_default().add(now, f64::from(u8::from(failed)), TALLY_SPAN);
            }
        }
        let quiet = s.heard < sent && sent >= s.ejected;
        // Danger: connections that break at all servers alike (a lossy network, servers that close idle ones
        // early): ejected in turn for one break each, most of a fleet that answers would be out. So a break
        // tells of a server by how rare breaks are, and by no answer since. Where breaks are rare one is
        // enough. It does harm where servers die while many others break: each takes two or three more.
        let common = self.breaks.mean(now, 0.0, TALLY_SPAN);
        let broke = end.outcome == Outcome::Reset;
        if broke || matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Rejected) {
            self.breaks.add(now, if broke { 1.0 } else { 0.0 }, TALLY_SPAN);
            s.breaks = if broke { s.breaks + 1 } else { 0 };
        }
        let dead = s.breaks >= BREAKS_MOST || common.powi(s.breaks as i32) < BREAK_CHANCE;
        match end.outcome {
            Outcome::Ok => {
                let sample = end.elapsed as f64;
                self.deviation += ((sample - self.latency).abs() - self.deviation) * LATENCY_GAIN / 2.0;
                self.latency += (sample - self.latency) * LATENCY_GAIN / 2.0;
                if s.latency < 2.0 * self.latency {
                    self.times.add(now, sample, MEAN_SPAN);
                }
                s.latency += (sample - s.latency) * LATENCY_GAIN;
                s.done.add(now, 1.0, DONE_SPAN);
                s.answered = s.answered.max(sent);
                (s.heard, s.strikes, s.ejected) = (now, 0, s.ejected.min(now));
            }
            // Danger: a server that fails fast looks idle and quick. It is alive, and no more.
            Outcome::Error => s.heard = now,
            // What broke has left the server too, and overload is judged by the rate at which requests leave.
            Outcome::Reset if !dead => s.done.add(now, 1.0, DONE_SPAN),
            Outcome::ConnectFailed | Outcome::Reset => self.eject(server),
            Outcome::TimedOut | Outcome::Cancelled if quiet => self.eject(server),
            _ => {}
        }
        if self.requests.get(&end.request).is_some_and(|r| r.answered) {
            return self.close(&end.request);
        }
        let again = end.outcome != Outcome::NotSent && self.may_resend(&end.request);
        let pick = || self.choose(&end.request, Some(server)).or_else(|| self.choose(&end.request, None));
        match again.then(pick).flatten() {
            Some(next) => self.send(&end.request, next, out),
            None => self.give_up(&end.request, out),
        }
    }

    /// Whether the rules, the client's time and the retry budget allow another attempt.
    fn may_resend(&self, id: &RequestId) -> bool {
        let Some(r) = self.requests.get(id) else { return false };
        let class = &self.set.classes[r.ask.class];
        let fits = r.attempts < self.set.limits.max_attempts
            && self.now + self.latency as Micros / 2 < r.ask.deadline
            && !(r.answered || r.stream)
            && self.retries >= 1.0;
        // An attempt still out counts as one that may have run.
        fits && match (class.idempotency, r.ran.or(r.in_flight)) {
            (Idempotency::Safe, _) | (_, None) => true,
            // Danger: it counts when it is written, and its connection may come up late.
            (Idempotency::Keyed, Some(a)) => {
                self.now + self.set.limits.connect_timeout < a.sent + class.deduplication_window
            }
            (Idempotency::NonIdempotent, Some(_)) => false,
        }
    }

    /// The last answer to a request that cannot be served: refused where that is true, else failed.
    pub(super) fn give_up(&mut self, id: &RequestId, out: &mut Vec<Action>) {
        let Some(r) = self.requests.get(id) else { return };
        let class = &self.set.classes[r.ask.class];
        let dropped =
            class.idempotency == Idempotency::Keyed && class.deduplication_scope == DeduplicationScope::All;
        let harmless = r.ran.is_none() || dropped || class.idempotency == Idempotency::Safe;
        if harmless {
            return self.refuse(id, 0, out);
        }
        out.push(Action::Fail { request: id.clone() });
        self.close(id);
    }

    pub(super) fn refuse(&mut self, id: &RequestId, retry_after: Micros, out: &mut Vec<Action>) {
        out.push(Action::Reject { request: id.clone(), retry_after });
        self.close(id);
    }

    /// Marks a request as answered; it stays until its attempts have ended. Unused units go back.
    pub(super) fn close(&mut self, id: &RequestId) {
        let Some(r) = self.requests.get_mut(id) else { return };
        r.answered = true;
        if let Some(c) = self.customers.get_mut(&r.ask.account).filter(|_| r.attempts == 0) {
            c.lease += r.drew;
            // Danger: a client may use an id again at once, and a place left behind would send it twice.
            c.waiting.retain(|waiting| waiting != id);
            self.parked.retain(|parked| parked != id);
        }
        if r.in_flight.is_none() {
            self.requests.remove(id);
        }
    }

    /// Danger: a server that takes work and answers nothing. What is out there for longer than the fleet ever
    /// needs gets another try elsewhere, as far as class and retry budget allow.
    pub(super) fn rescue(&mut self, out: &mut Vec<Action>) {
        let mut late = Vec::new();
        for (id, r) in &self.requests {
            let Some(a) = r.in_flight else { continue };
            let silent = self.servers.get(a.server).is_some_and(|s| self.silent(s) || s.ejected > self.now);
            let age = self.now.saturating_sub(a.sent) as f64;
            if silent && age > self.latency_bound() && self.set.limits.cancel_allowed && self.may_resend(id) {
                late.push((id.clone(), r.attempts - 1, a.server));
            }
        }
        for (id, attempt, server) in late {
            self.eject(server);
            out.push(Action::CancelAttempt { request: id, attempt_number: attempt });
        }
    }
}
