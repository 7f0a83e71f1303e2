//! One open connection to the counter service: the calls that are sent on it and wait for a reply.

use std::collections::VecDeque;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep_until, Instant};

use crate::decision::{CounterKey, Outcome};
use crate::net::counter::connection::CounterConnection;
use crate::net::counter::late_replies::LateReplies;
use crate::net::counter::resp::{decode, encode, Reply, ReplyError};
use crate::net::counter::result_sink::ResultSink;

/// A connection on which a reply is due is replaced if nothing has arrived on it for this many call timeouts.
///
/// Otherwise, if the counter service stopped responding on one connection and still replied on the others,
/// every call on that connection would time out, and the node pauses all counter calls after a timeout. If
/// every reply takes longer than this, replacing the connection does not help: one connection is opened
/// needlessly in each such period. The replies are heard on the replaced one (see [`LateReplies`]).
const MAX_TIMEOUTS_WITHOUT_REPLY: u32 = 3;

/// A call that was encoded for sending and has no reply yet.
struct PendingIncrement {
    key: CounterKey,
    made_at: Instant,
    /// The end of the encoded call, as an offset in bytes from the first byte sent on this connection.
    ends_at_byte: u64,
    /// Whether the call was reported as timed out. Its reply may still arrive and is then reported as late.
    timed_out: bool,
}

impl PendingIncrement {
    /// Reports the outcome of this call, which may have been reported as timed out.
    fn report(&self, results: &ResultSink, outcome: Outcome, total: f64) {
        // A late reply has an event of its own, so that it is not matched to a later call for the same key.
        if self.timed_out {
            results.report_late(self.key, outcome, total);
        } else {
            results.report(self.key, outcome, total);
        }
    }
}

/// Why a connection is closed.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectionEnd {
    /// The counter service has moved to another address, and every call on this connection has a reply or has
    /// timed out.
    #[error("the counter service has moved to another address")]
    Retired,
    /// The counter service closed the connection, or reading or writing failed.
    #[error("the connection to the counter service was closed")]
    Closed,
    /// A reply was due, and nothing arrived for [`MAX_TIMEOUTS_WITHOUT_REPLY`] call timeouts.
    #[error("the counter service is not responding")]
    NotResponding,
    /// A reply arrived that no call waits for.
    #[error("received a reply without a pending call")]
    UnexpectedReply,
    /// A reply is malformed.
    #[error("malformed reply from the counter service")]
    MalformedReply(#[source] ReplyError),
    /// A part of a reply has arrived, and no further byte for half a call timeout.
    #[error("incomplete reply from the counter service")]
    IncompleteReply,
}

/// The state of one open connection.
pub(super) struct Session {
    /// Encoded calls that have not been written yet.
    outgoing: BytesMut,
    /// Received bytes that are not a complete reply yet.
    pub(super) incoming: BytesMut,
    /// The total length of all calls encoded for this connection, in bytes.
    encoded_bytes: u64,
    /// How many of the `encoded_bytes` have been written.
    written_bytes: u64,
    /// The calls without a reply, in the order in which they are sent. Replies arrive in this order.
    pending: VecDeque<PendingIncrement>,
    /// When the last bytes of an incomplete reply arrived; `None` if `incoming` is empty.
    partial_reply_received_at: Option<Instant>,
    /// When bytes last arrived, or when the session started if none have.
    last_received_at: Instant,
    call_timeout: Duration,
}

/// The times at which a session has to act if nothing arrives before; `None` if there is nothing to wait for.
struct SessionTimers {
    /// When the oldest call that has not been reported as timed out expires.
    call_expires_at: Option<Instant>,
    /// When the connection is closed because the counter service is not responding.
    not_responding_at: Option<Instant>,
    /// When the connection is closed because no further byte of an incomplete reply has arrived.
    reply_incomplete_at: Option<Instant>,
}

impl SessionTimers {
    /// Returns the earliest of the times, or `None` if none is set.
    fn next(&self) -> Option<Instant> {
        let times = [self.call_expires_at, self.not_responding_at, self.reply_incomplete_at];
        times.into_iter().flatten().min()
    }
}

impl Session {
    pub(super) fn new(call_timeout: Duration) -> Self {
        Session {
            outgoing: BytesMut::new(),
            incoming: BytesMut::new(),
            encoded_bytes: 0,
            written_bytes: 0,
            pending: VecDeque::new(),
            partial_reply_received_at: None,
            last_received_at: Instant::now(),
            call_timeout,
        }
    }

