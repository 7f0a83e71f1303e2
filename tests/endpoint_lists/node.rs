//! Runs a node within the test process, and an agent whose responses are sent by the test.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::thread::JoinHandle;
use std::time::Instant;

use bytes::Bytes;
use edge_node::decision::{DecisionEngine, Outcome, Settings};
use edge_node::net::connection_memory::ConnectionMemory;
use edge_node::net::counter::CounterClient;
use edge_node::net::descriptor_budget::DescriptorBudget;
use edge_node::net::discovery::directory::EndpointDirectory;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::parser::EndpointList;
use edge_node::net::discovery::{Discovery, WatchSchedule};
use edge_node::net::event_loop::EventLoop;
use edge_node::net::event_sink::EventSink;
use edge_node::net::http_body::BodyMemory;
use edge_node::net::upstream::{ForwardedRequest, Upstreams};
use edge_node::protocol::settings::SettingsDocument;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::{spawn_local, yield_now};

use crate::fakes::{node_settings, FakeEndpoint, ReceivedRequest, TEST_TIMEOUT};
use crate::lists::{id, labels, name};

/// The number of yields to the runtime after which data sent on a loopback connection has been read.
const YIELD_COUNT: usize = 20;
/// The memory limit of the node, in bytes.
const MEMORY_LIMIT: usize = 192_000_000;
/// The time limit of an attempt, in microseconds.
const ATTEMPT_TIME: u64 = 20_000_000;

/// A node in the test process.
pub struct Node {
    /// The node's event loop.
    pub event_loop: Rc<EventLoop>,
    /// The node's client of discovery.
    pub discovery: Rc<Discovery>,
    /// The receiver of discovery's events, which is the event loop.
    pub events: Rc<dyn EventSink>,
}

impl Node {
    /// Creates a node that knows no endpoints. It calls this agent once its discovery is started.
    pub fn new(agent: &FakeEndpoint) -> Node {
        let document: SettingsDocument =
            serde_json::from_value(node_settings()).expect("settings document should be valid");
        let settings = Settings::from(document);
        let schedule = WatchSchedule::new(1, settings.node_count, false);
        let body_memory = Rc::new(BodyMemory::new(MEMORY_LIMIT));
        let connection_memory = ConnectionMemory::new(MEMORY_LIMIT);
        let upstreams =
            Upstreams::new(DescriptorBudget::new(64), connection_memory, body_memory, 250_000, 10_000_000);
        let discovery = Discovery::new(agent.address, upstreams.clone(), labels(), schedule);
        let counter = CounterClient::new(None, settings.counter.timeout, DescriptorBudget::new(64));
        let engine = DecisionEngine::new(1, settings);
        let event_loop = EventLoop::new(engine, 4, upstreams, counter, discovery.clone());
        Node { events: event_loop.clone(), event_loop, discovery }
    }

    /// Creates a node whose watch at this agent is started.
    pub fn started(agent: &FakeEndpoint) -> Node {
        let node = Node::new(agent);
        node.discovery.start(&node.events, EndpointList::default());
        node
    }

    /// Returns the node's connections to endpoints, together with the endpoints that it knows.
    pub fn upstreams(&self) -> &Upstreams {
        &self.event_loop.upstreams
    }

    /// Returns the endpoints that the node knows.
    pub fn endpoints(&self) -> Arc<Endpoints> {
        self.upstreams().endpoints()
    }

    /// Returns whether the node knows the endpoint of this number.
    pub fn knows(&self, number: usize) -> bool {
        self.endpoints().find(&name(number)).is_some()
    }

    /// Returns whether a list is published in part but not completely.
    pub fn is_publishing(&self) -> bool {
        self.upstreams().is_replacing_endpoints()
    }

    /// Responds to watches from this version with this list, until the first part of the list is published.
    pub async fn publish_first_part(&self, agent: &FakeEndpoint, version: u64, list: &str) {
        until(|| {
            if let Some(call) = watch_from(agent, version) {
                send(call, list.to_string());
            }
            self.is_publishing().then_some(())
        })
        .await;
    }

