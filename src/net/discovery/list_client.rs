//! Calls discovery over HTTP: sends a request for a list and reads the response to its end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::HOST;
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use crate::net::discovery::apply::ReceivedList;
use crate::net::discovery::call_times::{finish_by, OverdueTimer};
use crate::net::discovery::error::{CallError, DiscoveryError, MAX_LIST_BYTES};
use crate::net::discovery::list_call::{CallStage, ListCall};
use crate::net::discovery::response_bytes::{ResponseBuffer, ResponseBytes};
use crate::net::http_client::HttpConnection;

/// The head of a response, and the connection on which its body arrives.
struct ResponseHead {
    connection: HttpConnection,
    response: Response<Incoming>,
}

/// The complete response to a call.
pub(super) struct ListResponse {
    body: ResponseBuffer,
    /// The connection on which the response arrived.
    connection: HttpConnection,
}

impl ListResponse {
    /// Parses the list. Returns it, and the connection for the next call.
    ///
    /// # Errors
    /// If the list is malformed or cannot be applied.
    pub(super) async fn parse(self) -> Result<ParsedResponse, DiscoveryError> {
        let received = ReceivedList::read(self.body.into_text()).await.map_err(DiscoveryError::Worker)?;
        let received = received.map_err(DiscoveryError::Malformed)?;
        if received.list.is_usable() {
            Ok(ParsedResponse { received, connection: self.connection })
        } else {
            Err(DiscoveryError::NoReadableEntry)
        }
    }
}

/// The list in the response to a call.
pub(super) struct ParsedResponse {
    pub(super) received: ReceivedList,
    /// The connection on which the response arrived, for the next call.
    pub(super) connection: HttpConnection,
}

/// The progress of one call.
pub(super) struct CallProgress {
    pub(super) call: ListCall,
    pub(super) began_at: Instant,
    /// When the call is overdue.
    pub(super) overdue: OverdueTimer,
    stage: Cell<CallStage>,
}

impl CallProgress {
    /// Starts the times of a call that begins now.
    pub(super) fn new(call: ListCall) -> Self {
        let began_at = Instant::now();
        let overdue = OverdueTimer::new(began_at, call.overdue_after());
        CallProgress { call, began_at, overdue, stage: Cell::default() }
    }

    /// Returns the error of this call, which fails now for the reason `source`.
    pub(super) fn error(&self, source: DiscoveryError) -> CallError {
        CallError { call: self.call, elapsed: self.began_at.elapsed(), source }
    }

    /// Returns the error of this call, whose response is not complete.
    pub(super) fn incomplete(&self) -> CallError {
        self.error(DiscoveryError::Incomplete(self.stage.get()))
    }
}

/// Calls discovery at an address that can be replaced while calls are in flight.
pub(super) struct ListClient {
    pub(super) address: Cell<SocketAddr>,
    /// The bytes of the responses to all calls in flight.
    response_bytes: Rc<ResponseBytes>,
}

impl ListClient {
    pub(super) fn new(address: SocketAddr) -> Self {
        ListClient { address: Cell::new(address), response_bytes: Rc::default() }
    }

    /// Requests a list and returns the response when it is complete, on `kept` if that connection is open, or
    /// else on a new one.
    ///
    /// # Errors
    /// Returns an error if the call fails, or if the response is not complete within `time_limit`.
    pub(super) async fn call(
        &self,
        kept: Option<HttpConnection>,
        progress: &CallProgress,
        time_limit: Duration,
    ) -> Result<ListResponse, CallError> {
        let response = finish_by(progress.began_at + time_limit, self.receive(kept, progress)).await;
        response.ok_or_else(|| progress.incomplete())?.map_err(|source| progress.error(source))
    }

    async fn receive(
        &self,
        kept: Option<HttpConnection>,
        progress: &CallProgress,
    ) -> Result<ListResponse, DiscoveryError> {
        let ResponseHead { connection, response } = self.send(kept, progress).await?;
        let status = response.status();
        let mut body = self.response_bytes.buffer();
        read_body(response.into_body(), &mut body, progress).await?;
        if status == StatusCode::OK {
            Ok(ListResponse { body, connection })
        } else {
            Err(DiscoveryError::Status(status))
        }
    }

    /// Sends a request, on the kept connection if it is open, and returns the head of its response.
    async fn send(
        &self,
        kept: Option<HttpConnection>,
        progress: &CallProgress,
    ) -> Result<ResponseHead, DiscoveryError> {
        let mut connection = match kept.filter(HttpConnection::is_open) {
            Some(connection) => connection,
            None => HttpConnection::open(self.address.get(), ()).await.map_err(DiscoveryError::Connect)?,
        };
        let request = Request::get(progress.call.path())
            .header(HOST, self.address.get().to_string())
            .body(Full::<Bytes>::default())
            .map_err(DiscoveryError::InvalidRequest)?;
        progress.stage.set(CallStage::AwaitingResponse);
        let response = connection.send(request).await.map_err(DiscoveryError::Send)?;
        Ok(ResponseHead { connection, response })
    }
}

/// Reads the body of a response into `text`. Returns an error if the body exceeds [`MAX_LIST_BYTES`], or all
/// responses together exceed their bound.
async fn read_body(
    mut body: Incoming,
    text: &mut ResponseBuffer,
    progress: &CallProgress,
) -> Result<(), DiscoveryError> {
    let announced_bytes = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if announced_bytes > MAX_LIST_BYTES {
        return Err(DiscoveryError::TooLong);
    }
    text.expect_length(announced_bytes);
    progress.stage.set(CallStage::ReadingBody(0));
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(DiscoveryError::Body)?;
        let Ok(data) = frame.into_data() else { continue };
        if text.len() + data.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::TooLong);
        }
        if !text.append(&data) {
            return Err(DiscoveryError::TooLongTogether);
        }
        progress.stage.set(CallStage::ReadingBody(text.len()));
        progress.overdue.bytes_arrived(Instant::now());
    }
    Ok(())
}
