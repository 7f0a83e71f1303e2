//! A node within the test process, and an agent that the test answers for.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::sync::{Arc, Weak};
use std::thread::JoinHandle;
use std::time::Instant;

use bytes::Bytes;
use edge_node::decision::{DecisionEngine, Outcome, Settings};
use edge_node::net::counter::CounterClient;
use edge_node::net::descriptor_budget::DescriptorBudget;
use edge_node::net::discovery::directory::EndpointDirectory;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::parser::EndpointList;
use edge_node::net::discovery::{Discovery, WatchSchedule};
use edge_node::net::event_loop::EventLoop;
use edge_node::net::event_sink::EventSink;
use edge_node::net::upstream::{ForwardedRequest, Upstreams};
use edge_node::protocol::settings::SettingsDocument;
use hyper::header::HeaderValue;
use hyper::{Method, Uri};
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::{spawn_local, yield_now};

use crate::fakes::{node_settings, FakeEndpoint, ReceivedRequest, TEST_TIMEOUT};
use crate::lists::{id, labels, name};

/// Turns of the runtime in which what was sent on a loopback connection has been read.
const TURNS: usize = 20;
/// How long an attempt may take, in microseconds.
const ATTEMPT_TIME: u64 = 20_000_000;

/// A node in this process that knows nothing yet.
pub struct Node {
    /// Its event loop.
    pub event_loop: Rc<EventLoop>,
    /// Its client of discovery.
    pub discovery: Rc<Discovery>,
    /// Where discovery sends its events: the event loop.
    pub events: Rc<dyn EventSink>,
}

impl Node {
    /// A node that calls this agent once it is started.
    pub fn new(agent: &FakeEndpoint) -> Node {
        let document: SettingsDocument = serde_json::from_value(node_settings()).expect("settings");
        let settings = Settings::from(document);
        let schedule = WatchSchedule::new(1, settings.node_count, false);
        let upstreams = Upstreams::new(DescriptorBudget::new(64), 250_000, 10_000_000);
        let discovery = Discovery::new(agent.address, upstreams.clone(), labels(), schedule);
        let counter = CounterClient::new(None, settings.counter.timeout);
        let engine = DecisionEngine::new(1, settings);
        let event_loop = EventLoop::new(engine, 4, upstreams, counter, discovery.clone());
        Node { events: event_loop.clone(), event_loop, discovery }
    }

    /// A node that watches at this agent.
    pub fn started(agent: &FakeEndpoint) -> Node {
        let node = Node::new(agent);
        node.discovery.start(&node.events, EndpointList::default());
        node
    }

    /// Its connections to endpoints and the endpoints that it knows.
    pub fn upstreams(&self) -> &Upstreams {
        &self.event_loop.upstreams
    }

    /// The endpoints that it knows.
    pub fn endpoints(&self) -> Arc<Endpoints> {
        self.upstreams().endpoints()
    }

    /// Whether it knows the endpoint of this number.
    pub fn knows(&self, number: usize) -> bool {
        self.endpoints().find(&name(number)).is_some()
    }

    /// Whether a list was published in part.
    pub fn is_publishing(&self) -> bool {
        self.upstreams().is_replacing_endpoints()
    }

    /// Responds to watches from this version with this list until a part of it was published.
    pub async fn publish_first_part(&self, agent: &FakeEndpoint, version: u64, list: &str) {
        until(|| {
            if let Some(call) = watch_from(agent, version) {
                send(call, list.to_string());
            }
            self.is_publishing().then_some(())
        })
        .await;
    }

    /// Goes on until all parts were published; returns in how many turns.
    pub async fn publish_the_rest(&self) -> usize {
        let mut turns = 0;
        until(|| {
            turns += 1;
            (!self.is_publishing()).then_some(turns)
        })
        .await
    }

    /// The outcomes of attempts at the endpoints of these numbers. Each of the fake endpoints receives and answers the
    /// given number of them.
    pub async fn attempts(&self, numbers: &[usize], served: &[(&FakeEndpoint, usize)]) -> Vec<Outcome> {
        let mut attempts = Vec::new();
        for &number in numbers {
            attempts.push(spawn_local(attempt(self.event_loop.clone(), number)));
        }
        some_turns().await;
        for &(endpoint, count) in served {
            for _ in 0..count {
                endpoint.next_request().respond_ok("ok");
            }
        }
        let mut outcomes = Vec::new();
        for attempt in attempts {
            outcomes.push(attempt.await.expect("no panic"));
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

/// Runs a test on a runtime like the edge node's.
pub fn on_one_thread(test: impl Future<Output = ()>) {
    let mut builder = Builder::new_current_thread();
    let runtime = builder.enable_all().build_local(LocalOptions::default()).expect("a runtime");
    runtime.block_on(test);
}

/// Lets the node's tasks run until this returns something.
pub async fn until<T>(mut check: impl FnMut() -> Option<T>) -> T {
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        if let Some(found) = check() {
            return found;
        }
        assert!(Instant::now() < deadline, "not in time");
        yield_now().await;
    }
}

/// Lets the node's tasks run for some turns of the runtime.
pub async fn some_turns() {
    for _ in 0..TURNS {
        yield_now().await;
    }
}

/// Whether a call watches from this version.
pub fn is_watch_from(call: &ReceivedRequest, version: u64) -> bool {
    call.message.first.contains(&format!("after={version}&"))
}

/// Whether a call fetches the full list.
pub fn is_fetch(call: &ReceivedRequest) -> bool {
    !call.message.first.contains("after=")
}

/// The next watch from this version, if it has arrived by now.
pub fn watch_from(agent: &FakeEndpoint, version: u64) -> Option<ReceivedRequest> {
    agent.poll_request().filter(|call| is_watch_from(call, version))
}

/// The next call, which the node may still have to make. Its reader's thread is waited for while no part is published.
pub async fn next_call(agent: &FakeEndpoint) -> ReceivedRequest {
    for _ in 0..TURNS {
        if let Some(call) = agent.poll_request() {
            return call;
        }
        yield_now().await;
    }
    agent.next_request()
}

/// Sends a response on a thread of its own: a long one does not fit into a socket.
pub fn send(call: ReceivedRequest, response: String) -> JoinHandle<()> {
    std::thread::spawn(move || call.send_raw(response.as_bytes()))
}

/// Waits until the endpoints are held by another thread, too: then a list is being prepared beside them.
pub async fn until_preparing(endpoints: &Weak<Endpoints>) {
    until(|| (endpoints.strong_count() > 1).then_some(())).await;
}

/// Waits until no list is being prepared beside the endpoints any more.
pub async fn until_prepared(endpoints: &Weak<Endpoints>) {
    until(|| (endpoints.strong_count() <= 1).then_some(())).await;
}
