//! Reads late replies from a connection to the counter service that was replaced, because nothing had arrived
//! on it for some time. The service may be slow and not dead: it has added the units of these calls, and only
//! their replies make them available to requests.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::decision::{CounterKey, Outcome};
use crate::net::counter::resp::{decode, Reply};
use crate::net::counter::result_sink::ResultSink;

/// How long a replaced connection may stay silent before it is closed. The counter service closes an idle
/// connection after about the same time.
const MAX_SILENCE: Duration = Duration::from_secs(10);

/// What is known of a call that was reported as timed out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CallState {
    /// Its reply may arrive on the replaced connection.
    Awaited,
    /// Its reply may arrive there, but a later call for its key has a reply already.
    Superseded,
    /// It was sent on a later connection, which is closed.
    Lost,
}

struct TimedOutCall {
    key: CounterKey,
    state: CallState,
}

/// The calls without a reply that were sent on a replaced connection, in their order, and those sent later on
/// connections that are closed by now. The latter are reported after the former.
#[derive(Default)]
pub struct LateReplies {
    calls: RefCell<VecDeque<TimedOutCall>>,
}

impl LateReplies {
    /// Creates the list of these calls, whose replies may arrive on the replaced connection.
    pub fn new(keys: impl IntoIterator<Item = CounterKey>) -> Self {
        let awaited = |key| TimedOutCall { key, state: CallState::Awaited };
        LateReplies { calls: RefCell::new(keys.into_iter().map(awaited).collect()) }
    }

    /// Adds a call that had timed out on a later connection, which is closed. It is reported in its turn.
    pub fn add_lost(&self, key: CounterKey) {
        self.calls.borrow_mut().push_back(TimedOutCall { key, state: CallState::Lost });
    }

    /// Reports all calls for `key` as unanswered, because a later call for it has a reply: an older total
    /// must not follow it.
    pub fn supersede(&self, key: CounterKey, results: &ResultSink) {
        let mut calls = self.calls.borrow_mut();
        let is_unreported = |call: &TimedOutCall| call.key == key && call.state != CallState::Superseded;
        let unreported = calls.iter().filter(|call| is_unreported(call)).count();
        calls.retain(|call| call.key != key || call.state != CallState::Lost);
        for call in calls.iter_mut().filter(|call| call.key == key) {
            call.state = CallState::Superseded;
        }
        drop(calls);
        for _ in 0..unreported {
            results.report_late(key, Outcome::Reset, 0.0);
        }
    }

    /// Reads replies from the replaced connection until every call has one, the connection ends or nothing
    /// arrives for `MAX_SILENCE`. Then reports the calls without a reply. `incoming` is what was read of a
    /// reply before.
    pub async fn read(&self, mut stream: TcpStream, mut incoming: BytesMut, results: &ResultSink) {
        while self.report_replies(&mut incoming, results) {
            let received = timeout(MAX_SILENCE, stream.read_buf(&mut incoming)).await;
            if !matches!(received, Ok(Ok(count)) if count > 0) {
                break;
            }
        }
        drop(stream);
        while let Some(call) = self.pop() {
            report_unanswered(&call, results);
        }
    }

    /// Reports the complete replies. Returns whether further ones may arrive.
    fn report_replies(&self, incoming: &mut BytesMut, results: &ResultSink) -> bool {
        loop {
            self.report_lost(results);
            if self.calls.borrow().is_empty() {
                return false;
            }
            match decode(incoming) {
                Ok(Some(reply)) => self.report_reply(&reply, results),
                Ok(None) => return true,
                Err(_) => return false,
            }
        }
    }

    fn report_reply(&self, reply: &Reply, results: &ResultSink) {
        let Some(call) = self.pop() else { return };
        if call.state == CallState::Superseded {
            return;
        }
        match reply {
            Reply::Total(total) => results.report_late(call.key, Outcome::Ok, *total),
            Reply::Rejected => results.report_late(call.key, Outcome::Rejected, 0.0),
        }
    }

    /// Reports the lost calls before which no other call waits.
    fn report_lost(&self, results: &ResultSink) {
        let is_lost = |call: &mut TimedOutCall| call.state == CallState::Lost;
        loop {
            let lost = self.calls.borrow_mut().pop_front_if(is_lost);
            let Some(call) = lost else { return };
            report_unanswered(&call, results);
        }
    }

    fn pop(&self) -> Option<TimedOutCall> {
        self.calls.borrow_mut().pop_front()
    }
}

fn report_unanswered(call: &TimedOutCall, results: &ResultSink) {
    if call.state != CallState::Superseded {
        results.report_late(call.key, Outcome::Reset, 0.0);
    }
}
