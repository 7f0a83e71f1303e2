//! A request that arrives while its idle connection is being closed must be served and not lost.
//!
//! The node runs in the test's process. The test writes to the socket and requests the close before the
//! runtime can learn of the bytes.

mod fakes;

use fakes::in_process::{response_of, run, Server, READINESS_CHECK};

#[test]
fn unread_request_on_a_closing_idle_connection_is_served_with_connection_close() {
    run(async {
        let server = Server::start().await;
        let mut client = server.idle_client().await;
        // The runtime does not run between these two statements.
        client.send_raw(READINESS_CHECK);
        server.downstream.close_idle_connections();
        let (client, response) = response_of(client).await;
        let response =
            response.expect("expected a response to the unread request, got the end of the connection");
        assert_eq!(response.status(), 200);
        assert_eq!(response.header("connection"), Some("close"));
        let (_, end) = response_of(client).await;
        assert!(end.is_none(), "expected the connection to end after the response, got a further response");
    });
}
