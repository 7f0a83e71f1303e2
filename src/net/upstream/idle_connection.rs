//! A connection to an endpoint between two requests, of which only the socket is kept.

use std::cell::RefCell;
use std::future::poll_fn;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::task::{spawn_local, AbortHandle};
use tokio::time::Instant;

use crate::net::http_client::RestingSocket;
use crate::net::upstream::endpoint_permit::EndpointPermit;
use crate::net::upstream::pool::EndpointConnection;

/// A connection without an open request. Dropping it closes it.
pub(super) struct IdleConnection {
    state: Rc<RefCell<State>>,
    /// The task that notices the end of the connection.
    watcher: AbortHandle,
    idle_since: Instant,
}

/// What is left of the connection.
enum State {
    /// It is being reduced to its socket.
    Reducing,
    /// Its socket.
    Resting(RestingSocket<EndpointPermit>),
    /// Nothing: it has ended or was taken.
    Ended,
}

impl State {
    /// Completes once the connection can carry no further request.
    fn poll_ended(&self, context: &mut Context<'_>) -> Poll<()> {
        match self {
            State::Reducing => Poll::Pending,
            State::Resting(socket) => socket.poll_ended(context),
            State::Ended => Poll::Ready(()),
        }
    }
}

impl IdleConnection {
    /// Keeps a connection on which a response was read completely.
    pub(super) fn new(connection: EndpointConnection) -> Self {
        let state = Rc::new(RefCell::new(State::Reducing));
        let watcher = spawn_local(watch(state.clone(), connection)).abort_handle();
        IdleConnection { state, watcher, idle_since: Instant::now() }
    }

    /// Returns since when no request has been open.
    pub(super) fn idle_since(&self) -> Instant {
        self.idle_since
    }

    /// Returns for how long no request has been open.
    pub(super) fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Returns whether the connection is open, as far as this side knows.
    pub(super) fn is_open(&self) -> bool {
        !matches!(*self.state.borrow(), State::Ended)
    }

    /// Returns the socket for a further request; `None` if the connection has ended or is still being
    /// reduced to its socket.
    pub(super) fn into_socket(self) -> Option<RestingSocket<EndpointPermit>> {
        match self.state.replace(State::Ended) {
            State::Resting(socket) if !socket.has_ended() => Some(socket),
            _ => None,
        }
    }
}

impl Drop for IdleConnection {
    fn drop(&mut self) {
        self.watcher.abort();
        self.state.replace(State::Ended);
    }
}

/// Reduces a connection to its socket and closes it when it ends.
async fn watch(state: Rc<RefCell<State>>, connection: EndpointConnection) {
    let socket = connection.into_resting().await;
    if let Some(socket) = &socket {
        socket.permit().rest();
    }
    state.replace(socket.map_or(State::Ended, State::Resting));
    poll_fn(|context| state.borrow().poll_ended(context)).await;
    state.replace(State::Ended);
}