    /// Waits until all parts are published, and returns the number of checks, with one yield to the runtime
    /// between two of them.
    pub async fn publish_remaining_parts(&self) -> usize {
        let mut checks = 0;
        until(|| {
            checks += 1;
            (!self.is_publishing()).then_some(checks)
        })
        .await
    }

    /// Starts an attempt at each of the endpoints of these numbers and returns their outcomes. Each fake
    /// endpoint in `served` receives and answers the given number of requests.
    pub async fn attempts(&self, numbers: &[usize], served: &[(&FakeEndpoint, usize)]) -> Vec<Outcome> {
        let mut attempts = Vec::new();
        for &number in numbers {
            attempts.push(spawn_local(attempt(self.event_loop.clone(), number)));
        }
        yield_repeatedly().await;
        for &(endpoint, count) in served {
            for _ in 0..count {
                endpoint.next_request().respond_ok("ok");
            }
        }
        let mut outcomes = Vec::new();
        for attempt in attempts {
            outcomes.push(attempt.await.expect("attempt should not panic"));
        }
        outcomes
    }
}

async fn attempt(event_loop: Rc<EventLoop>, number: usize) -> Outcome {
    let request = ForwardedRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        request_id: HeaderValue::from_static("p"),
        idempotency_key: None,
        body: Bytes::new(),
    };
    let clock = &event_loop.clock;
    let ends_at = clock.now() + ATTEMPT_TIME;
    let maybe_written = Cell::new(false);
    let result = event_loop.upstreams.attempt(clock, id(number), &request, ends_at, &maybe_written).await;
    result.outcome
}

/// Runs a test on a single-threaded runtime like that of the edge node.
pub fn on_local_runtime(test: impl Future<Output = ()>) {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default()).expect("runtime should start");
    runtime.block_on(test);
}

/// Yields to the node's tasks until `check` returns a value, and returns that value.
pub async fn until<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < deadline, "condition not met within {TEST_TIMEOUT:?}");
        yield_now().await;
    }
}

/// Yields to the node's tasks [`YIELD_COUNT`] times.
pub async fn yield_repeatedly() {
    for _ in 0..YIELD_COUNT {
        yield_now().await;
    }
}

/// Returns whether a call is a watch from this version.
pub fn is_watch_from(call: &ReceivedRequest, version: u64) -> bool {
    call.message.start_line.contains(&format!("after={version}&"))
}

/// Returns whether a call requests the full list.
pub fn is_fetch(call: &ReceivedRequest) -> bool {
    !call.message.start_line.contains("after=")
}

/// Returns the agent's next call if it has arrived and is a watch from this version.
pub fn watch_from(agent: &FakeEndpoint, version: u64) -> Option<ReceivedRequest> {
    agent.poll_request().filter(|call| is_watch_from(call, version))
}

/// Returns the agent's next call, which the node may not have sent yet. Waiting for the agent's reader thread
/// blocks the node, so no further part of a list is published meanwhile.
pub async fn next_call(agent: &FakeEndpoint) -> ReceivedRequest {
    for _ in 0..YIELD_COUNT {
        if let Some(call) = agent.poll_request() {
            return call;
        }
        yield_now().await;
    }
    agent.next_request()
}

/// Sends a response on another thread, because a long one does not fit into the socket's buffer.
pub fn send(call: ReceivedRequest, response: String) -> JoinHandle<()> {
    std::thread::spawn(move || call.send_raw(response.as_bytes()))
}

/// Waits until a list is being prepared against these endpoints, which shows in a second reference to them.
pub async fn until_preparing(endpoints: &Weak<Endpoints>) {
    until(|| (endpoints.strong_count() > 1).then_some(())).await;
}

/// Waits until no list is being prepared against these endpoints any more.
pub async fn until_prepared(endpoints: &Weak<Endpoints>) {
    until(|| (endpoints.strong_count() <= 1).then_some(())).await;
}
