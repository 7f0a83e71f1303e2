//! Builds endpoint lists for the tests, in the format in which discovery sends them.

use edge_node::decision::EndpointId;
use edge_node::net::discovery::endpoint_id::endpoint_id;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::labels::PlacementLabels;
use edge_node::net::discovery::parser::EndpointList;
use edge_node::net::discovery::snapshot::AppliedList;
use edge_node::net::discovery::MAX_LIST_BYTES;
use serde_json::{json, Value};

use crate::fakes::{active, endpoint_entry, FakeEndpoint};

/// The numbers of endpoints on the lists under test.
pub const SIZES: [usize; 3] = [200, 4_600, 46_000];
/// The number of endpoints on the longest list expected.
pub const LONGEST: usize = SIZES[2];

/// Returns the name of an endpoint, in the format of the protocol.
pub fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// Returns the id of an endpoint.
pub fn id(number: usize) -> EndpointId {
    endpoint_id(&name(number))
}

/// Returns the entry of an endpoint at an address of its own.
pub fn numbered(number: usize, status: &str) -> Value {
    let [_, second, third, fourth] = (number as u32).to_be_bytes();
    endpoint_entry(&name(number), ([127, second + 1, third, fourth], 9).into(), "a", status)
}

/// Returns entries of endpoints that are up.
pub fn all_up(numbers: impl IntoIterator<Item = usize>) -> Vec<Value> {
    numbers.into_iter().map(|number| numbered(number, "up")).collect()
}

/// Returns a full list of this version.
pub fn snapshot(version: u64, entries: &[Value]) -> Value {
    json!({"index": version, "snapshot": true, "endpoints": entries})
}

/// Returns a parsed full list, of version 2.
pub fn read(entries: &[Value]) -> EndpointList {
    let text = snapshot(2, entries).to_string();
    EndpointList::read(text.as_bytes()).expect("text should be a valid list")
}

/// Returns the zones and machine kinds that occur on the lists.
pub fn labels() -> PlacementLabels {
    PlacementLabels::new(vec!["a".into()], vec!["m1".into()])
}

/// Returns the result of applying a full list to the known endpoints.
pub fn with_snapshot(known: &Endpoints, entries: &[Value]) -> AppliedList {
    known.with_snapshot(read(entries).entries(), &labels())
}

/// Returns the text of the longest list. It is indented, its names are twice as long as the protocol's, and
/// one of its entries is malformed.
pub fn longest_list(version: u64, endpoint: &FakeEndpoint) -> String {
    let name = |number: usize| format!("s-{version:08x}{number:010x}");
    let mut entries: Vec<Value> =
        (0..LONGEST).map(|number| active(&name(number), endpoint.address)).collect();
    entries[LONGEST / 2] = json!({"name": 7});
    let text =
        serde_json::to_string_pretty(&snapshot(version, &entries)).expect("list should serialize to JSON");
    assert!(
        (8 << 20..MAX_LIST_BYTES).contains(&text.len()),
        "list has {} bytes, expected from 8 MiB to MAX_LIST_BYTES",
        text.len()
    );
    text
}
