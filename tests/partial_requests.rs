//! The conditions under which a request that has arrived in part may be given up.

use bytes::Bytes;
use edge_node::net::descriptor_budget::{DescriptorBudget, RESERVED_DESCRIPTORS};
use edge_node::net::downstream::connection_state::ConnectionState;
use http_body_util::Full;
use hyper::Request;

const HEAD: &str = "POST /post HTTP/1.1\r\nContent-Length: 5\r\n\r\n";

/// Returns the state of a connection on which `received` has arrived and which no longer counts as new.
fn connection_with(received: &str) -> ConnectionState {
    let state = ConnectionState::new(DescriptorBudget::new(RESERVED_DESCRIPTORS + 20), false);
    state.bytes_received(received.as_bytes());
    state.first_request_timed_out();
    state
}

/// Returns the request as hyper passes it on once its head has arrived.
fn request_with_body() -> Request<Full<Bytes>> {
    Request::new(Full::new(Bytes::from_static(b"slip!")))
}

#[test]
fn partial_request_that_is_not_overdue_is_given_up_only_if_none_of_it_is_unread() {
    let half_of_head = connection_with(&HEAD[..HEAD.len() / 2]);
    assert!(!half_of_head.may_give_up_partial_request(|| true));
    assert!(half_of_head.may_give_up_partial_request(|| false));

    let half_of_body = connection_with(HEAD);
    half_of_body.request_started(&request_with_body());
    half_of_body.bytes_received(b"sli");
    assert!(!half_of_body.may_give_up_partial_request(|| true));
    assert!(half_of_body.may_give_up_partial_request(|| false));
}

#[test]
fn request_that_has_arrived_in_full_is_not_given_up() {
    let state = connection_with(HEAD);
    state.request_started(&request_with_body());
    state.bytes_received(b"slip!");
    state.request_received();
    assert!(!state.may_give_up_partial_request(|| false));
    state.request_completed();
    assert!(state.has_no_request());
}
