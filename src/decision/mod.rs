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

use attempts::{Request, LATENCY_START, RETRY_STORE};
use balancer::endpoint_table::{Roster, Server, LOOKS};
use balancer::{LOST, TALLY_SPAN};
use estimators::{mix, uniform, Bucket, Rate, Tally, GOLDEN};
use load_shedding::{DONE_SPAN, HELD_GAIN, MEAN_SPAN, SHED_CHEAPEST, SHED_DEAREST};
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
    servers: Roster,
    latency: f64,
    deviation: f64,
    /// What is out at servers that answer, smoothed.
    held: f64,
    /// How attempts ended over the fleet, by kind.
    tally: BTreeMap<usize, Tally>,
    /// The share of answers and breaks over the fleet that are breaks.
    breaks: Tally,
    times: Tally,
    /// What a warm server of the subset was due here so far, in millionths of a request; the subset's warmth.
    virtual_time: Micros,
    subset_warmth: f64,
    retries: f64,
}

impl DecisionEngine {
    /// A node at its start. It knows no servers until the first list comes.
    pub fn new(seed: u64, set: Settings) -> Self {
        DecisionEngine {
            random: seed,
            counter_backoff: COUNTER_BACKOFF,
            ask_share: 1.0,
            latency: LATENCY_START,
            deviation: LATENCY_START / 2.0,
            retries: RETRY_STORE / 2.0,
            guesses: GUESS_STORE * dearest(&set),
            servers: Roster::new(&set.classes),
            set,
            ..DecisionEngine::default()
        }
    }

    /// Takes one event at the time `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.begun.is_none() {
            self.begun = Some(now);
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
        (self.customers.len(), self.servers.ring.len() + self.servers.off.len())
    }

    /// Work since the start: looks at app servers, for requests and ticks, and list entries that differed.
    pub fn work(&self) -> (u64, u64) {
        (self.servers.looked.get(), self.servers.touched)
    }

    fn on_tick(&mut self, out: &mut Vec<Action>) {
        out.push(Action::SetTimer { id: 0, after: TICK });
        let now = self.now;
        let held: usize = self.servers.met().filter(|s| self.answers(s)).map(|s| self.working(s)).sum();
        self.held += (held as f64 - self.held) * HELD_GAIN;
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
        let silent: Vec<_> = self.servers.met().filter(|s| self.silent(s)).map(|s| s.told.id).collect();
        silent.into_iter().for_each(|key| self.eject(key));
        if now >= self.swept + SWEEP {
            self.swept = now;
            self.hand_back(if self.ask_share > 0.5 { LEASE_IDLE } else { Micros::MAX }, out);
            self.forget();
            let known = |calls: &VecDeque<(_, Call)>| calls.back().is_some_and(|(_, c)| now < c.at + KEEP);
            self.expired.retain(|_, calls| known(calls));
        }
    }
}
