//! Watches the endpoint list by calling discovery for as long as the node runs, and fetches the full list on
//! request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{sleep, Instant};

use crate::decision::{EndpointUpdateKind, Event};
use crate::net::discovery::apply::{ApplyOutcome, ListApplier, ReceivedList};
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::error::{CallError, DiscoveryError, ErrorChain};
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::list_call::ListCall;
use crate::net::discovery::list_client::ListClient;
use crate::net::discovery::parser::EndpointList;
use crate::net::discovery::schedule::WatchSchedule;
use crate::net::discovery::timeout::{FETCH_TIMEOUT, FIRST_CALL_TIMEOUT, WATCH_TIMEOUT};
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

/// A node's client of discovery.
pub struct Discovery {
    client: ListClient,
    applier: Rc<ListApplier>,
    watch_task: RefCell<Option<AbortHandle>>,
    schedule: RefCell<WatchSchedule>,
}

impl Discovery {
    /// Creates a client of discovery at this address, which stores the lists in this directory.
    pub fn new(
        address: SocketAddr,
        directory: Rc<dyn EndpointDirectory>,
        labels: PlacementLabels,
        schedule: WatchSchedule,
    ) -> Rc<Self> {
        Rc::new(Discovery {
            client: ListClient { address: address.into() },
            applier: ListApplier::new(directory, labels),
            watch_task: RefCell::default(),
            schedule: RefCell::new(schedule),
        })
    }

    /// Applies the list that the node has from its configuration, and starts the watch. If that list has
    /// entries, the first call is delayed by the schedule.
    pub fn start(self: &Rc<Self>, events: &Rc<dyn EventSink>, known: EndpointList) {
        let delay =
            if known.is_empty() { Duration::ZERO } else { self.schedule.borrow_mut().first_call_delay() };
        // The list is applied on this thread even if it is long, because no request is waiting yet.
        self.applier.apply_inline(events.as_ref(), &known, EndpointUpdateKind::StaleSnapshot);
        self.spawn_watch(events, delay);
    }

    /// Sets the address of discovery. Does nothing if it is the current one.
    ///
    /// The versions at the new address are unrelated to those at the old one, so the full list is requested
    /// first. The watch at the old address is aborted, and its responses are dropped.
    pub fn set_address(self: &Rc<Self>, events: &Rc<dyn EventSink>, address: SocketAddr) {
        if self.client.address.replace(address) != address {
            self.applier.discovery_moved();
            self.spawn_watch(events, Duration::ZERO);
        }
    }

    /// Waits until the first response of discovery is applied, even if it contains no change. Returns at once
    /// if a response was applied since the start.
    pub async fn wait_for_first_response(&self) {
        self.applier.wait_for_first_response().await;
    }

    /// Starts one fetch of the full list. If the fetch fails and discovery has not moved meanwhile, the
    /// failure is logged and the decision engine is notified with [`EndpointUpdateKind::WatchLost`].
    pub fn fetch(self: &Rc<Self>, events: Rc<dyn EventSink>) {
        let discovery = self.clone();
        let move_count = self.applier.move_count();
        spawn_local(async move {
            let Err(error) = discovery.fetch_once(&events, move_count).await else { return };
            if discovery.applier.move_count() != move_count {
                return;
            }
            discovery.log_failure(&error, "the watch continues");
            // The decision engine has no kind of update of its own for a failed fetch. The watch itself is
            // not affected.
            let kind = EndpointUpdateKind::WatchLost;
            events.send(Event::EndpointsUpdated { kind, entries: Vec::new() });
        });
    }

    /// Fetches the full list and applies it, unless discovery has moved since the count of moves was
    /// `move_count` or the watch has applied a newer list meanwhile. After a move the watch requests the full
    /// list of the new address in any case.
    async fn fetch_once(&self, events: &Rc<dyn EventSink>, move_count: u64) -> Result<(), CallError> {
        let call = ListCall::FullList;
        let began_at = Instant::now();
        let received = self.client.call(&mut None, call, FETCH_TIMEOUT).await?;
        // The number of moves is compared instead of the address, which may be the same again after two
        // moves.
        let is_outdated =
            self.applier.move_count() != move_count || Some(received.list.version) < self.applier.version();
        if !is_outdated {
            let applied = self.apply(events, received, EndpointUpdateKind::Snapshot).await;
            applied.map_err(|source| CallError { call, elapsed: began_at.elapsed(), source })?;
        }
        Ok(())
    }

