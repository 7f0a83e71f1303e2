//! Descriptors that are all taken while discovery and the counter are down. The machine itself holds the node to them.

mod fakes;

use fakes::*;
use serde_json::json;

#[test]
fn idle_clients_that_fill_the_descriptors_keep_out_neither_discovery_nor_the_counter_nor_a_request() {
    let (old, new) = (App::new(), App::new());
    let (lists, counts) = (Down::new(), Down::new());
    let mut config = config(&[entry("s-1", old.address, "a", "up")]);
    config["discovery"] = json!(lists.address.to_string());
    config["counter"] = json!(counts.address.to_string());
    config["limits"]["sockets"] = json!(40);
    let edge = Edge::new(&config);
    // Requests that are held take a descriptor on either side.
    let mut busy: Vec<Client> = (0..5).map(|_| edge.client()).collect();
    let mut held = Vec::new();
    for (number, client) in busy.iter_mut().enumerate() {
        client.ask(&ask("post", &format!("held-{number}")));
        held.push(old.next());
    }
    // Many more than there are descriptors, each of which rests after an answer and stays open on its side.
    let mut idle = edge.clients_that_have_sent(["GET /up HTTP/1.1\r\nHost: n0\r\n\r\n"; 60]);
    idle.iter_mut().for_each(|client| assert_eq!(client.answer().status(), 200));
    // Discovery and the counter come back, and are heard.
    let (lists, counts) = (App::on(lists.comes_back()), Counts::on(counts.comes_back()));
    let list = json!({"index": 7, "snapshot": true, "endpoints": [entry("s-2", new.address, "a", "up")]});
    let told = |seen: &Seen| seen.message.first.contains("after=7&");
    let mut call = lists.next();
    while !told(&call) {
        call.answer("200 OK", "", &list.to_string());
        call = lists.next();
    }
    // The last one still rests.
    let [.., mut open] = idle;
    // A customer of its own, since a customer has one plan.
    let text = Ask { plan: "paid", ..ask("post", "p-1") }.text();
    open.raw(&text.replace("key=0000000000000007", "key=0000000000000008"));
    let mut call = counts.next();
    call.total(call.amount);
    new.next().answer("200 OK", "", "served");
    assert_eq!(open.answer().body, b"served");
    // So are those that were held all along.
    held.into_iter().for_each(|seen| seen.answer("200 OK", "", "held"));
    busy.iter_mut().for_each(|client| assert_eq!(client.answer().body, b"held"));
}
