//! How the node handles a response whose stated length is smaller than the response that the endpoint sent.

mod fakes;

use fakes::{assert_failed, one_endpoint, request, OneEndpoint, ReceivedRequest};

/// What the endpoint sends behind the last byte that the stated length covers.
const REST: &str = "\"count\":1234567}";

/// Returns a response that states a length of `body` alone, although `rest` follows.
fn response_with_rest(version: &str, headers: &str, body: &str, rest: &str) -> String {
    format!("{version} 200 OK\r\n{headers}Content-Length: {}\r\n\r\n{body}{rest}", body.len())
}

/// Guards against serving the beginning of a response as the whole: the stated length was 12 bytes too small,
/// and clients got status 200 with a body that no endpoint had made.
#[test]
fn response_with_a_stated_length_that_is_too_small_is_not_served_shortened() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let long_body = "x".repeat(20_000);
    let responses = [
        response_with_rest("HTTP/1.1", "", "{\"site\":\"djoudj\",", REST),
        response_with_rest("HTTP/1.1", "Connection: close\r\n", "{\"site\":\"djoudj\",", REST),
        response_with_rest("HTTP/1.0", "", "{\"site\":\"djoudj\",", REST),
        response_with_rest("HTTP/1.1", "", "", REST),
        response_with_rest("HTTP/1.1", "", &long_body, REST),
        response_with_rest("HTTP/1.1", "", "{\"site\":\"djoudj\"", "}"),
        response_with_rest("HTTP/1.1", "", "", "HTTP/1.1 200 OK"),
    ];
    let sends: [fn(ReceivedRequest, &[u8]); 2] =
        [ReceivedRequest::send_raw, ReceivedRequest::send_raw_and_close];
    for (row, response) in responses.iter().enumerate() {
        for (column, send) in sends.into_iter().enumerate() {
            client.send(&request("post", &format!("p-{row}-{column}")));
            send(endpoint.next_request(), response.as_bytes());
            assert_failed(&client.response());
        }
    }
}

/// Guards against serving a response with the start of its duplicate, which fills up a stated length that is too
/// large.
#[test]
fn response_with_a_stated_length_that_reaches_into_a_duplicate_is_not_served() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let response = "HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\nfirst";
    client.send(&request("post", "p-1"));
    endpoint.next_request().send_raw(format!("{response}{response}").as_bytes());
    assert_failed(&client.response());
}

/// Guards against failing a request that may be repeated because one response has a length that is too small.
#[test]
fn request_that_may_be_repeated_is_retried_after_a_response_with_a_length_that_is_too_small() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for class in ["lookup", "slip"] {
        let id = format!("id-{class}");
        client.send(&request(class, &id));
        let response = response_with_rest("HTTP/1.1", "", "{\"site\":\"djoudj\",", REST);
        endpoint.next_request().send_raw(response.as_bytes());
        let retry = endpoint.next_request();
        assert_eq!(retry.request_id(), id);
        retry.respond_ok("again");
        client.assert_ok("again");
    }
}

/// Guards against serving a shortened body that arrives in a segment of its own, behind that of its head.
#[test]
fn body_that_arrives_behind_its_head_with_surplus_bytes_is_not_served_shortened() {
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    let response = response_with_rest("HTTP/1.1", "", "{\"site\":\"djoudj\",", REST);
    let (head, body) = response.split_at(response.find("{").expect("the response has a body"));
    client.send(&request("post", "p-1"));
    let mut received = endpoint.next_request();
    received.send_part(head.as_bytes());
    received.send_raw(body.as_bytes());
    assert_failed(&client.response());
}

/// Guards against serving the beginning of a response as the whole where its stated end is also the end of what
/// the node reads at once: the rest lay unread in the socket, and a response with `Connection: close` was served.
#[test]
fn response_whose_stated_end_is_the_end_of_a_read_is_not_served_shortened() {
    /// How many bytes the node reads first on a connection.
    const READ_BYTES: usize = 8 * 1024;
    let OneEndpoint { endpoint, edge: _edge, mut client } = one_endpoint();
    for headers in ["", "Connection: close\r\n"] {
        let head_bytes =
            response_with_rest("HTTP/1.1", headers, &"x".repeat(READ_BYTES), "").len() - READ_BYTES;
        for stated_end in READ_BYTES - 2..=READ_BYTES + 2 {
            let body = "x".repeat(stated_end - head_bytes);
            client.send(&request("post", &format!("p-{}-{stated_end}", headers.len())));
            let response = response_with_rest("HTTP/1.1", headers, &body, REST);
            endpoint.next_request().send_raw(response.as_bytes());
            assert_failed(&client.response());
        }
    }
}
