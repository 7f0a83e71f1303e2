//! Attempts: how they begin and end, when another may follow, and the final answers.

use super::balancer::{AttemptResult, Placement, Selection, SelectionRequest};
use super::*;

/// Retry budget: further attempts per first attempt, and the most saved up.
const RETRY_SHARE: f64 = 0.2;
pub(super) const RETRY_STORE: f64 = 20.0;

#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub server: EndpointId,
    /// The server's zone and cell: the request's group outlives the server.
    pub place: Placement,
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
            Some(selection) => self.send(id, selection, out),
            None => self.parked.push_back(id.clone()),
        }
        if new {
            self.balancer.request_launched();
        }
    }

    fn choose(&mut self, id: &RequestId, exclude: Option<EndpointId>) -> Option<Selection> {
        let r = self.requests.get(id)?;
        let first_possible_run = r.ran.map(|a| a.place);
        let wanted = SelectionRequest { class: r.ask.class, plan: r.ask.plan, first_possible_run, exclude };
        self.balancer.choose(&self.set, self.now, &mut self.random, &wanted)
    }

    fn send(&mut self, id: &RequestId, selection: Selection, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(id) else { return };
        let Some(place) = self.balancer.attempt_started(selection, now) else { return };
        let server = selection.endpoint;
        self.retries = (self.retries + if r.attempts == 0 { RETRY_SHARE } else { -1.0 }).min(RETRY_STORE);
        r.attempts += 1;
        r.in_flight = Some(Attempt { server, place, sent: now });
        self.customers.entry(r.ask.account).and_modify(|c| c.open += 1);
        out.push(Action::StartAttempt { request: id.clone(), endpoint: server, timeout: 0 });
    }

    pub(super) fn on_ended(&mut self, end: EndedAttempt, out: &mut Vec<Action>) {
        let now = self.now;
        let Some(r) = self.requests.get_mut(&end.request) else { return };
        let Some(a) = r.in_flight.take_if(|_| end.attempt_number == r.attempts - 1) else { return };
        let server = a.server;
        let may_have_run =
            !matches!(end.outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        r.ran = r.ran.or(may_have_run.then_some(a));
        r.answered |= end.request_completed;
        self.customers.entry(r.ask.account).and_modify(|c| c.open = c.open.saturating_sub(1));
        let result = AttemptResult {
            endpoint: server,
            class: r.ask.class,
            plan: r.ask.plan,
            sent_at: a.sent,
            outcome: end.outcome,
            elapsed: end.elapsed,
        };
        let Some(recorded) = self.balancer.attempt_ended(&self.set, now, &result) else { return };
        if let Some(elapsed) = recorded.typical_response_time {
            self.load_shedder.record_response_time(now, elapsed);
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
            && self.now + self.balancer.latency as Micros / 2 < r.ask.deadline
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
            let stuck = self.balancer.is_stuck(a.server, a.sent, self.now);
            if stuck && self.set.limits.cancel_allowed && self.may_resend(id) {
                late.push((id.clone(), r.attempts - 1, a.server));
            }
        }
        for (id, attempt, server) in late {
            self.balancer.eject(server, self.now);
            out.push(Action::CancelAttempt { request: id, attempt_number: attempt });
        }
    }
}
