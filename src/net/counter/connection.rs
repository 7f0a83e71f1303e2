//! One connection to the counter: the calls queued for it, and those that wait for their replies.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{sleep_until, timeout_at, Instant};

use crate::decision::{CounterKey, Event, Outcome};
use crate::net::counter::resp::{decode, encode, Increment, Reply, ReplyError};
use crate::net::event_sink::EventSink;

/// A connection on which nothing has arrived for this many time-outs, though a reply is due, is closed and opened
/// anew. Otherwise a single connection on which the counter stops responding while it replies on others would end each
/// call on it as timed out, for which the node pauses all counter calls. Where every reply takes longer than this,
/// connections are opened for nothing, one each in this time.
const MAX_TIMEOUTS_WITHOUT_REPLY: u32 = 3;

/// A call that waits to be written.
pub(super) struct QueuedCall {
    pub(super) increment: Increment,
    pub(super) made_at: Instant,
}

/// The calls for one connection, which is opened when there are any.
#[derive(Default)]
pub(super) struct CounterConnection {
    pub(super) queue: RefCell<VecDeque<QueuedCall>>,
    pub(super) wake: Notify,
    /// The counter has moved: what is in flight ends here, and no new call begins.
    pub(super) retired: Cell<bool>,
}

impl CounterConnection {
    /// Serves the queued calls until the counter has moved.
    pub(super) async fn run(&self, results: &ResultSink, address: SocketAddr, call_timeout: Duration) {
        loop {
            if self.queue.borrow().is_empty() {
                if self.retired.get() {
                    return;
                }
                self.wake.notified().await;
                continue;
            }
            if let Some(stream) = self.connect(results, address, call_timeout).await {
                serve_connection(self, results, stream, call_timeout).await;
            }
        }
    }

    /// Connects for the queued calls; those that get no connection in time were not added.
    async fn connect(
        &self,
        results: &ResultSink,
        address: SocketAddr,
        call_timeout: Duration,
    ) -> Option<TcpStream> {
        let first_made_at = self.queue.borrow().front()?.made_at;
        let connected = timeout_at(first_made_at + call_timeout, TcpStream::connect(address)).await;
        if let Ok(Ok(stream)) = connected {
            // Without it replies are late, not wrong.
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        let was_refused = connected.is_ok();
        // Only the calls queued by now: reporting one may lead to the next.
        let queued = self.queue.borrow().len();
        for _ in 0..queued {
            let is_over =
                |call: &mut QueuedCall| was_refused || call.made_at + call_timeout <= Instant::now();
            let failed = self.queue.borrow_mut().pop_front_if(is_over);
            let Some(call) = failed else { break };
            results.report(call.increment.key, Outcome::ConnectFailed, 0.0);
        }
        None
    }
}

/// Reports to the decisions how calls ended.
pub(super) struct ResultSink {
    pub(super) events: Rc<dyn EventSink>,
    /// Calls whose outcome is still to be reported.
    pub(super) open_calls: Rc<Cell<usize>>,
}

impl ResultSink {
    /// Reports the end of a call.
    pub(super) fn report(&self, key: CounterKey, outcome: Outcome, total: f64) {
        self.open_calls.set(self.open_calls.get() - 1);
        self.events.send(Event::CounterReplied { key, outcome, total });
    }

    /// Reports what became of a call that was written, and perhaps reported as timed out.
    fn report_pending(&self, call: &PendingIncrement, outcome: Outcome, total: f64) {
        let key = call.key;
        // A late reply must not be taken for that of a later call.
        if call.timed_out {
            self.events.send(Event::LateCounterReply { key, outcome, total });
        } else {
            self.report(key, outcome, total);
        }
    }
}

/// A call that was put on the connection and has no reply yet.
struct PendingIncrement {
    key: CounterKey,
    made_at: Instant,
    /// The position of its end among all bytes for this connection.
    ends_at_byte: u64,
    /// It was reported as timed out; its reply is still to come and is reported as late.
    timed_out: bool,
}

/// Why a connection ends.
#[derive(Debug, thiserror::Error)]
enum ConnectionEnd {
    /// The counter has moved, and no call waits for its reply.
    #[error("the counter has moved")]
    Retired,
    /// The counter closed the connection or it broke.
    #[error("the connection was closed")]
    Closed,
    /// Nothing has arrived for too long.
    #[error("the counter is not responding")]
    NotResponding,
    /// A reply that no call waits for.
    #[error("a reply without a call")]
    UnexpectedReply,
    /// A reply is malformed.
    #[error("malformed reply")]
    MalformedReply(#[source] ReplyError),
    /// A reply has begun to arrive and does not end.
    #[error("a reply was cut short")]
    IncompleteReply,
}

/// What a connection has sent and received.
struct Session {
    outgoing: BytesMut,
    incoming: BytesMut,
    /// Bytes of all calls for this connection, and how many of them were written.
    queued_bytes: u64,
    written_bytes: u64,
    pending: VecDeque<PendingIncrement>,
    /// Since when a part of a reply waits for the rest.
    partial_reply_since: Option<Instant>,
    last_received_at: Instant,
    call_timeout: Duration,
}

/// The times at which a session has something to do, if nothing arrives before.
struct SessionTimers {
    call_expires_at: Option<Instant>,
    not_responding_at: Option<Instant>,
    reply_incomplete_at: Option<Instant>,
}

impl SessionTimers {
    fn next(&self) -> Option<Instant> {
        let times = [self.call_expires_at, self.not_responding_at, self.reply_incomplete_at];
        times.into_iter().flatten().min()
    }
}

/// Serves calls on one connection until it ends.
async fn serve_connection(
    connection: &CounterConnection,
    results: &ResultSink,
    mut stream: TcpStream,
    call_timeout: Duration,
) {
    let mut session = Session::new(call_timeout);
    let end = session.run(connection, results, &mut stream).await;
    drop(stream);
    session.report_unanswered(results, &end);
}

impl Session {
    fn new(call_timeout: Duration) -> Self {
        Session {
            outgoing: BytesMut::new(),
            incoming: BytesMut::new(),
            queued_bytes: 0,
            written_bytes: 0,
            pending: VecDeque::new(),
            partial_reply_since: None,
            last_received_at: Instant::now(),
            call_timeout,
        }
    }

