//! Former names of the fakes, for the test files that still use them.

use std::net::{SocketAddr, TcpListener};
use std::process::ExitStatus;
use std::time::Duration;

use serde_json::Value;

use super::client::{request, Client, RequestSpec};
use super::configuration::{endpoint_entry, node_settings, NodeConfiguration};
use super::counter::{CounterCall, FakeCounter};
use super::discovery::FakeDiscovery;
use super::edge_process::EdgeProcess;
use super::endpoint::{next_request_at_any, FakeEndpoint, ReceivedRequest};
use super::http::HttpMessage;
use super::unused_ports::{unreachable_address, ReservedPort};

pub type App = FakeEndpoint;
pub type Ask = RequestSpec;
pub type Counts = FakeCounter;
pub type Down = ReservedPort;
pub type Edge = EdgeProcess;
pub type Lists = FakeDiscovery;
pub type Seen = ReceivedRequest;

pub const PATIENCE: Duration = super::TEST_TIMEOUT;

pub fn ask(class: &'static str, id: &str) -> RequestSpec {
    request(class, id)
}

pub fn config(entries: &[Value]) -> Value {
    NodeConfiguration::new(entries).into_value()
}

pub fn entry(name: &str, address: SocketAddr, zone: &str, status: &str) -> Value {
    endpoint_entry(name, address, zone, status)
}

pub fn next_of(endpoints: &[&FakeEndpoint]) -> (usize, ReceivedRequest) {
    let received = next_request_at_any(endpoints);
    (received.endpoint, received.request)
}

pub fn nobody() -> SocketAddr {
    unreachable_address()
}

pub fn settings() -> Value {
    node_settings()
}

impl HttpMessage {
    pub fn refused(&self) -> bool {
        self.is_rejected()
    }
}

impl ReceivedRequest {
    pub fn id(&self) -> &str {
        self.request_id()
    }

    pub fn line(&self) -> SocketAddr {
        self.node_address()
    }

    pub fn begin(&mut self, body: &str) {
        self.send_half_response(body);
    }

    pub fn say(&mut self, status: &str, body: &str) {
        self.send_response(status, body);
    }

    pub fn answer(self, status: &str, headers: &str, body: &str) {
        self.respond(status, headers, body);
    }

    pub fn raw(self, bytes: &[u8]) {
        self.send_raw_and_close(bytes);
    }

    pub fn spoil(self, bytes: &[u8]) {
        self.send_raw(bytes);
    }
}

impl FakeEndpoint {
    pub fn new() -> Self {
        Self::start()
    }

    pub fn on(listener: TcpListener) -> Self {
        Self::with_listener(listener)
    }

    pub fn next(&self) -> ReceivedRequest {
        self.next_request()
    }

    pub fn poll_once(&self) -> Option<ReceivedRequest> {
        self.poll_request()
    }

    pub fn reset(&self, request: ReceivedRequest, bytes: &[u8]) {
        self.send_raw_and_reset(request, bytes);
    }

    pub fn ended(&self) {
        self.assert_connection_ended();
    }

    pub fn no_request(&self) {
        self.assert_no_request();
    }

    pub fn no_request_to_the_end(self) {
        self.assert_no_request_until_node_ended();
    }
}

impl ReservedPort {
    pub fn comes_back(self) -> TcpListener {
        self.listen()
    }
}

impl FakeDiscovery {
    pub fn new() -> Self {
        Self::start()
    }

    pub fn push(&self, entry: Value) {
        self.publish(entry);
    }

    pub fn watched(&self) {
        self.wait_for_watch();
    }
}

impl CounterCall {
    pub fn line(&self) -> SocketAddr {
        self.node_address()
    }

    pub fn total(&mut self, total: f64) {
        self.reply_total(total);
    }

    pub fn raw(&mut self, text: &str) {
        self.send_raw(text);
    }
}

impl FakeCounter {
    pub fn new() -> Self {
        Self::start()
    }

    pub fn on(listener: TcpListener) -> Self {
        Self::with_listener(listener)
    }

    pub fn poll(&self) -> Option<CounterCall> {
        self.poll_call()
    }

    pub fn next(&self) -> CounterCall {
        self.next_call()
    }
}

impl EdgeProcess {
    pub fn new(configuration: &Value) -> Self {
        Self::start(&configuration.to_string())
    }

    pub fn client(&self) -> Client {
        self.connect()
    }

    pub fn clients_that_have_sent<const COUNT: usize>(
        &self,
        texts: [impl AsRef<str>; COUNT],
    ) -> [Client; COUNT] {
        self.connect_having_sent(texts)
    }

    pub fn says(&mut self) -> String {
        self.next_log_line()
    }

    pub fn end(self) -> (ExitStatus, String) {
        let end = self.wait_for_end();
        (end.status, end.log)
    }
}

impl Client {
    pub fn raw(&mut self, text: &str) {
        self.send_raw(text);
    }

    pub fn ask(&mut self, request: &RequestSpec) {
        self.send(request);
    }

    pub fn half_close(&mut self) {
        self.close_write_half();
    }

    pub fn rest(self) -> String {
        self.read_to_end()
    }

    pub fn ends_in_order(&mut self) -> bool {
        self.is_closed_cleanly()
    }

    pub fn has_answer(&mut self) -> bool {
        self.has_response()
    }

    pub fn answer(&mut self) -> HttpMessage {
        self.response()
    }

    pub fn try_answer(&mut self) -> Option<HttpMessage> {
        self.response_or_end()
    }
}
