//! The decisions of one edge node: which request is admitted, deferred or rejected, and which endpoint gets
//! it.
//!
//! [`DecisionEngine`] takes events with the time and returns actions. It opens no socket and reads no
//! clock. `event`, `action` and `settings` have the types it speaks. The ordinary path is DSRT
//! (docs/design.md): a request within its account's quota draws on this node's lease and goes to an
//! endpoint; beyond the quota it is rejected with a spaced `Retry-After` time.
//!
//! Each part has its own state, and the engine passes values between them. Reading order: this file,
//! `admission`, `quota`, `deferral`, `attempts`, `balancer`, `load_shedding`; `estimators` serve them all.

mod action;
mod admission;
mod attempts;
mod balancer;
mod deferral;
mod estimators;
mod event;
mod identifiers;
mod load_shedding;
mod quota;
mod settings;

pub use action::Action;
pub use event::{EndedAttempt, EndpointEntry, EndpointState, EndpointUpdateKind, Event, NewRequest, Outcome};
pub use identifiers::{AccountId, CounterKey, EndpointId, Micros, RequestId};
pub use settings::{
    CounterSettings, DeduplicationScope, Idempotency, Limits, Plan, RequestClass, Settings, WarmUp,
};

use admission::ClientTimeouts;
use attempts::{PendingRequest, PendingRequests, RetryBudget};
use balancer::Balancer;
use deferral::DeferralSchedule;
use estimators::RandomSource;
use load_shedding::LoadShedder;
use quota::{CounterReply, QuotaLedger};

/// Period of the housekeeping.
const TICK: Micros = 20_000;
/// Period in which idle leases are released and what is not needed any more is forgotten.
const SWEEP_INTERVAL: Micros = 500_000;

/// The decisions of one node.
pub struct DecisionEngine {
    settings: Settings,
    /// The node's seeded random numbers.
    random: RandomSource,
    /// The time of the latest event.
    now: Micros,
    /// The first event has come, and with it the timer of the housekeeping was set.
    has_started: bool,
    /// When the latest sweep ran.
    swept_at: Micros,
    shutdown_started: bool,
    quota: QuotaLedger,
    deferrals: DeferralSchedule,
    client_timeouts: ClientTimeouts,
    pending: PendingRequests,
    retry_budget: RetryBudget,
    balancer: Balancer,
    load_shedder: LoadShedder,
}

/// How many entries a node keeps state of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedEntries {
    /// Accounts.
    pub accounts: usize,
    /// Endpoints, listed or not.
    pub endpoints: usize,
}

/// Work done since the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkCounters {
    /// How often an endpoint was examined, for requests and ticks.
    pub endpoints_examined: u64,
    /// How many entries of the endpoint list differed from what was known.
    pub entries_changed: u64,
}

impl DecisionEngine {
    /// A node at its start. It knows no endpoints until the first list comes.
    pub fn new(seed: u64, settings: Settings) -> Self {
        DecisionEngine {
            random: RandomSource::from_seed(seed),
            now: 0,
            has_started: false,
            swept_at: 0,
            shutdown_started: false,
            quota: QuotaLedger::new(&settings),
            deferrals: DeferralSchedule::default(),
            client_timeouts: ClientTimeouts::default(),
            pending: PendingRequests::default(),
            retry_budget: RetryBudget::new(),
            balancer: Balancer::new(&settings),
            load_shedder: LoadShedder::default(),
            settings,
        }
    }

