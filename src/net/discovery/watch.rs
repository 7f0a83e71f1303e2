//! Watches the endpoint list by calling discovery for as long as the node runs.
//!
//! Each call but the first begins when the latest one has responded, or some time after it has failed or is
//! overdue. An overdue call stays in flight beside the calls that follow it, and its list is applied whenever
//! it arrives: a discovery that is slower than the time after which its calls are repeated is heard all the same.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use tokio::time::Instant;

use crate::decision::EndpointUpdateKind;
use crate::net::discovery::apply::{ApplyOutcome, ListApplier, ReceivedList};
use crate::net::discovery::call_times::finish_by;
use crate::net::discovery::calls_in_flight::{BegunCall, CallNumber, CallsInFlight, EndedCall};
use crate::net::discovery::error::{CallError, DiscoveryError};
use crate::net::discovery::failure_log::FailureLog;
use crate::net::discovery::list_call::ListCall;
use crate::net::discovery::list_client::{ListClient, ParsedResponse};
use crate::net::discovery::schedule::WatchSchedule;
use crate::net::event_sink::EventSink;
use crate::net::http_client::HttpConnection;

/// The pause after a call that returned in less than this time without a change. Without it, a discovery that
/// responds to long polls at once would keep the core busy.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(20);

/// The result of one successful call of the watch.
#[derive(Clone, Copy, PartialEq)]
enum WatchResult {
    /// The response contained a list that was applied.
    Updated,
    /// The response contained no change, or only changes that are known already.
    Unchanged,
}

/// The watch of discovery at one address. Dropping this ends its calls.
pub(super) struct Watch {
    client: Rc<ListClient>,
    applier: Rc<ListApplier>,
    schedule: Rc<RefCell<WatchSchedule>>,
    events: Rc<dyn EventSink>,
    calls: CallsInFlight,
    /// An open connection without a call, for the next call.
    idle_connection: Option<HttpConnection>,
    /// The call that began last among those whose list was applied.
    latest_applied: CallNumber,
    /// The call whose response last showed that discovery has restarted its count of versions.
    restart_seen_by: CallNumber,
    log: FailureLog,
}

impl Watch {
    pub(super) fn new(
        client: Rc<ListClient>,
        applier: Rc<ListApplier>,
        schedule: Rc<RefCell<WatchSchedule>>,
        events: Rc<dyn EventSink>,
    ) -> Self {
        Watch {
            calls: CallsInFlight::new(client.clone()),
            client,
            applier,
            schedule,
            events,
            idle_connection: None,
            latest_applied: CallNumber::default(),
            restart_seen_by: CallNumber::default(),
            log: FailureLog::default(),
        }
    }

    /// Calls discovery repeatedly, with a pause after each call that has failed or is overdue.
    pub(super) async fn run(mut self) {
        loop {
            let latest = self.calls.begin(self.next_call(), self.idle_connection.take());
            match self.wait_for_response(&latest).await {
                Some(result) => {
                    self.schedule.borrow_mut().reset();
                    let call_time = latest.progress.began_at.elapsed();
                    if result == WatchResult::Unchanged && call_time < MIN_WATCH_INTERVAL {
                        self.apply_late_until(Instant::now() + MIN_WATCH_INTERVAL).await;
                    }
                }
                None => {
                    let pause = self.pause_after(&latest);
                    self.apply_late_until(Instant::now() + pause).await;
                }
            }
            while !self.calls.has_room() {
                let ended = self.calls.next_ended().await;
                self.apply_late(ended).await;
            }
        }
    }

    /// Returns the call that is due: a long poll for changes since the version applied last, or a request for
    /// the full list if no version is known.
    fn next_call(&self) -> ListCall {
        match self.applier.version() {
            Some(version) => ListCall::ChangesSince(version),
            None => ListCall::FullList,
        }
    }

