//! The life of one connection of a client, from its acceptance until it closes.

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
use tokio::time::{sleep, sleep_until, timeout, Instant};

use crate::net::descriptor_budget::DescriptorPermit;
use crate::net::downstream::connection_registry::ConnectionRegistry;
use crate::net::downstream::connection_state::ConnectionState;
use crate::net::downstream::handler::RequestHandler;
use crate::net::downstream::request_bytes_stream::RequestBytesStream;
use crate::net::downstream::response::close_connection;
use crate::net::downstream::socket;

/// Most bytes of a request head. It bounds a connection's buffers, too.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// A new connection without a request after this long counts as idle.
const FIRST_REQUEST_TIMEOUT: Duration = Duration::from_millis(50);
/// How long a connection that closes may take for a request that crosses the close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(1);

/// One connection of a client.
pub struct DownstreamConnection {
    /// Answers the connection's requests.
    pub handler: Rc<RequestHandler>,
    /// The open connections, of which this one is to be.
    pub registry: Rc<ConnectionRegistry>,
    /// The socket.
    pub stream: Rc<TcpStream>,
    /// What is under way on the connection.
    pub state: Rc<ConnectionState>,
}

/// Why the connection serves no further request.
enum ServingEnd {
    /// The HTTP connection ended by itself.
    Ended,
    /// It has to end at once.
    Aborted,
    /// It is closing and nothing is under way.
    ReadyToClose,
}

impl DownstreamConnection {
    /// Serves the connection until it closes, and frees its descriptor then. It closes as soon as it is idle once
    /// `close_when_idle` changes.
    pub async fn run(self, permit: DescriptorPermit, close_when_idle: watch::Receiver<u32>) {
        let _permit = permit;
        let _registration = self.registry.register(&self.state);
        // Without it responses are late, not wrong.
        let _ = self.stream.set_nodelay(true);
        let observed = RequestBytesStream { stream: self.stream.clone(), state: self.state.clone() };
        let http_connection = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .header_read_timeout(None)
            .serve_connection(TokioIo::new(observed), service_fn(|request| self.respond(request)));
        let mut http_connection = pin!(http_connection);
        match self.serve_until_closing(http_connection.as_mut(), close_when_idle).await {
            ServingEnd::Ended => socket::linger(&self.stream).await,
            ServingEnd::Aborted => {}
            ServingEnd::ReadyToClose => {
                http_connection.as_mut().graceful_shutdown();
                self.finish(http_connection).await;
            }
        }
    }

    /// Answers one request of the connection.
    async fn respond(&self, request: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
        let framing = self.state.request_started(&request);
        let mut response = tokio::select! {
            biased;
            response = self.handler.handle(request, framing, || self.state.request_received()) => response,
            () = socket::peer_closed(&self.stream) => {
                self.state.abort();
                // The abort drops the connection, and this future with it.
                pending().await
            }
        };
        if self.state.is_closing() {
            close_connection(&mut response);
        }
        self.state.request_completed();
        Ok(response)
    }

    /// Drives the connection until it ends, is aborted, or is closing with nothing under way.
    ///
    /// A request that was read in part or is still unread would be lost if its connection closed now. It is served
    /// first, and its response says that the connection closes.
    async fn serve_until_closing(
        &self,
        mut http_connection: Pin<&mut impl Future>,
        mut close_when_idle: watch::Receiver<u32>,
    ) -> ServingEnd {
        // The first request of a new connection may be unread, so only one that stays without a request counts as idle.
        let mut first_request_timeout = pin!(sleep(FIRST_REQUEST_TIMEOUT));
        let mut first_request_awaited = true;
        let mut close_due = Instant::now() + CLOSE_TIMEOUT;
        while !self.ready_to_close() {
            tokio::select! {
                biased;
                _ = http_connection.as_mut() => return ServingEnd::Ended,
                () = self.state.abort_requested() => return ServingEnd::Aborted,
                // A request that never ends would hold the descriptor for ever. Its rest may have come just now.
                () = self.state.give_up_requested() => {
                    if self.state.may_give_up_partial_request(|| socket::has_unread_bytes(&self.stream)) {
                        return ServingEnd::Aborted;
                    }
                }
                () = self.state.close_requested() => close_due = self.start_closing(),
                Ok(()) = close_when_idle.changed() => close_due = self.start_closing(),
                // Bounds a client that neither completes a request head nor reads its last response.
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

    /// Makes the connection close when idle, and returns when it has to have closed.
    fn start_closing(&self) -> Instant {
        self.state.start_closing();
        Instant::now() + CLOSE_TIMEOUT
    }

    fn ready_to_close(&self) -> bool {
        self.state.is_closing() && self.state.nothing_under_way() && !socket::has_unread_bytes(&self.stream)
    }

    /// Lets a connection that was shut down write what is left, for as long as a request is in progress on it.
    async fn finish(&self, mut http_connection: Pin<&mut impl Future>) {
        while timeout(CLOSE_TIMEOUT, http_connection.as_mut()).await.is_err() {
            if !self.state.request_in_progress() {
                return;
            }
        }
    }
}
