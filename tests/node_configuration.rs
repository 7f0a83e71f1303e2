//! A node exits if its configuration is unusable, and applies new service addresses while it runs.

mod fakes;

use std::net::TcpListener;

use fakes::{
    active, assert_served_by, paid_request, request, run_until_exit, FakeCounter, FakeDiscovery,
    FakeEndpoint, NodeConfiguration,
};

#[test]
fn unusable_configuration_makes_the_node_exit_with_one_line() {
    let with = |field: &str, value: &str| NodeConfiguration::new(&[]).set_text(field, value).to_text();
    let other_listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a loopback port");
    let address_in_use = other_listener.local_addr().expect("failed to get the listener's address");
    let unusable = [
        "{".to_string(),
        "{}".to_string(),
        with("listen", "nowhere"),
        with("discovery", "nowhere:x"),
        with("counter", ""),
        with("seed", "seed"),
        with("listen", &address_in_use.to_string()),
        NodeConfiguration::new(&[]).memory_mb(0.0).to_text(),
        NodeConfiguration::new(&[]).memory_mb(-32.0).to_text(),
    ];
    for configuration in unusable {
        let exit = run_until_exit(&configuration);
        assert!(!exit.status.success(), "the node accepted this configuration: {configuration}");
        assert!(exit.log.starts_with("edge-node: "), "unexpected log: {}", exit.log);
        assert_eq!(exit.log.lines().count(), 1, "expected one line, got: {}", exit.log);
    }
}

#[test]
fn reload_moves_discovery_and_the_counter_service() {
    let old_endpoint = FakeEndpoint::start();
    let new_endpoint = FakeEndpoint::start();
    let old_discovery = FakeDiscovery::start();
    let old_counter = FakeCounter::start();
    let new_counter = FakeCounter::start();
    // The test does not answer the last calls to the counter service, so these calls end only at their
    // timeout. It is 3 s here.
    let configuration = NodeConfiguration::new(&[active("s-1", old_endpoint.address)])
        .discovery(old_discovery.address)
        .counter(old_counter.address)
        .counter_timeout(3_000_000);
    let mut edge = configuration.start();
    old_discovery.wait_for_watch();
    // The node moves to a new counter service while a call is in flight. The old counter service answers this
    // call.
    let mut client = edge.connect();
    client.send(&paid_request("post", "p-1"));
    let mut call = old_counter.next_call();
    // The new discovery service has its own versions, which are lower, and its list has another endpoint.
    let new_discovery = FakeDiscovery::with_snapshot(0, &[active("s-2", new_endpoint.address)]);
    let configuration = configuration.discovery(new_discovery.address).counter(new_counter.address);
    edge.reload(&configuration.to_text());
    new_discovery.wait_for_watch_from(0);
    call.reply_total(call.amount);
    new_endpoint.next_request().respond_ok("moved");
    client.assert_ok("moved");
    // The node holds no lease for account 8, so it requests units from the new counter service.
    let text = paid_request("post", "p-2").text();
    client.send_raw(&text.replace("key=0000000000000007", "key=0000000000000008"));
    let mut call = new_counter.next_call();
    call.reply_total(call.amount);
    new_endpoint.next_request().respond_ok("ok");
    client.assert_ok("ok");
    assert!(old_counter.poll_call().is_none(), "the old counter service received a call after the move");

    // The node logs one line for each unusable configuration and keeps the old one. A reload with an
    // unchanged configuration has no effect either.
    for unusable in ["{", "{\"discovery\":\"nowhere\"}"] {
        edge.reload(unusable);
        let line = edge.next_log_line();
        assert!(line.starts_with("edge-node: the old configuration stays: "), "unexpected log line: {line}");
    }
    edge.reload(&configuration.to_text());
    new_discovery.publish(active("s-2", new_endpoint.address));
    assert_served_by(&new_endpoint, &mut client, &request("post", "p-3"));
    old_endpoint.assert_no_request();
    edge.terminate();
    edge.signal("HUP");
    assert!(edge.wait_for_exit().status.success());
}
