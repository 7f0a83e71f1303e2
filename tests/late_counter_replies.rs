//! Tests of the order in which calls are reported whose replies may arrive on a replaced connection. The
//! decision engine matches late replies to its calls by their key, the oldest call first.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use edge_node::decision::{CounterKey, Event, Outcome};
use edge_node::net::counter::late_replies::LateReplies;
use edge_node::net::counter::result_sink::ResultSink;
use edge_node::net::event_sink::EventSink;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// How long a test waits for the end of a connection.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const FIRST_KEY: CounterKey = CounterKey(1);
const OTHER_KEY: CounterKey = CounterKey(2);

/// A late reply as reported to the decision engine.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Report {
    key: CounterKey,
    outcome: Outcome,
    total: f64,
}

#[derive(Default)]
struct RecordedReports(RefCell<Vec<Report>>);

impl EventSink for RecordedReports {
    fn send(&self, event: Event) {
        let Event::LateCounterReply { key, outcome, total } = event else {
            panic!("expected a late reply, got {event:?}");
        };
        self.0.borrow_mut().push(Report { key, outcome, total });
    }
}

/// A replaced connection, the calls that were sent on it and what is reported of them.
struct ReplacedConnection {
    calls: LateReplies,
    results: ResultSink,
    reports: Rc<RecordedReports>,
}

impl ReplacedConnection {
    fn with_calls(keys: impl IntoIterator<Item = CounterKey>) -> Self {
        let reports = Rc::<RecordedReports>::default();
        let results = ResultSink { events: reports.clone(), open_calls: Rc::default() };
        ReplacedConnection { calls: LateReplies::new(keys), results, reports }
    }

    /// Reads this text and then the end of the connection.
    async fn read(&self, text: &str) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a loopback port");
        let address = listener.local_addr().expect("failed to get the listener's address");
        let stream = TcpStream::connect(address).await.expect("failed to connect");
        let (mut service, _) = listener.accept().await.expect("failed to accept the connection");
        service.write_all(text.as_bytes()).await.expect("failed to write the replies");
        drop(service);
        let read = self.calls.read(stream, BytesMut::new(), &self.results);
        timeout(TEST_TIMEOUT, read).await.expect("the end of the connection was not noticed in time");
    }

    fn assert_reports(&self, expected: &[(CounterKey, Outcome, f64)]) {
        let expected: Vec<Report> =
            expected.iter().map(|&(key, outcome, total)| Report { key, outcome, total }).collect();
        assert_eq!(*self.reports.0.borrow(), expected);
    }
}

#[tokio::test]
async fn replies_are_reported_in_order_and_calls_without_one_as_reset() {
    let connection = ReplacedConnection::with_calls([FIRST_KEY, OTHER_KEY, FIRST_KEY]);
    connection.read("$1\r\n4\r\n-BUSY\r\n").await;
    connection.assert_reports(&[
        (FIRST_KEY, Outcome::Ok, 4.0),
        (OTHER_KEY, Outcome::Rejected, 0.0),
        (FIRST_KEY, Outcome::Reset, 0.0),
    ]);
}

/// Guards against an old total that is reported after a newer one for the same key.
#[tokio::test]
async fn reply_to_a_superseded_call_is_not_reported_and_keeps_its_place() {
    let connection = ReplacedConnection::with_calls([FIRST_KEY, OTHER_KEY]);
    connection.calls.supersede(FIRST_KEY, &connection.results);
    connection.assert_reports(&[(FIRST_KEY, Outcome::Reset, 0.0)]);
    connection.read("$1\r\n4\r\n$1\r\n9\r\n").await;
    connection.assert_reports(&[(FIRST_KEY, Outcome::Reset, 0.0), (OTHER_KEY, Outcome::Ok, 9.0)]);
}

/// Guards against a late reply that is matched to a later call of its key, because that was reported first.
#[tokio::test]
async fn call_that_was_lost_on_a_later_connection_is_reported_after_the_earlier_calls() {
    let connection = ReplacedConnection::with_calls([FIRST_KEY, OTHER_KEY]);
    connection.calls.add_lost(FIRST_KEY);
    connection.assert_reports(&[]);
    connection.read("$1\r\n4\r\n$1\r\n9\r\n").await;
    connection.assert_reports(&[
        (FIRST_KEY, Outcome::Ok, 4.0),
        (OTHER_KEY, Outcome::Ok, 9.0),
        (FIRST_KEY, Outcome::Reset, 0.0),
    ]);
    let superseded = ReplacedConnection::with_calls([FIRST_KEY]);
    superseded.calls.add_lost(FIRST_KEY);
    superseded.calls.supersede(FIRST_KEY, &superseded.results);
    superseded.read("").await;
    superseded.assert_reports(&[(FIRST_KEY, Outcome::Reset, 0.0), (FIRST_KEY, Outcome::Reset, 0.0)]);
}