    /// Takes one event at the time `now` and appends what is to be done. Time never runs backwards: an
    /// earlier `now` counts as that of the latest event.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if !self.has_started {
            self.start(actions);
        }
        match event {
            Event::EndpointsUpdated { kind, entries } => self.on_endpoints_updated(kind, entries, actions),
            Event::RequestReceived(request) => self.on_request(request, actions),
            Event::ResponseStarted { request } => self.on_response_started(&request),
            Event::AttemptEnded(end) => self.on_attempt_ended(&end, actions),
            Event::ClientDisconnected { request } => self.finish_request(&request),
            Event::CounterReplied { key, outcome, total } => {
                self.on_counter_reply(key, CounterReply::classify(outcome, total), actions);
            }
            Event::LateCounterReply { key, outcome, total } => {
                let reply = CounterReply::classify(outcome, total);
                self.quota.on_late_reply(&self.settings, self.now, key, reply, actions);
            }
            Event::TimerFired { .. } => self.on_tick(actions),
            Event::ShutdownStarted => self.on_shutdown_started(actions),
            // Endpoints are judged by the attempts at them alone.
            Event::ProbeCompleted { .. } => {}
        }
    }

    /// How many accounts and endpoints the node keeps state of.
    pub fn retained_entries(&self) -> RetainedEntries {
        RetainedEntries {
            accounts: self.quota.account_count(),
            endpoints: self.balancer.retained_endpoints(),
        }
    }

    /// The work done since the start.
    pub fn work_counters(&self) -> WorkCounters {
        self.balancer.work_counters()
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.has_started = true;
        self.load_shedder.start(self.now);
        actions.push(Action::SetTimer { id: 0, after: TICK });
    }

    fn on_endpoints_updated(
        &mut self,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
        actions: &mut Vec<Action>,
    ) {
        let polls = self.settings.polls_endpoint_list;
        if kind == EndpointUpdateKind::StaleSnapshot || (kind == EndpointUpdateKind::WatchLost && polls) {
            // A list from before a restart names endpoints that have failed since and lacks those that are
            // warming up. Where the list is polled, a watch that was lost has to be started again.
            actions.push(if polls { Action::WatchEndpoints } else { Action::FetchEndpoints });
        }
        if kind == EndpointUpdateKind::WatchLost {
            return;
        }
        self.balancer.apply_update(kind, entries, self.now, &mut self.random);
        self.forget_unneeded();
    }

    fn on_response_started(&mut self, id: &RequestId) {
        if let Some(pending) = self.pending.get_mut(id) {
            pending.response_started = true;
        }
    }

    fn on_counter_reply(&mut self, key: CounterKey, reply: CounterReply, actions: &mut Vec<Action>) {
        let account = self.quota.on_reply(&self.settings, self.now, &mut self.random, key, reply, actions);
        let Some(account) = account else { return };
        self.serve_queue(account, actions);
        if self.shutdown_started {
            self.release_all_leases(actions);
        }
    }

    /// Releases all leases. The listener is closed; requests on open connections may still arrive. From
    /// here on units that no waiting request needs are released as they are granted.
    fn on_shutdown_started(&mut self, actions: &mut Vec<Action>) {
        self.shutdown_started = true;
        self.release_all_leases(actions);
    }

    fn release_all_leases(&mut self, actions: &mut Vec<Action>) {
        self.quota.release_idle_leases(&self.settings, self.now, 0, actions);
    }

    /// Housekeeping, in this order: the load is sampled, requests that have waited too long for the counter
    /// are decided without it, requests without an endpoint are tried again, stuck attempts are cancelled,
    /// unresponsive endpoints are ejected. The sweep of leases and memory follows less often.
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { id: 0, after: TICK });
        self.load_shedder.on_tick(&self.balancer, self.now);
        self.end_overdue_counter_waits(actions);
        self.dispatch_waiting_requests(actions);
        self.cancel_stuck_attempts(actions);
        self.balancer.eject_unresponsive(self.now);
        if self.now >= self.swept_at + SWEEP_INTERVAL {
            self.sweep(actions);
        }
    }

    /// Releases idle leases, and forgets accounts, endpoints and timed-out calls that are not needed any
    /// more.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        self.swept_at = self.now;
        self.quota.release_unused_leases(&self.settings, self.now, actions);
        self.forget_unneeded();
        self.quota.drop_expired_calls(self.now);
    }

    /// Tries again to find endpoints for the requests that wait for one, and rejects or fails those that
    /// waited too long: a late rejection costs its client the time to go elsewhere.
    fn dispatch_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        for id in self.pending.take_waiting_for_endpoint() {
            let Some(pending) = self.pending.get(&id) else { continue };
            if self.now + 2 * TICK >= pending.arrived_at + self.longest_wait(pending) {
                self.reject_or_fail(&id, actions);
            } else {
                self.dispatch(&id, actions);
            }
        }
    }

    /// How long a request may wait in all before its first attempt.
    fn longest_wait(&self, pending: &PendingRequest) -> Micros {
        let objective = self.settings.classes[pending.request.class].latency_objective;
        let timeout = pending.request.deadline.saturating_sub(pending.arrived_at);
        objective.min(timeout / 2)
    }

    /// Forgets endpoints and accounts that nothing has to be known of any more.
    fn forget_unneeded(&mut self) {
        self.balancer.forget_removed(self.now);
        self.quota.forget_idle_accounts(&self.settings, self.now);
        self.deferrals.retain_accounts(|account| self.quota.contains(account));
    }
}
