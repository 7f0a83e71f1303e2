//! The downstream side of a node that runs in the test's process, so that a test decides what happens before the
//! runtime runs again.

use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;

use edge_node::decision::{DecisionEngine, Settings};
use edge_node::net::connection_memory::ConnectionMemory;
use edge_node::net::counter::CounterClient;
use edge_node::net::descriptor_budget::DescriptorBudget;
use edge_node::net::discovery::labels::PlacementLabels;
use edge_node::net::discovery::{Discovery, WatchSchedule};
use edge_node::net::downstream::{DownstreamServer, RequestRules};
use edge_node::net::event_loop::EventLoop;
use edge_node::net::http_body::BodyMemory;
use edge_node::net::upstream::Upstreams;
use edge_node::protocol::settings::SettingsDocument;
use tokio::net::TcpListener;
use tokio::runtime::{Builder, LocalOptions};
use tokio::task::{spawn_blocking, spawn_local};

use super::{node_settings, unreachable_address, Client, HttpMessage};

/// The memory limit of the node, in bytes.
const MEMORY_LIMIT: usize = 192_000_000;
/// A request that the node answers itself.
pub const READINESS_CHECK: &str = "GET /up HTTP/1.1\r\nHost: n0\r\n\r\n";

/// The downstream side of a node without endpoints, and its address.
pub struct Server {
    pub downstream: Rc<DownstreamServer>,
    pub address: SocketAddr,
}

impl Server {
    /// Starts the server on a free loopback port.
    pub async fn start() -> Server {
        let document: SettingsDocument =
            serde_json::from_value(node_settings()).expect("the test settings should be valid");
        let rules = RequestRules::new(&document);
        let settings = Settings::from(document);
        let budget = DescriptorBudget::new(64);
        let body_memory = Rc::new(BodyMemory::new(MEMORY_LIMIT));
        let connection_memory = ConnectionMemory::new(MEMORY_LIMIT);
        let upstreams = Upstreams::new(
            budget.clone(),
            connection_memory.clone(),
            body_memory.clone(),
            250_000,
            10_000_000,
        );
        let labels = PlacementLabels::new(Vec::new(), Vec::new());
        let schedule = WatchSchedule::new(1, settings.node_count, false);
        let discovery = Discovery::new(unreachable_address(), upstreams.clone(), labels, schedule);
        let counter = CounterClient::new(None, settings.counter.timeout, budget.clone());
        let event_loop =
            EventLoop::new(DecisionEngine::new(1, settings), 4, upstreams, counter, discovery.clone());
        let downstream = DownstreamServer::new(event_loop, rules, budget, connection_memory, body_memory);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a loopback port should be bound");
        let address = listener.local_addr().expect("the listener should have a local address");
        spawn_local(downstream.clone().accept(listener, async {}));
        Server { downstream, address }
    }

    /// Returns a client whose connection has served one request and is idle.
    pub async fn idle_client(&self) -> Client {
        let address = self.address;
        let mut client = spawn_blocking(move || Client::connect(address))
            .await
            .expect("the connecting thread should not panic");
        client.send_raw(READINESS_CHECK);
        let (client, response) = response_of(client).await;
        assert_eq!(response.expect("the readiness check should be answered").status(), 200);
        client
    }
}

/// Waits for the client's next response, or the end of its connection, on another thread, while the node runs
/// on this one.
pub async fn response_of(mut client: Client) -> (Client, Option<HttpMessage>) {
    let waiting = spawn_blocking(move || {
        let response = client.response_or_end();
        (client, response)
    });
    waiting.await.expect("the thread that waits for the response should not panic")
}

/// Runs a test on a runtime like that of the node.
pub fn run(test: impl Future<Output = ()>) {
    let mut builder = Builder::new_current_thread();
    let runtime =
        builder.enable_all().build_local(LocalOptions::default()).expect("the runtime should start");
    runtime.block_on(test);
}
