//! The memory that the bodies of all open requests and responses may hold together.

use std::future::Future;
use std::pin::pin;
use std::task::{Context, Poll, Waker};

use edge_node::net::http_body::{BodyMemory, MAX_BODY_BYTES};

/// The memory limit of a process whose bodies may hold 16 bodies of the largest length, and requests 12 of
/// these.
const MEMORY_LIMIT: usize = 64 * MAX_BODY_BYTES;
/// How many bodies of the largest length requests may hold.
const REQUEST_BODIES: usize = 12;
/// How many bodies of the largest length are kept for responses.
const RESPONSE_BODIES: usize = 4;

/// Polls a future once.
fn poll<T>(future: impl Future<Output = T>) -> Poll<T> {
    pin!(future).poll(&mut Context::from_waker(Waker::noop()))
}

#[test]
fn new_requests_leave_a_part_to_responses() {
    let memory = BodyMemory::new(MEMORY_LIMIT);
    let requests: Vec<_> =
        (0..REQUEST_BODIES).map(|_| memory.try_reserve_for_request(MAX_BODY_BYTES)).collect();
    assert!(requests.iter().all(Option::is_some));
    assert!(memory.try_reserve_for_request(1).is_none());
    let responses: Vec<_> =
        (0..RESPONSE_BODIES).map(|_| poll(memory.reserve_for_response(MAX_BODY_BYTES))).collect();
    assert!(responses.iter().all(Poll::is_ready));
    assert!(memory.try_reserve_for_request(0).is_none(), "there is no memory for the response either");
}

#[test]
fn response_waits_until_there_is_memory() {
    let memory = BodyMemory::new(MEMORY_LIMIT);
    let all = REQUEST_BODIES + RESPONSE_BODIES;
    let mut held: Vec<_> = (0..all).map(|_| poll(memory.reserve_for_response(MAX_BODY_BYTES))).collect();
    let mut waiting = pin!(memory.reserve_for_response(1));
    assert!(poll(waiting.as_mut()).is_pending());
    held.pop();
    assert!(poll(waiting.as_mut()).is_ready());
}

#[test]
fn reservation_shrinks_to_the_body_and_ends_with_its_last_copy() {
    let memory = BodyMemory::new(MEMORY_LIMIT);
    let reserve = || memory.try_reserve_for_request(MAX_BODY_BYTES);
    // Each reservation is for the largest length, and the body that comes is short.
    let bodies: Vec<_> = (0..10 * REQUEST_BODIES)
        .map(|_| reserve().expect("the bodies before are short").hold(vec![b'x'; 100]))
        .collect();
    drop(bodies);
    let whole = |_| reserve().expect("all memory is free").hold(vec![b'x'; MAX_BODY_BYTES]);
    let mut bodies: Vec<_> = (0..REQUEST_BODIES).map(whole).collect();
    let copy = bodies[0].clone();
    bodies.swap_remove(0);
    assert!(reserve().is_none(), "a copy of the body is left");
    drop(copy);
    assert!(reserve().is_some());
}

#[test]
fn smallest_memory_holds_a_request_and_its_response() {
    let memory = BodyMemory::new(1);
    let _request = memory.try_reserve_for_request(MAX_BODY_BYTES).expect("there is memory for a request");
    assert!(poll(memory.reserve_for_response(MAX_BODY_BYTES)).is_ready());
}
