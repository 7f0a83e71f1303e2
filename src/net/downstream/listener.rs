//! The listener: accepts the connections of clients, within the descriptor budget, until the listener closes.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};

use crate::net::descriptor_budget::{DescriptorBudget, DescriptorPermit};
use crate::net::downstream::connection::DownstreamConnection;
use crate::net::downstream::connection_registry::ConnectionRegistry;
use crate::net::downstream::connection_state::ConnectionState;
use crate::net::downstream::handler::RequestHandler;
use crate::net::downstream::request::RequestRules;
use crate::net::downstream::socket;
use crate::net::event_loop::EventLoop;

/// How long accepting waits for the first endpoint list at most. An agent that is up answers at once; one that is not
/// responding must not keep clients waiting.
const FIRST_LIST_TIMEOUT: Duration = Duration::from_millis(250);
/// Pause after accepting a connection failed.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The downstream side of a node.
pub struct DownstreamServer {
    event_loop: Rc<EventLoop>,
    handler: Rc<RequestHandler>,
    budget: Rc<DescriptorBudget>,
    registry: Rc<ConnectionRegistry>,
    /// Each change makes the connections open by then close as soon as they are idle.
    close_idle_connections: watch::Sender<u32>,
    /// Whether connections accepted from now on close after their first response.
    listener_closed: Cell<bool>,
    stop_accepting: Notify,
}

/// A connection that was accepted, with its place in the descriptor budget.
struct Accepted {
    stream: TcpStream,
    permit: DescriptorPermit,
}

impl DownstreamServer {
    /// The downstream side of the node with this event loop.
    pub fn new(event_loop: Rc<EventLoop>, rules: RequestRules, budget: Rc<DescriptorBudget>) -> Rc<Self> {
        let handler = Rc::new(RequestHandler::new(event_loop.clone(), rules));
        Rc::new(DownstreamServer {
            event_loop,
            handler,
            budget,
            registry: ConnectionRegistry::new(),
            close_idle_connections: watch::Sender::new(0),
            listener_closed: Cell::new(false),
            stop_accepting: Notify::new(),
        })
    }

    /// Closes all open connections as soon as they are idle.
    pub fn close_idle_connections(&self) {
        self.close_idle_connections.send_modify(|version| *version += 1);
    }

    /// Closes the listener, once the connections in its backlog are accepted.
    pub fn close_listener(&self) {
        self.listener_closed.set(true);
        self.stop_accepting.notify_one();
    }

    /// Accepts connections until the listener closes.
    ///
    /// Waits for `first_list` before the first connection, but no longer than `FIRST_LIST_TIMEOUT`: a change that the
    /// agent holds counts against the node from its start on, and the list in its configuration may be out of date.
    /// With no descriptor left it closes idle connections; meanwhile new ones wait in the backlog.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, first_list: impl Future<Output = ()>) {
        let _ = timeout(FIRST_LIST_TIMEOUT, first_list).await;
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_one(&listener) => accepted,
                () = self.stop_accepting.notified() => break,
            };
            match accepted {
                Ok(Accepted { stream, permit }) => self.serve(stream, permit),
                Err(error) => {
                    eprintln!("edge-node: accepting a connection failed: {error}; retrying");
                    self.budget.close_idle_downstream();
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
        self.accept_backlog(&listener).await;
    }

    async fn accept_one(&self, listener: &TcpListener) -> io::Result<Accepted> {
        let permit = self.acquire_permit().await;
        let (stream, _) = listener.accept().await?;
        Ok(Accepted { stream, permit })
    }

    async fn acquire_permit(&self) -> DescriptorPermit {
        let close_one = || {
            let upstream_closed = self.budget.is_exhausted() && self.event_loop.upstreams.close_oldest_idle();
            upstream_closed || self.budget.close_idle_downstream()
        };
        self.budget.acquire_or_evict(|| self.budget.try_acquire_downstream(), close_one).await
    }

    /// Accepts the connections in the backlog, beyond the descriptor budget. Their clients have connected and may have
    /// sent a request; closing the listener over them would reset them.
    async fn accept_backlog(self: &Rc<Self>, listener: &TcpListener) {
        // Lets the runtime learn of the connections that have arrived.
        tokio::task::yield_now().await;
        loop {
            match poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await {
                Poll::Ready(Ok((stream, _))) => self.serve(stream, self.budget.acquire_beyond_limit()),
                Poll::Ready(Err(_)) => sleep(ACCEPT_RETRY_PAUSE).await,
                Poll::Pending => return,
            }
        }
    }

    /// Starts the task that serves a connection.
    fn serve(&self, stream: TcpStream, permit: DescriptorPermit) {
        socket::clear_assumed_readiness(&stream);
        let state = ConnectionState::new(self.budget.clone(), self.listener_closed.get());
        let connection = DownstreamConnection {
            handler: self.handler.clone(),
            registry: self.registry.clone(),
            stream: Rc::new(stream),
            state: Rc::new(state),
        };
        tokio::task::spawn_local(connection.run(permit, self.close_idle_connections.subscribe()));
    }
}
