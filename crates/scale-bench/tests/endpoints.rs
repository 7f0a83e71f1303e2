//! Tests of the fake endpoints over loopback connections.

mod common {
    pub mod connection;
    pub mod http;
}

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use common::connection::Connection;
use scale_bench::fakes::endpoints::{request_id, Endpoints, WorkModel};

/// Encodes a request with these headers, each of which ends with a line break.
fn post(headers: &str) -> String {
    format!("POST /x?key=1 HTTP/1.1\r\nHost: x\r\n{headers}Content-Length: 2\r\n\r\nhi")
}

fn post_with_id(id: &str) -> String {
    post(&format!("X-Request-Id: {id}\r\n"))
}

#[tokio::test]
async fn endpoints_count_arrivals_and_are_distinguished_by_address() {
    let work = WorkModel {
        seed: 1,
        mean: Duration::from_millis(2),
        exponential: true,
        body_length: 40,
        idle_timeout: Duration::from_secs(3600),
    };
    let endpoints = Endpoints::start(work, 10).expect("the endpoints should listen on the loopback device");
    let address = |last_byte| SocketAddr::from((Ipv4Addr::new(127, 1, 2, last_byte), endpoints.port()));
    let mut first = Connection::open(address(3)).await;
    let mut second = Connection::open(address(4)).await;
    for number in [3, 3, 4] {
        first.write(&post_with_id(&request_id(number))).await;
        let response = first.read_response().await;
        assert_eq!(response.status, 200);
        assert_eq!(response.body.as_bytes(), &work.response_body(number)[..]);
        assert_eq!(response.body.len(), 40);
        assert!(response.body.starts_with(&request_id(number)));
        assert!(endpoints.service_time(number) >= work.work_time(number));
    }
    second.write(&post_with_id(&request_id(9))).await;
    assert_eq!(second.read_response().await.status, 200);

    let unknown_id = request_id(10);
    for (request, status) in [(post_with_id(&unknown_id), 400), (post_with_id("3"), 400), (post(""), 404)] {
        second.write(&request).await;
        assert_eq!(second.read_response().await.status, status, "status of the request {request}");
    }
    second.send_get("/alive").await;
    assert_eq!(second.read_response().await.status, 200);

    let counts = endpoints.counts();
    assert_eq!(counts.connections, 2);
    assert_eq!(counts.endpoints_used, 2);
    assert_eq!(counts.attempts, 4);
    assert_eq!(counts.probes, 1);
    assert_eq!(counts.unknown_requests, 3);
    assert_eq!(endpoints.attempts(3), 2);
    assert_eq!(endpoints.attempts(9), 1);
    assert_eq!(endpoints.attempts(0), 0);
}
