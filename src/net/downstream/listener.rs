//! Accepts client connections within the descriptor budget until the listener is closed, and refuses those for
//! which there is no memory.

use std::cell::Cell;
use std::future::{poll_fn, Future};
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::time::{sleep, timeout};

use crate::net::connection_memory::ConnectionMemory;
use crate::net::descriptor_budget::{DescriptorBudget, DescriptorPermit, MIN_IDLE_BEFORE_EVICTION};
use crate::net::downstream::connection::{ClientPermit, DownstreamConnection};
use crate::net::downstream::connection_registry::ConnectionRegistry;
use crate::net::downstream::connection_state::ConnectionState;
use crate::net::downstream::handler::RequestHandler;
use crate::net::downstream::refusal;
use crate::net::downstream::request::RequestRules;
use crate::net::downstream::socket;
use crate::net::event_loop::EventLoop;
use crate::net::http_body::BodyMemory;

/// The longest time that the node waits for the first response of discovery before it accepts connections. A
/// discovery agent that is up responds immediately; one that does not respond must not keep clients waiting.
const FIRST_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// The pause after a failure to accept a connection.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The downstream side of a node.
pub struct DownstreamServer {
    event_loop: Rc<EventLoop>,
    handler: Rc<RequestHandler>,
    budget: Rc<DescriptorBudget>,
    connection_memory: Rc<ConnectionMemory>,
    registry: Rc<ConnectionRegistry>,
    /// Incremented to make the connections that are open at that time close as soon as they are idle. The
    /// value itself has no meaning.
    close_idle_generation: watch::Sender<u32>,
    /// Whether the listener is closing. This is set before the connections in the backlog are accepted, which
    /// then close after their first response.
    listener_closing: Cell<bool>,
    /// Notified when the listener has to close.
    stop_accepting: Notify,
}

/// A connection that was accepted, with its permit of the descriptor budget.
struct Accepted {
    stream: TcpStream,
    permit: DescriptorPermit,
}

impl DownstreamServer {
    /// Creates the downstream side of the node that `event_loop` belongs to. The bodies of requests take their
    /// memory from `body_memory`.
    pub fn new(
        event_loop: Rc<EventLoop>,
        rules: RequestRules,
        budget: Rc<DescriptorBudget>,
        connection_memory: Rc<ConnectionMemory>,
        body_memory: Rc<BodyMemory>,
    ) -> Rc<Self> {
        let handler = RequestHandler::new(event_loop.clone(), rules, connection_memory.clone(), body_memory);
        Rc::new(DownstreamServer {
            event_loop,
            handler: Rc::new(handler),
            budget,
            connection_memory,
            registry: ConnectionRegistry::new(),
            close_idle_generation: watch::Sender::new(0),
            listener_closing: Cell::new(false),
            stop_accepting: Notify::new(),
        })
    }

    /// Makes each connection that is open now close as soon as it is idle.
    pub fn close_idle_connections(&self) {
        self.close_idle_generation.send_modify(|generation| *generation += 1);
    }

    /// Makes the listener close after the connections in its backlog have been accepted.
    pub fn close_listener(&self) {
        self.listener_closing.set(true);
        self.stop_accepting.notify_one();
    }

    /// Accepts connections until `close_listener` is called, then those in the backlog.
    ///
    /// Before it accepts the first connection, it waits for `first_response`, for `FIRST_RESPONSE_TIMEOUT` at
    /// most: a change that the discovery agent already holds counts as notified from the node's start on (see
    /// [`NOTIFIED_AFTER`](crate::net::discovery::call_times::NOTIFIED_AFTER)), and the endpoint list in the
    /// node's configuration may be out of date. If no descriptor is left, idle connections are closed, and
    /// new ones wait in the backlog meanwhile.
    pub async fn accept(self: Rc<Self>, listener: TcpListener, first_response: impl Future<Output = ()>) {
        let _ = timeout(FIRST_RESPONSE_TIMEOUT, first_response).await;
        loop {
            let accepted = tokio::select! {
                accepted = self.accept_one(&listener) => accepted,
                () = self.stop_accepting.notified() => break,
            };
            match accepted {
                Ok(Accepted { stream, permit }) => self.serve(stream, permit),
                Err(error) => {
                    eprintln!("edge-node: accepting a connection failed: {error}; retrying");
                    self.budget.evict_downstream();
                    sleep(ACCEPT_RETRY_PAUSE).await;
                }
            }
        }
        self.accept_backlog(&listener).await;
    }

