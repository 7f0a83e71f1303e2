//! Calls discovery over HTTP: sends a request for a list and reads the response to its end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::net::discovery::apply::ReceivedList;
use crate::net::discovery::error::{CallError, DiscoveryError, MAX_LIST_BYTES};
use crate::net::discovery::list_call::{CallStage, ListCall};
use crate::net::discovery::timeout::{finish_by, CallTimeout};
use crate::net::http_client::HttpConnection;

/// The head of a response, and the connection on which its body arrives.
struct ResponseHead {
    connection: HttpConnection,
    response: Response<Incoming>,
}

/// Calls discovery at an address that can be replaced while calls are in flight.
pub(super) struct ListClient {
    pub(super) address: Cell<SocketAddr>,
}

impl ListClient {
    /// Requests a list and returns it when it is complete. Discovery has to begin its response within `wait`;
    /// while the body keeps arriving, the limits of [`CallTimeout`] apply.
    ///
    /// The call uses `connection` if it is open, or else opens a new one. After a complete response with
    /// status 200 the connection is left in `connection`; otherwise `connection` is `None`.
    ///
    /// # Errors
    /// Returns an error if the call fails, or if the list in the response is malformed or cannot be applied.
    pub(super) async fn call(
        &self,
        connection: &mut Option<HttpConnection>,
        call: ListCall,
        wait: Duration,
    ) -> Result<ReceivedList, CallError> {
        let began_at = Instant::now();
        let result = self.receive(connection, call, CallTimeout::new(began_at, wait)).await;
        result.map_err(|source| CallError { call, elapsed: began_at.elapsed(), source })
    }

    async fn receive(
        &self,
        connection: &mut Option<HttpConnection>,
        call: ListCall,
        timeout: CallTimeout,
    ) -> Result<ReceivedList, DiscoveryError> {
        let stage = Cell::default();
        let path = call.path();
        let send = self.send(connection.take(), &path, &stage);
        let sent = finish_by(timeout.deadline(), send).await;
        let head = sent.ok_or_else(|| DiscoveryError::TimedOut(stage.get()))??;
        let status = head.response.status();
        let text = read_text(head.response.into_body(), timeout).await?;
        if status != StatusCode::OK {
            return Err(DiscoveryError::Status(status));
        }
        *connection = Some(head.connection);
        let received = ReceivedList::read(text).await.map_err(DiscoveryError::Worker)?;
        let received = received.map_err(DiscoveryError::Malformed)?;
        if received.list.is_usable() {
            Ok(received)
        } else {
            Err(DiscoveryError::NoReadableEntry)
        }
    }

    /// Sends a request, on the kept connection if it is open, and returns the head of its response.
    async fn send(
        &self,
        kept: Option<HttpConnection>,
        path: &str,
        stage: &Cell<CallStage>,
    ) -> Result<ResponseHead, DiscoveryError> {
        let mut connection = match kept.filter(HttpConnection::is_open) {
            Some(connection) => connection,
            None => HttpConnection::open(self.address.get(), ()).await.map_err(DiscoveryError::Connect)?,
        };
        let request = Request::get(path)
            .header(HOST, self.address.get().to_string())
            .body(Full::<Bytes>::default())
            .map_err(DiscoveryError::InvalidRequest)?;
        stage.set(CallStage::AwaitingResponse);
        let response = connection.send(request).await.map_err(DiscoveryError::Send)?;
        Ok(ResponseHead { connection, response })
    }
}

/// Reads the body of a response. Returns an error if the body exceeds [`MAX_LIST_BYTES`] or misses its
/// deadline.
async fn read_text(mut body: Incoming, timeout: CallTimeout) -> Result<Vec<u8>, DiscoveryError> {
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > MAX_LIST_BYTES {
        return Err(DiscoveryError::TooLong);
    }
    let mut text = Vec::with_capacity(announced_bytes);
    let mut deadline = timeout.deadline();
    loop {
        let next = finish_by(deadline, body.frame()).await;
        let next = next.ok_or(DiscoveryError::TimedOut(CallStage::ReadingBody(text.len())))?;
        let Some(frame) = next else { return Ok(text) };
        let frame = frame.map_err(DiscoveryError::Body)?;
        let Ok(data) = frame.into_data() else { continue };
        if text.len() + data.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
        text.extend_from_slice(&data);
        deadline = timeout.deadline_after_bytes(Instant::now());
    }
}
