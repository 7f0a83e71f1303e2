//! A fake discovery service. It publishes the changes that a test makes to the endpoint list, and responds to
//! fetches and watches by itself.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::endpoint::{FakeEndpoint, ReceivedRequest};
use super::http::{ok_response, read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// How long the service holds a watch before it answers it without a change.
const WATCH_HOLD_TIME: Duration = Duration::from_secs(5);

/// A change of one entry of the endpoint list, and the version that it results in.
struct Change {
    version: u64,
    entry: Value,
}

/// The endpoint list, and what the fake service has received.
#[derive(Default)]
struct ListState {
    version: u64,
    changes: Vec<Change>,
    /// Versions from which a watch has been received.
    watched_versions: Vec<u64>,
    connections: Vec<TcpStream>,
    /// Whether watches are received but not answered.
    silent: bool,
    /// Entries with which a fetch of the full list is answered. If this is `None`, a fetch is never answered.
    snapshot: Option<Vec<Value>>,
}

#[derive(Default)]
struct SharedState {
    list: Mutex<ListState>,
    /// Signalled when a change is published or a watch is received.
    changed: Condvar,
}

/// A fake discovery service.
pub struct FakeDiscovery {
    /// Address on which the service listens.
    pub address: SocketAddr,
    state: Arc<SharedState>,
}

impl FakeDiscovery {
    /// Starts a service whose list has version 1. It never answers a fetch of the full list, so nodes use the
    /// list of their configuration.
    pub fn start() -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to get the listener's address");
        let state = Arc::<SharedState>::default();
        state.list.lock().expect("the lock is poisoned").version = 1;
        let shared = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let clone = stream.try_clone().expect("failed to clone the connection");
                shared.list.lock().expect("the lock is poisoned").connections.push(clone);
                let shared = shared.clone();
                spawn(move || serve(stream, &shared));
            }
        });
        FakeDiscovery { address, state }
    }

    /// Starts a service that answers a fetch of the full list with these entries, and whose list has this
    /// version.
    pub fn with_snapshot(version: u64, entries: &[Value]) -> FakeDiscovery {
        let discovery = FakeDiscovery::start();
        let mut list = discovery.state.list.lock().expect("the lock is poisoned");
        list.version = version;
        list.snapshot = Some(entries.to_vec());
        drop(list);
        discovery
    }

    /// Publishes a change of one entry and waits until the node has applied it. The node has applied the
    /// change when it watches from the new version.
    pub fn publish(&self, entry: Value) {
        let mut list = self.state.list.lock().expect("the lock is poisoned");
        list.version += 1;
        let version = list.version;
        list.changes.push(Change { version, entry });
        drop(list);
        self.state.changed.notify_all();
        self.wait_for_watch_from(version);
    }

    /// Waits until the node has sent a watch from `version`.
    pub fn wait_for_watch_from(&self, version: u64) {
        self.wait_until(&format!("the node sent no watch from version {version} in time"), |list| {
            list.watched_versions.contains(&version)
        });
    }

    /// Waits until the node has sent a watch from any version.
    pub fn wait_for_watch(&self) {
        self.wait_until("the node sent no watch in time", |list| !list.watched_versions.is_empty());
    }

    /// Sets whether watches are received but not answered. This applies to watches that arrive from now on.
    pub fn set_silent(&self, silent: bool) {
        self.state.list.lock().expect("the lock is poisoned").silent = silent;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for connection in self.state.list.lock().expect("the lock is poisoned").connections.drain(..) {
            // The node may have closed the connection already.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// Waits until the list meets `is_reached`. Panics with the message `failure` if it does not within
    /// [`TEST_TIMEOUT`].
    fn wait_until(&self, failure: &str, is_reached: impl Fn(&ListState) -> bool) {
        let list = self.state.list.lock().expect("the lock is poisoned");
        let waited = self.state.changed.wait_timeout_while(list, TEST_TIMEOUT, |list| !is_reached(list));
        let (_list, result) = waited.expect("the lock is poisoned");
        assert!(!result.timed_out(), "{failure}");
    }
}

/// Answers the fetches and watches of one connection until it ends.
fn serve(mut stream: TcpStream, state: &SharedState) {
    let mut reader = BufReader::new(stream.try_clone().expect("failed to clone the connection"));
    while let Some(message) = read_message(&mut reader) {
        let response = match watched_version(&message) {
            Some(version) => watch_response(state, version),
            None => snapshot_response(state),
        };
        let Some(body) = response else { continue };
        if stream.write_all(ok_response(&body).as_bytes()).is_err() {
            return;
        }
    }
}

/// Waits for the next watch at a fake endpoint that takes the place of discovery, and returns it. Fetches of
/// the full list that arrive before the watch get no response. Panics if no watch arrives within
/// [`TEST_TIMEOUT`].
pub fn next_watch(discovery: &FakeEndpoint) -> ReceivedRequest {
    let until = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < until {
        let call = discovery.next_request();
        if watched_version(&call.message).is_some() {
            return call;
        }
    }
    panic!("only requests for the full list arrived at the fake discovery, and no watch in time");
}

/// Returns the version from which a call watches. Returns `None` if the call fetches the full list.
pub fn watched_version(call: &HttpMessage) -> Option<u64> {
    let (_, after) = call.start_line.split_once("after=")?;
    let version = after.split('&').next().and_then(|digits| digits.parse().ok());
    Some(version.expect("the watch has no valid version"))
}

/// Returns the body of the response to a fetch of the full list. Returns `None` if fetches are not answered.
fn snapshot_response(state: &SharedState) -> Option<String> {
    let list = state.list.lock().expect("the lock is poisoned");
    let entries = list.snapshot.as_ref()?;
    Some(json!({"index": list.version, "snapshot": true, "endpoints": entries}).to_string())
}

/// Waits for a change after `version`, at most for [`WATCH_HOLD_TIME`], and returns the body of the response
/// to the watch. Returns `None` if watches are not answered.
fn watch_response(state: &SharedState, version: u64) -> Option<String> {
    let mut list = state.list.lock().expect("the lock is poisoned");
    list.watched_versions.push(version);
    state.changed.notify_all();
    if list.silent {
        return None;
    }
    let waited = state.changed.wait_timeout_while(list, WATCH_HOLD_TIME, |list| list.version <= version);
    let (list, _) = waited.expect("the lock is poisoned");
    let newer = list.changes.iter().filter(|change| change.version > version);
    let entries: Vec<&Value> = newer.map(|change| &change.entry).collect();
    Some(json!({"index": list.version, "snapshot": false, "endpoints": entries}).to_string())
}