    async fn run(
        &mut self,
        connection: &CounterConnection,
        results: &ResultSink,
        stream: &mut TcpStream,
    ) -> ConnectionEnd {
        let (mut reader, mut writer) = stream.split();
        loop {
            if connection.retired.get() && self.pending.iter().all(|call| call.timed_out) {
                return ConnectionEnd::Retired;
            }
            self.encode_queued(connection);
            let timers = self.timers();
            let next_timer = timers.next();
            let step = tokio::select! {
                written = writer.write_buf(&mut self.outgoing), if !self.outgoing.is_empty() => {
                    self.bytes_written(written)
                }
                received = reader.read_buf(&mut self.incoming) => self.bytes_received(received, results),
                () = connection.wake.notified() => Ok(()),
                () = sleep_until(next_timer.unwrap_or_else(Instant::now)), if next_timer.is_some() => {
                    self.timer_fired(&timers, results)
                }
            };
            if let Err(end) = step {
                return end;
            }
        }
    }

    /// Puts the queued calls on the connection.
    fn encode_queued(&mut self, connection: &CounterConnection) {
        for call in connection.queue.borrow_mut().drain(..) {
            let length_before = self.outgoing.len();
            encode(&mut self.outgoing, &call.increment);
            self.queued_bytes += (self.outgoing.len() - length_before) as u64;
            self.pending.push_back(PendingIncrement {
                key: call.increment.key,
                made_at: call.made_at,
                ends_at_byte: self.queued_bytes,
                timed_out: false,
            });
        }
    }

    fn timers(&self) -> SessionTimers {
        let oldest_waiting = self.pending.iter().find(|call| !call.timed_out);
        let not_responding_at = |call: &PendingIncrement| {
            call.made_at.max(self.last_received_at) + self.call_timeout * MAX_TIMEOUTS_WITHOUT_REPLY
        };
        SessionTimers {
            call_expires_at: oldest_waiting.map(|call| call.made_at + self.call_timeout),
            not_responding_at: self.pending.front().map(not_responding_at),
            reply_incomplete_at: self.partial_reply_since.map(|since| since + self.call_timeout / 2),
        }
    }

    fn bytes_written(&mut self, written: std::io::Result<usize>) -> Result<(), ConnectionEnd> {
        match written {
            Ok(count) if count > 0 => {
                self.written_bytes += count as u64;
                Ok(())
            }
            _ => Err(ConnectionEnd::Closed),
        }
    }

    /// Reports the replies that are complete.
    fn bytes_received(
        &mut self,
        received: std::io::Result<usize>,
        results: &ResultSink,
    ) -> Result<(), ConnectionEnd> {
        if !matches!(received, Ok(count) if count > 0) {
            return Err(ConnectionEnd::Closed);
        }
        self.last_received_at = Instant::now();
        while let Some(reply) = decode(&mut self.incoming).map_err(ConnectionEnd::MalformedReply)? {
            let call = self.pending.pop_front().ok_or(ConnectionEnd::UnexpectedReply)?;
            match reply {
                Reply::Total(total) => results.report_pending(&call, Outcome::Ok, total),
                Reply::Rejected => results.report_pending(&call, Outcome::Rejected, 0.0),
            }
        }
        self.partial_reply_since = (!self.incoming.is_empty()).then(Instant::now);
        Ok(())
    }

    /// Ends the connection if a reply is overdue for too long, else reports the calls that have timed out.
    fn timer_fired(&mut self, timers: &SessionTimers, results: &ResultSink) -> Result<(), ConnectionEnd> {
        let now = Instant::now();
        let has_passed = |time: Option<Instant>| time.is_some_and(|time| time <= now);
        if has_passed(timers.reply_incomplete_at) {
            return Err(ConnectionEnd::IncompleteReply);
        }
        if has_passed(timers.not_responding_at) {
            return Err(ConnectionEnd::NotResponding);
        }
        for call in &mut self.pending {
            if !call.timed_out && call.made_at + self.call_timeout <= now {
                call.timed_out = true;
                results.report(call.key, Outcome::TimedOut, 0.0);
            }
        }
        Ok(())
    }

    /// Reports the calls that are left at the end of the connection. No call is made again here: whether one was
    /// added is for the decisions to weigh.
    fn report_unanswered(self, results: &ResultSink, end: &ConnectionEnd) {
        let reply_was_malformed =
            matches!(end, ConnectionEnd::MalformedReply(_) | ConnectionEnd::IncompleteReply);
        for (position, call) in self.pending.into_iter().enumerate() {
            let outcome = if call.ends_at_byte > self.written_bytes {
                Outcome::ConnectFailed
            } else if reply_was_malformed && position == 0 {
                // The counter is alive, and this call was added.
                Outcome::Error
            } else {
                // It may have been added.
                Outcome::Reset
            };
            results.report_pending(&call, outcome, 0.0);
        }
    }
}
