//! During a graceful shutdown the node must answer its requests and release its leases to the counter
//! service.

mod fakes;

use fakes::{
    active, assert_failed, assert_served_by, one_endpoint, paid_request, request, FakeCounter, FakeEndpoint,
    NodeConfiguration, OneEndpoint,
};

#[test]
fn shutdown_answers_pending_and_newly_arriving_requests() {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    let mut later_client = edge.connect();
    client.send(&request("post", "p-1"));
    let pending = endpoint.next_request();
    edge.terminate();
    // The node still accepts requests on new connections, and on an open connection until one of its
    // responses has the header `Connection: close`.
    loop {
        later_client.send(&request("post", "p-2"));
        endpoint.next_request().respond_ok("ok");
        let response = later_client.response();
        assert_eq!(response.status(), 200);
        if response.header("connection") == Some("close") {
            break;
        }
    }
    assert!(
        later_client.response_or_end().is_none(),
        "expected the connection to end after `Connection: close`, got a further response"
    );
    let mut new_client = edge.connect();
    assert_served_by(&endpoint, &mut new_client, &request("post", "p-3"));
    pending.respond_ok("pending");
    client.assert_ok("pending");
    let exit = edge.wait_for_exit();
    assert!(exit.status.success(), "{}", exit.log);
}

#[test]
fn shutdown_returns_the_lease() {
    let endpoint = FakeEndpoint::start();
    let counter = FakeCounter::start();
    let configuration = NodeConfiguration::new(&[active("s-1", endpoint.address)]);
    let edge = configuration.counter(counter.address).start();
    let mut client = edge.connect();
    client.send(&paid_request("post", "p-1"));
    let mut call = counter.next_call();
    let leased = call.amount;
    assert!(leased > 1.0);
    let mut total = leased;
    call.reply_total(total);
    endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
    edge.terminate();
    // The node may report other amounts to the counter service first. In the end it returns the lease less
    // the one unit of the request.
    let returned = loop {
        let mut call = counter.next_call();
        total += call.amount;
        call.reply_total(total);
        if call.amount < 0.0 {
            break call.amount;
        }
    };
    assert_eq!(returned, 1.0 - leased);
    assert!(edge.wait_for_exit().status.success());
}

/// The process is killed 3.7 s after SIGTERM, and requests without a response by then are lost. So the node
/// must fail a request whose endpoint does not respond before that.
#[test]
fn shutdown_does_not_wait_for_an_unresponsive_endpoint_forever() {
    let OneEndpoint { endpoint, edge, mut client } = one_endpoint();
    client.send(&request("post", "p-1"));
    let _unanswered = endpoint.next_request();
    edge.terminate();
    assert_failed(&client.response());
    assert!(edge.wait_for_exit().status.success());
}
