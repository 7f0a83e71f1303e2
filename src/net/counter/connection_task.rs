//! The task that keeps one connection to the counter service: opens it, sends the queued calls on it and
//! replaces it when it ends.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use crate::decision::Outcome;
use crate::net::counter::connection::{CounterConnection, QueuedCall};
use crate::net::counter::result_sink::ResultSink;
use crate::net::counter::session::{ConnectionEnd, Session};
use crate::net::descriptor_budget::DescriptorBudget;

/// Sends the calls queued for one connection.
pub(super) struct ConnectionTask {
    pub(super) connection: Rc<CounterConnection>,
    pub(super) results: ResultSink,
    /// Issues the permit of a replaced connection that is kept.
    pub(super) budget: Rc<DescriptorBudget>,
    pub(super) address: SocketAddr,
    pub(super) call_timeout: Duration,
}

impl ConnectionTask {
    /// Sends the queued calls and reports their outcomes, until the connection is retired.
    pub(super) async fn run(self) {
        loop {
            if self.connection.queue.borrow().is_empty() {
                if self.connection.retired.get() {
                    return;
                }
                self.connection.wake.notified().await;
                continue;
            }
            if let Some(stream) = self.connect().await {
                self.serve(stream).await;
            }
        }
    }

    /// Opens a connection before the first queued call times out.
    ///
    /// Returns `None` if the queue is empty or the connection is not established. In the latter case calls
    /// are reported as [`Outcome::ConnectFailed`], since they were not added: all queued calls if connecting
    /// failed, otherwise those that have timed out.
    async fn connect(&self) -> Option<TcpStream> {
        let queue = &self.connection.queue;
        let first_made_at = queue.borrow().front()?.made_at;
        let connect = TcpStream::connect(self.address);
        let connected = timeout_at(first_made_at + self.call_timeout, connect).await;
        if let Ok(Ok(stream)) = connected {
            // An error is ignored: without TCP_NODELAY replies arrive later but are correct.
            let _ = stream.set_nodelay(true);
            return Some(stream);
        }
        let connect_failed = connected.is_ok();
        // Covers only the calls that are queued now: reporting the end of a call may queue another one.
        let queued = queue.borrow().len();
        for _ in 0..queued {
            let has_failed =
                |call: &mut QueuedCall| connect_failed || call.made_at + self.call_timeout <= Instant::now();
            let failed = queue.borrow_mut().pop_front_if(has_failed);
            let Some(call) = failed else { break };
            self.results.report(call.increment.key, Outcome::ConnectFailed, 0.0);
        }
        None
    }

    /// Sends calls on one open connection until it ends, then reports the calls that have no reply, or keeps
    /// the connection for late replies.
    async fn serve(&self, mut stream: TcpStream) {
        let mut session = Session::new(self.call_timeout);
        let end = session.run(&self.connection, &self.results, &mut stream).await;
        let late_replies = self.connection.late_replies();
        let may_reply_late = matches!(end, ConnectionEnd::NotResponding);
        if may_reply_late && late_replies.is_none() {
            if let Some(permit) = self.budget.try_acquire_upstream() {
                self.keep_for_late_replies(session, stream, permit);
                return;
            }
        }
        drop(stream);
        session.report_unanswered(&self.results, &end, late_replies.as_deref());
    }

    /// Reads late replies from a connection that is replaced. At most one such connection is kept.
    fn keep_for_late_replies<P: 'static>(&self, session: Session, stream: TcpStream, permit: P) {
        let incoming = session.incoming.clone();
        let late_replies = Rc::new(session.into_late_replies(&self.results));
        self.connection.set_late_replies(Some(late_replies.clone()));
        let connection = self.connection.clone();
        let results = self.results.clone();
        spawn_local(async move {
            late_replies.read(stream, incoming, &results).await;
            connection.set_late_replies(None);
            drop(permit);
        });
    }
}
