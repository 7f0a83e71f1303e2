//! Serves one client connection from the time it is accepted until it is closed.

use std::convert::Infallible;
use std::future::{pending, Future};
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::net::connection_memory::ConnectionReservation;
use crate::net::descriptor_budget::DescriptorPermit;
use crate::net::downstream::connection_registry::ConnectionRegistry;
use crate::net::downstream::connection_state::ConnectionState;
use crate::net::downstream::handler::RequestHandler;
use crate::net::downstream::request_bytes_stream::RequestBytesStream;
use crate::net::downstream::response::close_connection;
use crate::net::downstream::socket;

/// The largest size of a request head in bytes. It also bounds the size of a connection's buffers.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A new connection on which no request has arrived within this time counts as idle.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a closing connection stays open for a request that the client sent before it could learn of the
/// close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// What a client connection holds of the node's descriptors and memory. Dropping it returns both.
pub struct ClientPermit {
    // The memory is returned first, since dropping the descriptor wakes those that wait for either.
    _memory: ConnectionReservation,
    _descriptor: DescriptorPermit,
}

impl ClientPermit {
    /// Joins the two parts of the permit.
    pub fn new(memory: ConnectionReservation, descriptor: DescriptorPermit) -> Self {
        ClientPermit { _memory: memory, _descriptor: descriptor }
    }
}

/// One client connection.
pub struct DownstreamConnection {
    /// Answers the requests of the connection.
    pub handler: Rc<RequestHandler>,
    /// The registry in which the connection is entered while it is served.
    pub registry: Rc<ConnectionRegistry>,
    /// The socket of the connection.
    pub stream: Rc<TcpStream>,
    /// The state of the connection, shared with its socket and the registry.
    pub state: Rc<ConnectionState>,
}

/// Why a connection stops serving requests.
enum ServingEnd {
    /// The HTTP connection has ended: the client closed it, it failed, or its last response was written.
    Ended,
    /// The connection has to be closed immediately, even if a request is in progress.
    Aborted,
    /// The connection is closing and no request is in progress, read in part or unread.
    ReadyToClose,
}

impl DownstreamConnection {
    /// Serves the connection until it is closed, then returns `permit`. After `close_idle_generation` has
    /// changed, the connection is closed as soon as it is idle; the value itself has no meaning.
    pub async fn run(self, permit: ClientPermit, close_idle_generation: watch::Receiver<u32>) {
        let _permit = permit;
        let _registration = self.registry.register(&self.state);
        // A failure is ignored: without the option responses may be delayed, but they are still correct.
        let _ = self.stream.set_nodelay(true);
        let observed = RequestBytesStream::new(self.stream.clone(), self.state.clone());
        let http_connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(observed), service_fn(|request| self.respond(request)));
        let mut http_connection = pin!(http_connection);
        match self.serve_until_closing(http_connection.as_mut(), close_idle_generation).await {
            ServingEnd::Ended => socket::linger(&self.stream).await,
            ServingEnd::Aborted => {}
            ServingEnd::ReadyToClose => {
                http_connection.as_mut().graceful_shutdown();
                self.finish(http_connection).await;
            }
        }
    }

    /// Answers one request. Aborts the connection if the client closes it before the response is ready.
    ///
    /// A client that has sent further requests already waits until the event loop has looked at the sockets and
    /// run the other tasks, since hyper answers many such requests in one turn.
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let framing = self.state.request_started(&request);
        if self.state.has_further_request() {
            yield_now().await;
        }
        let mut response = tokio::select! {
            biased;
            response = self.handler.handle(request, framing, &self.state, &self.stream) => response,
            () = socket::peer_closed(&self.stream) => {
                self.state.abort();
                // The abort drops the HTTP connection and this future with it, so the future never completes.
                pending().await
            }
        };
        if self.state.is_closing() {
            close_connection(&mut response);
        }
        self.state.request_completed();
        Ok(response)
    }

    /// Drives the connection until it ends, is aborted, or is closing and idle.
    ///
    /// A request that was read in part or is still unread would be lost if its connection were closed. It is
    /// served before the close, and its response has the header `Connection: close`.
    async fn serve_until_closing(
        &self,
        mut http_connection: Pin<&mut impl Future>,
        mut close_idle_generation: watch::Receiver<u32>,
    ) -> ServingEnd {
        // The first request of a new connection may still be unread, so the connection counts as idle only
        // after it has had no request for `FIRST_REQUEST_TIMEOUT`.
        let mut first_request_timeout = pin!(sleep(FIRST_REQUEST_TIMEOUT));
        let mut first_request_awaited = true;
        let mut close_due = Instant::now() + CLOSE_TIMEOUT;
        while !self.ready_to_close() {
            tokio::select! {
                biased;
                _ = http_connection.as_mut() => return ServingEnd::Ended,
                () = self.state.abort_requested() => return ServingEnd::Aborted,
                // A request that never arrives in full would hold its descriptor forever. The rest of it may
                // have arrived since the notification, so this is checked again.
                () = self.state.give_up_requested() => {
                    if self.state.may_give_up_partial_request(|| socket::has_unread_bytes(&self.stream)) {
                        return ServingEnd::Aborted;
                    }
                }
                () = self.state.close_requested() => close_due = self.start_closing(),
                Ok(()) = close_idle_generation.changed() => close_due = self.start_closing(),
                // Limits the time of a client that does not complete a request head, or does not read its
                // last response.
                () = sleep_until(close_due), if self.state.is_closing() => {
                    if !self.state.request_in_progress() {
                        return ServingEnd::Aborted;
                    }
                    close_due += CLOSE_TIMEOUT;
                }
                () = first_request_timeout.as_mut(), if first_request_awaited => {
                    first_request_awaited = false;
                    self.state.first_request_timed_out();
                }
            }
        }
        ServingEnd::ReadyToClose
    }

    /// Marks the connection to be closed when it is idle, and returns the time at which it is aborted if it
    /// is still open and has no request in progress.
    fn start_closing(&self) -> Instant {
        self.state.start_closing();
        Instant::now() + CLOSE_TIMEOUT
    }

    /// Returns whether the connection is closing and no request is in progress, read in part or unread.
    fn ready_to_close(&self) -> bool {
        self.state.is_closing() && self.state.has_no_request() && !socket::has_unread_bytes(&self.stream)
    }

    /// Drives a connection after its graceful shutdown until it has written what is left. Returns earlier if
    /// no request is in progress when a period of `CLOSE_TIMEOUT` ends.
    async fn finish(&self, mut http_connection: Pin<&mut impl Future>) {
        while timeout(CLOSE_TIMEOUT, http_connection.as_mut()).await.is_err() {
            if !self.state.request_in_progress() {
                return;
            }
        }
    }
}
