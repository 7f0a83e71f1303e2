//! A fake of discovery that publishes the changes of a test and responds to watches by itself.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::spawn;
use std::time::Duration;

use serde_json::{json, Value};

use super::endpoint::{FakeEndpoint, ReceivedRequest};
use super::http::{ok_response, read_message, HttpMessage};
use super::TEST_TIMEOUT;

/// A watch without a change is answered after this time.
const WATCH_TIME: Duration = Duration::from_secs(5);

struct Change {
    version: u64,
    entry: Value,
}

#[derive(Default)]
struct ListState {
    version: u64,
    changes: Vec<Change>,
    /// Versions from which a watch has been received.
    watched_versions: Vec<u64>,
    connections: Vec<TcpStream>,
    silent: bool,
    /// The response to a fetch of the full list; without one a fetch is never answered.
    snapshot: Option<Vec<Value>>,
}

#[derive(Default)]
struct SharedState {
    list: Mutex<ListState>,
    changed: Condvar,
}

/// Fake discovery.
pub struct FakeDiscovery {
    /// Where it listens.
    pub address: SocketAddr,
    state: Arc<SharedState>,
}

impl FakeDiscovery {
    /// Starts with version 1 and no snapshot: nodes start with the list of their configuration.
    pub fn start() -> FakeDiscovery {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let state = Arc::<SharedState>::default();
        state.list.lock().expect("no panic").version = 1;
        let shared = state.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let clone = stream.try_clone().expect("a clone");
                shared.list.lock().expect("no panic").connections.push(clone);
                let shared = shared.clone();
                spawn(move || serve(stream, &shared));
            }
        });
        FakeDiscovery { address, state }
    }

    /// Starts with a snapshot of this version.
    pub fn with_snapshot(version: u64, entries: &[Value]) -> FakeDiscovery {
        let discovery = FakeDiscovery::start();
        let mut list = discovery.state.list.lock().expect("no panic");
        list.version = version;
        list.snapshot = Some(entries.to_vec());
        drop(list);
        discovery
    }

    /// Publishes a change and waits until the node has applied it: until it watches from the new version.
    pub fn publish(&self, entry: Value) {
        let mut list = self.state.list.lock().expect("no panic");
        list.version += 1;
        let version = list.version;
        list.changes.push(Change { version, entry });
        drop(list);
        self.state.changed.notify_all();
        self.wait_for_watch_from(version);
    }

    /// Waits until the node has watched from this version.
    pub fn wait_for_watch_from(&self, version: u64) {
        self.wait_until(&format!("the node does not watch from {version}"), |list| {
            list.watched_versions.contains(&version)
        });
    }

    /// Waits until the node has watched at all.
    pub fn wait_for_watch(&self) {
        self.wait_until("the node does not watch", |list| !list.watched_versions.is_empty());
    }

    /// Sets whether watches are received and never answered.
    pub fn set_silent(&self, silent: bool) {
        self.state.list.lock().expect("no panic").silent = silent;
    }

    /// Closes all connections.
    pub fn close_connections(&self) {
        for connection in self.state.list.lock().expect("no panic").connections.drain(..) {
            // The node may have closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn wait_until(&self, failure: &str, is_reached: impl Fn(&ListState) -> bool) {
        let list = self.state.list.lock().expect("no panic");
        let waited = self.state.changed.wait_timeout_while(list, TEST_TIMEOUT, |list| !is_reached(list));
        let (_list, result) = waited.expect("no panic");
        assert!(!result.timed_out(), "{failure}");
    }
}

fn serve(mut stream: TcpStream, state: &SharedState) {
    let mut reader = BufReader::new(stream.try_clone().expect("a clone"));
    while let Some(message) = read_message(&mut reader) {
        let response = match watched_version(&message) {
            Some(version) => watch(state, version),
            None => snapshot(state),
        };
        let Some(body) = response else { continue };
        if stream.write_all(ok_response(&body).as_bytes()).is_err() {
            return;
        }
    }
}

/// The next watch at a fake endpoint in the place of discovery. Fetches of the full list that arrive before it get no
/// response.
pub fn next_watch(discovery: &FakeEndpoint) -> ReceivedRequest {
    loop {
        let call = discovery.next_request();
        if watched_version(&call.message).is_some() {
            return call;
        }
    }
}

/// The version that a call watches from; none if it fetches the full list.
pub fn watched_version(call: &HttpMessage) -> Option<u64> {
    let (_, after) = call.first.split_once("after=")?;
    let version = after.split('&').next().and_then(|digits| digits.parse().ok());
    Some(version.expect("a version"))
}

fn snapshot(state: &SharedState) -> Option<String> {
    let list = state.list.lock().expect("no panic");
    let entries = list.snapshot.as_ref()?;
    Some(json!({"index": list.version, "snapshot": true, "endpoints": entries}).to_string())
}

/// Waits for a change after this version; none if discovery is silent.
fn watch(state: &SharedState, version: u64) -> Option<String> {
    let mut list = state.list.lock().expect("no panic");
    list.watched_versions.push(version);
    state.changed.notify_all();
    if list.silent {
        return None;
    }
    let waited = state.changed.wait_timeout_while(list, WATCH_TIME, |list| list.version <= version);
    let (list, _) = waited.expect("no panic");
    let newer = list.changes.iter().filter(|change| change.version > version);
    let entries: Vec<&Value> = newer.map(|change| &change.entry).collect();
    Some(json!({"index": list.version, "snapshot": false, "endpoints": entries}).to_string())
}
