//! The decisions of one gateway node. The types it speaks are in `event`, `action` and `settings`.
//! The ordinary path is DSRT (docs/design.md): a request within its customer's quota draws on this
//! node's lease and goes to a server; beyond the quota it is refused with a spaced retry-after.
//! Reading order: this file, then quota, deferral, balancer, attempts, load_shedding; estimators serve them.

mod action;
mod attempts;
mod balancer;
mod deferral;
mod estimators;
mod event;
mod identifiers;
mod load_shedding;
mod quota;
mod settings;

use std::collections::{BTreeMap, VecDeque};

pub use action::Action;
pub use event::{EndedAttempt, EndpointEntry, EndpointState, EndpointUpdateKind, Event, NewRequest, Outcome};
pub use identifiers::{AccountId, CounterKey, EndpointId, Micros, RequestId};
pub use settings::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Plan, RequestClass, Settings, WarmUp,
};

use attempts::{Request, RETRY_STORE};
use balancer::{Balancer, TALLY_SPAN};
use estimators::{mix, uniform, Bucket, Rate, Tally, GOLDEN};
use load_shedding::{shortest_aim, LoadShedder, SHED_CHEAPEST, SHED_DEAREST};
use quota::{dearest, Call, Customer, COUNTER_BACKOFF, GUESS_STORE, KEEP, LEASE_IDLE, RATE_SPAN};

/// Housekeeping period: rescues, half-open servers, held requests, give-backs.
const TICK: Micros = 20_000;
/// A customer is kept for this long at least, and all are looked through so often.
const FORGET: Micros = 6_000_000;
const SWEEP: Micros = 500_000;

/// The decision module of one node.
#[derive(Default)]
pub struct DecisionEngine {
    set: Settings,
    random: u64,
    now: Micros,
    /// When the first event came.
    begun: Option<Micros>,
    /// When customers and servers were last looked through.
    swept: Micros,
    /// A planned stop: what is granted from here on and serves nobody goes back at once.
    stopping: bool,
    customers: BTreeMap<AccountId, Customer>,
    /// Calls out, by name: one at a time for a customer.
    calls: BTreeMap<CounterKey, AccountId>,
    /// Calls that timed out and may yet be answered, by name, the oldest first.
    expired: BTreeMap<CounterKey, VecDeque<(AccountId, Call)>>,
    counter_backoff: Micros,
    counter_until: Micros,
    /// The share of requests without a lease that ask the counter: AIMD on its answers.
    ask_share: f64,
    /// What a guess loses in the mean.
    stakes: f64,
    /// What guesses may still cost.
    guesses: f64,
    /// By plan, the looks at totals and those that found nothing.
    looks: BTreeMap<usize, Tally>,
    requests: BTreeMap<RequestId, Request>,
    parked: VecDeque<RequestId>,
    /// How long new tries of a class wait.
    patience: BTreeMap<usize, Micros>,
    balancer: Balancer,
    load_shedder: LoadShedder,
    retries: f64,
}

impl DecisionEngine {
    /// A node at its start. It knows no servers until the first list comes.
    pub fn new(seed: u64, set: Settings) -> Self {
        DecisionEngine {
            random: seed,
            counter_backoff: COUNTER_BACKOFF,
            ask_share: 1.0,
            retries: RETRY_STORE / 2.0,
            guesses: GUESS_STORE * dearest(&set),
            balancer: Balancer::new(&set),
            set,
            ..DecisionEngine::default()
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.begun.is_none() {
            self.begun = Some(now);
            self.load_shedder.start(now);
            out.push(Action::SetTimer { id: 0, after: TICK });
        }
        match event {
            Event::EndpointsUpdated { kind, entries } => self.on_members(kind, entries, out),
            Event::RequestReceived(new) => self.on_request(new, out),
            Event::ResponseStarted { request: id } => {
                self.requests.get_mut(&id).into_iter().for_each(|r| r.stream = true)
            }
            Event::AttemptEnded(end) => self.on_ended(end, out),
            Event::ClientDisconnected { request: id } => self.close(&id),
            Event::CounterReplied { key: name, outcome, total } => self.on_count(name, outcome, total, out),
            Event::LateCounterReply { key: name, outcome, total } => self.on_late(name, outcome, total, out),
            Event::TimerFired { .. } => self.on_tick(out),
            Event::ShutdownStarted => {
                self.stopping = true;
                self.hand_back(0, out);
            }
            Event::ProbeCompleted { .. } => {}
        }
    }

    /// How many customers and app servers something is kept of.
    pub fn kept(&self) -> (usize, usize) {
        (self.customers.len(), self.balancer.servers.ring.len() + self.balancer.servers.off.len())
    }

    /// Work since the start: looks at app servers, for requests and ticks, and list entries that differed.
    pub fn work(&self) -> (u64, u64) {
        (self.balancer.servers.looked.get(), self.balancer.servers.touched)
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { id: 0, after: TICK });
        let now = self.now;
        self.load_shedder.on_tick(&self.balancer, now);
        for id in std::mem::take(&mut self.parked) {
            let Some(r) = self.requests.get(&id) else { continue };
            // Danger: what is turned away late has cost its client the time to go elsewhere.
            let patience = self.set.classes[r.ask.class]
                .latency_objective
                .min(r.ask.deadline.saturating_sub(r.arrived) / 2);
            if now + 2 * TICK >= r.arrived + patience {
                self.give_up(&id, out);
            } else {
                self.launch(&id, false, out);
            }
        }
        self.rescue(out);
        self.balancer.eject_silent(now);
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.hand_back(if self.ask_share > 0.5 { LEASE_IDLE } else { Micros::MAX }, out);
            self.forget();
            let known = |calls: &VecDeque<(_, Call)>| calls.back().is_some_and(|(_, c)| now < c.at + KEEP);
            self.expired.retain(|_, calls| known(calls));
        }
    }

    fn on_members(&mut self, kind: EndpointUpdateKind, entries: Vec<EndpointEntry>, out: &mut Vec<Action>) {
        let polls = self.set.polls_endpoint_list;
        if kind == EndpointUpdateKind::StaleSnapshot || (kind == EndpointUpdateKind::WatchLost && polls) {
            // Danger: an old list after a restart names dead servers and hides cold ones. Ask anew.
            out.push(if polls { Action::WatchEndpoints } else { Action::FetchEndpoints });
        }
        if kind == EndpointUpdateKind::WatchLost {
            return;
        }
        self.balancer.update(kind != EndpointUpdateKind::Delta, entries, self.now, &mut self.random);
        self.forget();
    }
}
