//! A node's client of discovery: runs the watch, moves it to another address and fetches the full list on
//! request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::task::{spawn_local, AbortHandle};
use tokio::time::sleep;

use crate::decision::{EndpointUpdateKind, Event};
use crate::net::discovery::apply::ListApplier;
use crate::net::discovery::directory::EndpointDirectory;
use crate::net::discovery::error::{CallError, DiscoveryError};
use crate::net::discovery::failure_log::log_failure;
use crate::net::discovery::labels::PlacementLabels;
use crate::net::discovery::list_call::ListCall;
use crate::net::discovery::list_client::{CallProgress, ListClient, ListResponse, ParsedResponse};
use crate::net::discovery::parser::EndpointList;
use crate::net::discovery::schedule::WatchSchedule;
use crate::net::discovery::watch::Watch;
use crate::net::event_sink::EventSink;

/// A node's client of discovery.
pub struct Discovery {
    client: Rc<ListClient>,
    applier: Rc<ListApplier>,
    watch_task: RefCell<Option<AbortHandle>>,
    schedule: Rc<RefCell<WatchSchedule>>,
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
            client: Rc::new(ListClient::new(address)),
            applier: ListApplier::new(directory, labels),
            watch_task: RefCell::default(),
            schedule: Rc::new(RefCell::new(schedule)),
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
            log_failure(discovery.client.address.get(), &error, "the watch continues");
            // The decision engine has no kind of update of its own for a failed fetch. The watch itself is
            // not affected.
            let kind = EndpointUpdateKind::WatchLost;
            events.send(Event::EndpointsUpdated { kind, entries: Vec::new() });
        });
    }

    async fn fetch_once(&self, events: &Rc<dyn EventSink>, move_count: u64) -> Result<(), CallError> {
        let progress = CallProgress::new(ListCall::FullList);
        let response = self.client.call(None, &progress, progress.call.time_limit()).await?;
        let applied = self.apply_fetched(events, response, move_count).await;
        applied.map_err(|source| progress.error(source))
    }

    /// Applies a full list, unless discovery has moved since the count of moves was `move_count` or the watch
    /// has applied a newer list meanwhile. After a move the watch requests the full list of the new address
    /// in any case.
    async fn apply_fetched(
        &self,
        events: &Rc<dyn EventSink>,
        response: ListResponse,
        move_count: u64,
    ) -> Result<(), DiscoveryError> {
        let ParsedResponse { received, connection: _connection } = response.parse().await?;
        // The number of moves is compared instead of the address, which may be the same again after two
        // moves.
        let is_outdated =
            self.applier.move_count() != move_count || Some(received.list.version) < self.applier.version();
        if !is_outdated {
            let applied = self.applier.apply(events, received, EndpointUpdateKind::Snapshot).await;
            applied.map_err(DiscoveryError::Worker)?;
        }
        Ok(())
    }

    fn spawn_watch(&self, events: &Rc<dyn EventSink>, delay: Duration) {
        let (client, applier, schedule) = (self.client.clone(), self.applier.clone(), self.schedule.clone());
        let watch = Watch::new(client, applier, schedule, events.clone());
        let task = spawn_local(async move {
            sleep(delay).await;
            watch.run().await;
        });
        if let Some(old) = self.watch_task.replace(Some(task.abort_handle())) {
            old.abort();
        }
    }
}
