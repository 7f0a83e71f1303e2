//! Which connections to endpoints the node reuses, and how it handles malformed responses.

mod fakes;

use std::thread::sleep;
use std::time::{Duration, Instant};

use fakes::{assert_failed, assert_served_by, one_endpoint, request, OneEndpoint};

#[test]
fn no_request_fails_when_the_endpoint_has_closed_an_idle_connection() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for number in 0..3 {
        assert_served_by(&endpoint, &mut client, &request("post", &format!("p-{number}")));
        endpoint.close_connections();
        // The endpoint's side has ended, so its close was sent before the next request.
        endpoint.assert_connection_ended();
    }
}

#[test]
fn idle_connections_are_not_reused_after_several_have_been_reset() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let mut resets = 0;
    for number in 0..20 {
        let connections_before = endpoint.connection_count();
        client.send(&request("lookup", &format!("l-{number}")));
        let mut received = endpoint.next_request();
        if number > 0 && endpoint.connection_count() > connections_before {
            assert!(resets > 0, "expected the connection to be reused before any reset, got a new one");
            return received.respond_ok("ok");
        }
        if number > 0 {
            resets += 1;
            received.close();
            received = endpoint.next_request();
        }
        received.respond_ok("ok");
        client.assert_ok("ok");
        sleep(Duration::from_millis(100));
    }
    panic!("expected a new connection after some resets, got none after {resets}");
}

#[test]
fn malformed_response_fails_at_once_and_its_endpoint_stays_in_use() {
    let endless_headers = format!("HTTP/1.1 200 OK\r\n{}", "X-More: and more\r\n".repeat(4_000));
    let malformed: [&[u8]; 10] = [
        b"\x00\xffnoise\r\n\r\n",
        b"HTTP/1.1 two hundred\r\n\r\n",
        endless_headers.as_bytes(),
        b"HTTP/1.1 200 OK\r\nContent-Le",
        b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nand it keeps coming",
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 9\r\n\r\nslip!",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nslip!\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nxyz\r\n",
        b"HTTP/1.1 200 OK\r\n\r\nwithout a length",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    ];
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for (number, bytes) in malformed.into_iter().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
        let received = endpoint.next_request();
        assert_eq!(received.request_id(), format!("p-{number}"), "expected the endpoint to stay in use");
        received.send_raw(bytes);
        assert_failed(&client.response());
    }
    // The body is shorter than its length, and no more bytes follow while the connection stays open.
    client.send(&request("lookup", "l-1"));
    endpoint.next_request().send_raw(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    endpoint.next_request().respond_ok("again");
    client.assert_ok("again");
}

#[test]
fn bytes_before_or_after_a_valid_response_affect_neither_it_nor_the_next() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n";
    let interim = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n";
    let responses = [
        format!("{valid}{valid}"),
        format!("{interim}{valid}"),
        format!("{interim}{valid}{valid}"),
        format!("{chunked}{chunked}"),
        format!("{chunked}noise"),
    ];
    for (number, response) in responses.iter().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
        endpoint.next_request().send_raw(response.as_bytes());
        client.assert_ok("first");
        assert_served_by(&endpoint, &mut client, &request("post", &format!("q-{number}")));
    }
}

/// Bytes behind a stated length that are no duplicate cannot be distinguished from the rest of a body whose
/// length is too small, so the response is not served.
#[test]
fn response_followed_by_noise_fails_and_the_next_is_served() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let valid = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst";
    let other = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother";
    let after = [
        "noise".to_string(),
        "\r\n".to_string(),
        other.to_string(),
        valid[..valid.len() - 1].to_string(),
        format!("{valid}noise"),
        "noise\r\n\r\nfirst".to_string(),
        format!("{other}first"),
    ];
    for (number, bytes_after) in after.iter().enumerate() {
        client.send(&request("post", &format!("p-{number}")));
        endpoint.next_request().send_raw(format!("{valid}{bytes_after}").as_bytes());
        assert_failed(&client.response());
        assert_served_by(&endpoint, &mut client, &request("post", &format!("q-{number}")));
    }
}

/// Guards against a duplicate of a response being matched to the next request: if the duplicate arrives some
/// milliseconds after the response, the next request could already use the connection. The node therefore
/// does not reuse a connection for 20 ms. Only rounds in which the next request arrives within that time
/// count.
#[test]
fn late_duplicate_response_is_not_matched_to_the_next_request() {
    let pause_before_reuse = Duration::from_millis(20);
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let mut rounds_in_time = 0;
    for number in 0..500 {
        let old_body = format!("old-{number}");
        let new_body = format!("new-{number}");
        client.send(&request("post", &format!("p-{number}")));
        let mut first = endpoint.next_request();
        let first_connection = first.node_address();
        let responded_at = Instant::now();
        first.send_response("200 OK", &old_body);
        assert_eq!(client.response().body, old_body.as_bytes());
        client.send(&request("post", &format!("q-{number}")));
        let next = endpoint.next_request();
        // The connection has been idle for less than the elapsed time.
        if responded_at.elapsed() < pause_before_reuse {
            assert_ne!(
                next.node_address(),
                first_connection,
                "expected a new connection within 20 ms, got the previous one"
            );
            rounds_in_time += 1;
            first.send_response("200 OK", &old_body);
        }
        next.respond_ok(&new_body);
        assert_eq!(client.response().body, new_body.as_bytes());
        if rounds_in_time == 5 {
            return;
        }
    }
    panic!("expected 5 rounds in which the next request arrived within 20 ms, got fewer");
}