    fn spawn_watch(self: &Rc<Self>, events: &Rc<dyn EventSink>, delay: Duration) {
        let discovery = self.clone();
        let events = events.clone();
        let task = spawn_local(async move {
            sleep(delay).await;
            discovery.watch(&events).await;
        });
        if let Some(old) = self.watch_task.replace(Some(task.abort_handle())) {
            old.abort();
        }
    }

    /// Calls discovery repeatedly, with a pause after each failure. Of consecutive failures only the first is
    /// logged, and their count with the success that ends them.
    async fn watch(&self, events: &Rc<dyn EventSink>) {
        let mut connection = None;
        let mut failures = 0_u64;
        loop {
            let began_at = Instant::now();
            match self.call_once(&mut connection, events).await {
                Ok(result) => {
                    if failures > 0 {
                        self.log_recovery(failures, began_at.elapsed());
                    }
                    failures = 0;
                    self.schedule.borrow_mut().reset();
                    if result == WatchResult::Unchanged && began_at.elapsed() < MIN_WATCH_INTERVAL {
                        sleep(MIN_WATCH_INTERVAL).await;
                    }
                }
                Err(error) => {
                    if failures == 0 {
                        self.log_failure(&error, "retrying");
                    }
                    failures += 1;
                    connection = None;
                    let pause = self.pause_after_failure(began_at.elapsed());
                    sleep(pause).await;
                }
            }
        }
    }

    fn pause_after_failure(&self, call_time: Duration) -> Duration {
        let mut schedule = self.schedule.borrow_mut();
        match self.applier.version() {
            Some(_) => schedule.pause_after_failure(call_time),
            None => schedule.pause_before_first_list(),
        }
    }

    /// Makes one call: a long poll for changes since the version applied last, or a request for the full list
    /// if no version is known.
    async fn call_once(
        &self,
        connection: &mut Option<HttpConnection>,
        events: &Rc<dyn EventSink>,
    ) -> Result<WatchResult, CallError> {
        let began_at = Instant::now();
        let (call, timeout) = match self.applier.version() {
            Some(version) => (ListCall::ChangesSince(version), WATCH_TIMEOUT),
            None => (ListCall::FullList, FIRST_CALL_TIMEOUT),
        };
        let received = self.client.call(connection, call, timeout).await?;
        let result = self.apply_response(events, received).await;
        result.map_err(|source| CallError { call, elapsed: began_at.elapsed(), source })
    }

    /// Applies the list in the response to a call of the watch, if it is new.
    async fn apply_response(
        &self,
        events: &Rc<dyn EventSink>,
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
        let has_no_change = kind == EndpointUpdateKind::Delta && list.is_empty();
        // A fetch may have applied a newer list meanwhile, and an older delta would undo its changes.
        let is_outdated = kind == EndpointUpdateKind::Delta && Some(version) < known_version;
        if !has_no_change && !is_outdated {
            let outcome = self.apply(events, received, kind).await?;
            if outcome == ApplyOutcome::Applied {
                return Ok(WatchResult::Updated);
            }
        }
        // The response brought nothing to apply. The next call asks for changes since its version, or since
        // the known one if that is newer.
        self.applier.record_version(version);
        Ok(WatchResult::Unchanged)
    }

    async fn apply(
        &self,
        events: &Rc<dyn EventSink>,
        received: ReceivedList,
        kind: EndpointUpdateKind,
    ) -> Result<ApplyOutcome, DiscoveryError> {
        self.applier.apply(events, received, kind).await.map_err(DiscoveryError::Worker)
    }

    fn log_failure(&self, error: &CallError, consequence: &str) {
        let address = self.client.address.get();
        eprintln!("edge-node: discovery at {address}: {}; {consequence}", ErrorChain(error));
    }

    fn log_recovery(&self, failures: u64, response_time: Duration) {
        let address = self.client.address.get();
        let milliseconds = response_time.as_millis();
        eprintln!(
            "edge-node: discovery at {address}: response after {milliseconds} ms, {failures} calls failed"
        );
    }
}