    /// Accepts one connection, after it has acquired a permit for it.
    async fn accept_one(&self, listener: &TcpListener) -> io::Result<Accepted> {
        let permit = self.acquire_permit().await;
        let (stream, _) = listener.accept().await?;
        Ok(Accepted { stream, permit })
    }

    /// Waits for a permit for a client connection, and has connections closed until there is one. If all
    /// permits are in use, the oldest idle endpoint connection is closed; if there is none, or if only the
    /// clients' share is in use, a client connection is asked to close.
    async fn acquire_permit(&self) -> DescriptorPermit {
        let close_one = || {
            let upstream_closed = self.budget.is_exhausted() && self.event_loop.upstreams.close_oldest_idle();
            upstream_closed || self.evict_downstream()
        };
        self.budget.acquire_or_evict(|| self.budget.try_acquire_downstream(), close_one).await
    }

    /// Asks a client connection to close. While there is no memory for a further one, a descriptor does not
    /// help a new client, so those that go on sending are spared.
    fn evict_downstream(&self) -> bool {
        if self.connection_memory.has_room_for_client() {
            self.budget.evict_downstream()
        } else {
            self.budget.evict_downstream_idle_for(MIN_IDLE_BEFORE_EVICTION)
        }
    }

    /// Accepts the connections in the backlog, even beyond the descriptor budget, but not beyond the memory.
    /// Their clients have connected and may have sent a request, and closing the listener first would reset
    /// them.
    async fn accept_backlog(self: &Rc<Self>, listener: &TcpListener) {
        // The runtime learns of the connections that have arrived when the task yields to it.
        tokio::task::yield_now().await;
        loop {
            match poll_fn(|context| Poll::Ready(listener.poll_accept(context))).await {
                Poll::Ready(Ok((stream, _))) => self.serve(stream, self.budget.acquire_beyond_limit()),
                Poll::Ready(Err(_)) => sleep(ACCEPT_RETRY_PAUSE).await,
                Poll::Pending => return,
            }
        }
    }

    /// Starts the task that serves a connection if there is memory for it, or else one that waits for memory
    /// and refuses the connection if there is none.
    fn serve(self: &Rc<Self>, stream: TcpStream, descriptor: DescriptorPermit) {
        socket::clear_assumed_readiness(&stream);
        match self.connection_memory.try_reserve_for_client() {
            Some(memory) => self.start_serving(stream, ClientPermit::new(memory, descriptor)),
            None => {
                tokio::task::spawn_local(self.clone().serve_or_refuse(stream, descriptor));
            }
        }
    }

    /// Has idle connections closed until there is memory for a connection, and serves it. Refuses it if no
    /// connection can be closed for it.
    async fn serve_or_refuse(self: Rc<Self>, stream: TcpStream, descriptor: DescriptorPermit) {
        let try_reserve = || self.connection_memory.try_reserve_for_client();
        match self.budget.try_acquire_or_evict(try_reserve, || self.evict_downstream()).await {
            Some(memory) => self.start_serving(stream, ClientPermit::new(memory, descriptor)),
            None => {
                self.connection_memory.record_refusal();
                refusal::refuse(&stream).await;
            }
        }
    }

    /// Starts the task that serves a connection.
    fn start_serving(&self, stream: TcpStream, permit: ClientPermit) {
        let state = ConnectionState::new(self.budget.clone(), self.listener_closing.get());
        let connection = DownstreamConnection {
            handler: self.handler.clone(),
            registry: self.registry.clone(),
            stream: Rc::new(stream),
            state: Rc::new(state),
        };
        tokio::task::spawn_local(connection.run(permit, self.close_idle_generation.subscribe()));
    }
}