    /// Waits for the response to the latest call, and applies those to earlier calls meanwhile. Returns
    /// `None` if the latest call fails or is overdue.
    async fn wait_for_response(&mut self, latest: &BegunCall) -> Option<WatchResult> {
        loop {
            let Some(ended) = self.next_ended_unless_overdue(latest).await else {
                self.log.failed(self.client.address.get(), &latest.progress.incomplete());
                return None;
            };
            if ended.number != latest.number {
                self.apply_late(ended).await;
                continue;
            }
            return match self.apply_response(ended).await {
                Ok(result) => {
                    self.log.responded(self.client.address.get(), &latest.progress);
                    Some(result)
                }
                Err(error) => {
                    self.log.failed(self.client.address.get(), &error);
                    None
                }
            };
        }
    }

    /// Waits until a call ends. Returns `None` once the latest call is overdue.
    async fn next_ended_unless_overdue(&mut self, latest: &BegunCall) -> Option<EndedCall> {
        loop {
            let deadline = latest.progress.overdue.deadline();
            if let Some(ended) = finish_by(deadline, self.calls.next_ended()).await {
                return Some(ended);
            }
            let was_postponed = latest.progress.overdue.deadline() > deadline;
            if !was_postponed {
                return None;
            }
        }
    }

    /// Applies the responses that arrive before `until`.
    async fn apply_late_until(&mut self, until: Instant) {
        while let Ok(ended) = tokio::time::timeout_at(until, self.calls.next_ended()).await {
            self.apply_late(ended).await;
        }
    }

    /// Applies the response to a call that was overdue. Its failure was recorded when it was.
    async fn apply_late(&mut self, ended: EndedCall) {
        let progress = ended.progress.clone();
        if self.apply_response(ended).await.is_ok() {
            self.log.responded_late(self.client.address.get(), &progress);
        }
    }

    /// Returns the pause after a call that has failed or is overdue.
    fn pause_after(&self, latest: &BegunCall) -> Duration {
        let mut schedule = self.schedule.borrow_mut();
        match latest.progress.call {
            ListCall::ChangesSince(_) => schedule.pause_after_failure(latest.progress.began_at.elapsed()),
            ListCall::FullList => schedule.pause_before_first_list(),
        }
    }

    /// Applies the list in the response to a call, if it is new.
    async fn apply_response(&mut self, ended: EndedCall) -> Result<WatchResult, CallError> {
        let EndedCall { number, progress, result } = ended;
        let parsed = result?.parse().await.map_err(|source| progress.error(source))?;
        let ParsedResponse { received, connection } = parsed;
        self.idle_connection = Some(connection);
        if self.is_superseded(number, received.list.version) {
            return Ok(WatchResult::Unchanged);
        }
        let applied = self.apply_list(number, received).await;
        applied.map_err(|source| progress.error(source))
    }

    /// Returns whether a list of this version, in the response to the call with this number, is older than
    /// one that was applied.
    fn is_superseded(&self, number: CallNumber, version: u64) -> bool {
        let began_before_restart = number < self.restart_seen_by;
        let is_old = number < self.latest_applied && Some(version) <= self.applier.version();
        began_before_restart || is_old
    }

    async fn apply_list(
        &mut self,
        number: CallNumber,
        received: ReceivedList,
    ) -> Result<WatchResult, DiscoveryError> {
        let list = &received.list;
        let version = list.version;
        let known_version = self.applier.version();
        let kind = if list.is_snapshot || known_version.is_none() {
            EndpointUpdateKind::Snapshot
        } else {
            EndpointUpdateKind::Delta
        };
        if kind == EndpointUpdateKind::Snapshot && Some(version) < known_version {
            self.restart_seen_by = number;
        }
        self.latest_applied = self.latest_applied.max(number);
        let has_no_change = kind == EndpointUpdateKind::Delta && list.is_empty();
        // A fetch may have applied a newer list meanwhile, and an older delta would undo its changes.
        let is_outdated = kind == EndpointUpdateKind::Delta && Some(version) < known_version;
        if !has_no_change && !is_outdated {
            let applied = self.applier.apply(&self.events, received, kind).await;
            if applied.map_err(DiscoveryError::Worker)? == ApplyOutcome::Applied {
                return Ok(WatchResult::Updated);
            }
        }
        // The response brought nothing to apply. The next call asks for changes since its version, or since
        // the known one if that is newer.
        self.applier.record_version(version);
        Ok(WatchResult::Unchanged)
    }
}
