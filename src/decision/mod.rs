//! The decisions of one edge node: whether a request is admitted, made to wait or rejected, and which
//! endpoint it is sent to.
//!
//! [`DecisionEngine`] takes events, each with its time, and returns actions. It opens no socket and reads no
//! clock. The modules `event`, `action` and `settings` define its input and output types. The normal path of
//! a request: if it is within its account's quota, it draws units from this node's lease and is sent to an
//! endpoint. If it is over quota, it is deferred, which means that it is rejected with a `Retry-After` time
//! (`deferral`).
//!
//! Each submodule has its own state, and the engine passes values between them. Reading order: this file,
//! `admission`, `quota`, `deferral`, `attempts`, `balancer`, `load_shedding`. All of them use `estimators`.

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

/// Interval between two runs of the housekeeping.
const TICK_INTERVAL: Micros = 20_000;
/// Interval between two sweeps, which release idle leases and drop state that is no longer needed.
const SWEEP_INTERVAL: Micros = 500_000;

/// The state machine that makes the decisions of one node.
pub struct DecisionEngine {
    settings: Settings,
    /// The node's random number generator.
    random: RandomSource,
    /// The time of the latest event.
    now: Micros,
    /// Whether the first event was handled. The timer of the housekeeping is set with that event.
    has_started: bool,
    /// The time of the latest sweep.
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

/// The numbers of accounts and endpoints that a node keeps state of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetainedEntries {
    /// Accounts with state.
    pub accounts: usize,
    /// Endpoints with state, whether or not they are on the endpoint list.
    pub endpoints: usize,
}

/// Counts of the work that a node has done since it was created.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WorkCounters {
    /// How often an endpoint was examined, for requests and for ticks.
    pub endpoints_examined: u64,
    /// How many entries of the endpoint list differed from what was known.
    pub entries_changed: u64,
}

impl DecisionEngine {
    /// Creates the engine of a node that starts. It knows no endpoints until the first list arrives.
    ///
    /// `seed` determines all random numbers that the node draws.
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

    /// Handles one event at the time `now` and appends the resulting actions to `actions`.
    ///
    /// Time never runs backwards: if `now` is before the time of the latest event, that time is used instead.
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
            // Only attempts determine the health of an endpoint.
            Event::ProbeCompleted { .. } => {}
        }
    }

    /// Returns the numbers of accounts and endpoints that the node keeps state of.
    pub fn retained_entries(&self) -> RetainedEntries {
        RetainedEntries {
            accounts: self.quota.account_count(),
            endpoints: self.balancer.retained_endpoints(),
        }
    }

    /// Returns the counts of the work done since the engine was created.
    pub fn work_counters(&self) -> WorkCounters {
        self.balancer.work_counters()
    }

    fn start(&mut self, actions: &mut Vec<Action>) {
        self.has_started = true;
        self.load_shedder.start(self.now);
        actions.push(Action::SetTimer { id: 0, after: TICK_INTERVAL });
    }

    fn on_endpoints_updated(
        &mut self,
        kind: EndpointUpdateKind,
        entries: Vec<EndpointEntry>,
        actions: &mut Vec<Action>,
    ) {
        let polls = self.settings.polls_endpoint_list;
        if kind == EndpointUpdateKind::StaleSnapshot || (kind == EndpointUpdateKind::WatchLost && polls) {
            // A list from before a restart contains endpoints that have failed since then and lacks those
            // that are warming up, so the current list is requested. A lost watch is started again only if
            // the nodes request the list from one shared service; otherwise the node's own agent pushes the
            // list.
            actions.push(if polls { Action::WatchEndpoints } else { Action::FetchEndpoints });
        }
        if kind == EndpointUpdateKind::WatchLost {
            return;
        }
        self.balancer.apply_update(kind, entries, self.now, &mut self.random);
        self.drop_unneeded_state();
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

    /// Releases all leases. The listener is closed, but requests may still arrive on open connections. From
    /// now on, units that no waiting request needs are released as soon as they are granted.
    fn on_shutdown_started(&mut self, actions: &mut Vec<Action>) {
        self.shutdown_started = true;
        self.release_all_leases(actions);
    }

    fn release_all_leases(&mut self, actions: &mut Vec<Action>) {
        self.quota.release_leases_idle_for(&self.settings, self.now, 0, actions);
    }

    /// Runs the housekeeping and sets its timer again. The steps, in this order:
    ///
    /// 1. The load is sampled.
    /// 2. Requests that have waited too long for the counter are decided without it.
    /// 3. Requests that wait for an endpoint are dispatched again.
    /// 4. Stuck attempts are cancelled.
    /// 5. Unresponsive endpoints are ejected.
    /// 6. Leases and state are swept, but only once per [`SWEEP_INTERVAL`].
    fn on_tick(&mut self, actions: &mut Vec<Action>) {
        actions.push(Action::SetTimer { id: 0, after: TICK_INTERVAL });
        self.load_shedder.on_tick(&self.balancer, self.now);
        self.end_overdue_counter_waits(actions);
        self.dispatch_waiting_requests(actions);
        self.cancel_stuck_attempts(actions);
        self.balancer.eject_unresponsive(self.now);
        if self.now >= self.swept_at + SWEEP_INTERVAL {
            self.sweep(actions);
        }
    }

    /// Releases idle leases and drops the state of accounts, endpoints and timed-out calls that are no longer
    /// needed.
    fn sweep(&mut self, actions: &mut Vec<Action>) {
        self.swept_at = self.now;
        self.quota.sweep_idle_leases(&self.settings, self.now, actions);
        self.drop_unneeded_state();
        self.quota.drop_expired_calls(self.now);
    }

    /// Dispatches the requests that wait for an endpoint again. A request that reaches its maximum wait
    /// within two ticks is rejected or failed instead: a late rejection costs its client the time to go
    /// elsewhere.
    fn dispatch_waiting_requests(&mut self, actions: &mut Vec<Action>) {
        for id in self.pending.take_waiting_for_endpoint() {
            let Some(pending) = self.pending.get(&id) else { continue };
            if self.now + 2 * TICK_INTERVAL >= pending.arrived_at + self.max_wait(pending) {
                self.reject_or_fail(&id, actions);
            } else {
                self.dispatch(&id, actions);
            }
        }
    }

    /// Returns how long a request may wait in all before its first attempt: its class's latency objective or
    /// half of the time that its client waits, whichever is shorter.
    fn max_wait(&self, pending: &PendingRequest) -> Micros {
        let objective = self.settings.classes[pending.request.class].latency_objective;
        let timeout = pending.request.deadline.saturating_sub(pending.arrived_at);
        objective.min(timeout / 2)
    }

    /// Drops the state of endpoints and accounts that is no longer needed.
    fn drop_unneeded_state(&mut self) {
        self.balancer.drop_unneeded_state(self.now);
        self.quota.drop_idle_accounts(&self.settings, self.now);
        self.deferrals.retain_accounts(|account| self.quota.contains(account));
    }
}