    /// Sends calls and reports replies until the connection ends. Returns why it ended.
    pub(super) async fn run(
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
            let result = tokio::select! {
                written = writer.write_buf(&mut self.outgoing), if !self.outgoing.is_empty() => {
                    self.bytes_written(written)
                }
                received = reader.read_buf(&mut self.incoming) => self.bytes_received(received, connection, results),
                () = connection.wake.notified() => Ok(()),
                () = sleep_until(next_timer.unwrap_or_else(Instant::now)), if next_timer.is_some() => {
                    self.timer_fired(&timers, results)
                }
            };
            if let Err(end) = result {
                return end;
            }
        }
    }

    /// Encodes the queued calls into `outgoing` and adds them to the pending ones.
    fn encode_queued(&mut self, connection: &CounterConnection) {
        for call in connection.queue.borrow_mut().drain(..) {
            let length_before = self.outgoing.len();
            encode(&mut self.outgoing, &call.increment);
            self.encoded_bytes += (self.outgoing.len() - length_before) as u64;
            self.pending.push_back(PendingIncrement {
                key: call.increment.key,
                made_at: call.made_at,
                ends_at_byte: self.encoded_bytes,
                timed_out: false,
            });
        }
    }

    /// Returns the times at which the session has to act next, given its current state.
    fn timers(&self) -> SessionTimers {
        let oldest_waiting = self.pending.iter().find(|call| !call.timed_out);
        let not_responding_at = |call: &PendingIncrement| {
            call.made_at.max(self.last_received_at) + self.call_timeout * MAX_TIMEOUTS_WITHOUT_REPLY
        };
        SessionTimers {
            call_expires_at: oldest_waiting.map(|call| call.made_at + self.call_timeout),
            not_responding_at: self.pending.front().map(not_responding_at),
            reply_incomplete_at: self
                .partial_reply_received_at
                .map(|received_at| received_at + self.call_timeout / 2),
        }
    }

    /// Accounts for written bytes.
    ///
    /// # Errors
    /// If the write failed or wrote nothing.
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
    ///
    /// # Errors
    /// If the read failed, the counter service closed the connection, or a reply is malformed or belongs to
    /// no call.
    fn bytes_received(
        &mut self,
        received: std::io::Result<usize>,
        connection: &CounterConnection,
        results: &ResultSink,
    ) -> Result<(), ConnectionEnd> {
        if !matches!(received, Ok(count) if count > 0) {
            return Err(ConnectionEnd::Closed);
        }
        self.last_received_at = Instant::now();
        while let Some(reply) = decode(&mut self.incoming).map_err(ConnectionEnd::MalformedReply)? {
            let call = self.pending.pop_front().ok_or(ConnectionEnd::UnexpectedReply)?;
            if let Some(late_replies) = connection.late_replies() {
                late_replies.supersede(call.key, results);
            }
            match reply {
                Reply::Total(total) => call.report(results, Outcome::Ok, total),
                Reply::Rejected => call.report(results, Outcome::Rejected, 0.0),
            }
        }
        self.partial_reply_received_at = (!self.incoming.is_empty()).then(Instant::now);
        Ok(())
    }

    /// Reports the calls that have timed out.
    ///
    /// # Errors
    /// If the next byte of an incomplete reply is overdue or the counter service is not responding. Then no
    /// call is reported here.
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

    /// Reports the calls without a reply after the connection has ended. They are not retried here: the
    /// decision engine judges whether each of them was added.
    ///
    /// Calls that have timed out are left to `late_replies`, if there are any to be reported before.
    pub(super) fn report_unanswered(
        self,
        results: &ResultSink,
        end: &ConnectionEnd,
        late_replies: Option<&LateReplies>,
    ) {
        let reply_was_malformed =
            matches!(end, ConnectionEnd::MalformedReply(_) | ConnectionEnd::IncompleteReply);
        for (position, call) in self.pending.into_iter().enumerate() {
            if let (Some(late_replies), true) = (late_replies, call.timed_out) {
                late_replies.add_lost(call.key);
                continue;
            }
            let outcome = if call.ends_at_byte > self.written_bytes {
                // The call was not written completely, so it was not added.
                Outcome::ConnectFailed
            } else if reply_was_malformed && position == 0 {
                // The counter service is alive, and it added this call: its reply was the malformed one.
                Outcome::Error
            } else {
                // The call was written completely, so it may have been added.
                Outcome::Reset
            };
            call.report(results, outcome, 0.0);
        }
    }

    /// Reports every call that was not reported before: as timed out, or as not added if it was not written
    /// completely. Returns the calls whose replies may still arrive.
    pub(super) fn into_late_replies(self, results: &ResultSink) -> LateReplies {
        let written_bytes = self.written_bytes;
        let was_written = |call: &PendingIncrement| call.ends_at_byte <= written_bytes;
        let (written, unwritten): (Vec<_>, Vec<_>) = self.pending.into_iter().partition(was_written);
        let late_replies = LateReplies::new(written.iter().map(|call| call.key));
        for call in written.iter().filter(|call| !call.timed_out) {
            results.report(call.key, Outcome::TimedOut, 0.0);
        }
        for call in unwritten {
            if call.timed_out {
                late_replies.add_lost(call.key);
            } else {
                results.report(call.key, Outcome::ConnectFailed, 0.0);
            }
        }
        late_replies
    }
}
