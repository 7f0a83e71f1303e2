//! Endpoint lists for the tests, as discovery sends them.

use edge_node::decision::EndpointId;
use edge_node::net::discovery::endpoint_id::endpoint_id;
use edge_node::net::discovery::endpoints::Endpoints;
use edge_node::net::discovery::labels::PlacementLabels;
use edge_node::net::discovery::parser::EndpointList;
use edge_node::net::discovery::snapshot::AppliedList;
use edge_node::net::discovery::MAX_LIST_BYTES;
use serde_json::{json, Value};

use crate::fakes::{active, endpoint_entry, FakeEndpoint};

/// How many endpoints a list names.
pub const SIZES: [usize; 3] = [200, 4_600, 46_000];
/// How many endpoints the longest list expected names.
pub const LONGEST: usize = SIZES[2];

/// The name of an endpoint, as the protocol has it.
pub fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

/// The id of an endpoint.
pub fn id(number: usize) -> EndpointId {
    endpoint_id(&name(number))
}

/// The entry of an endpoint at an address of its own.
pub fn numbered(number: usize, status: &str) -> Value {
    let [_, second, third, fourth] = (number as u32).to_be_bytes();
    endpoint_entry(&name(number), ([127, second + 1, third, fourth], 9).into(), "a", status)
}

/// Entries of endpoints that are up.
pub fn all_up(numbers: impl IntoIterator<Item = usize>) -> Vec<Value> {
    numbers.into_iter().map(|number| numbered(number, "up")).collect()
}

/// A full list of this version.
pub fn snapshot(version: u64, entries: &[Value]) -> Value {
    json!({"index": version, "snapshot": true, "endpoints": entries})
}

/// A full list, read.
pub fn read(entries: &[Value]) -> EndpointList {
    let text = snapshot(2, entries).to_string();
    EndpointList::read(text.as_bytes()).expect("a list")
}

/// The zones and kinds of machines that the lists name.
pub fn labels() -> PlacementLabels {
    PlacementLabels::new(vec!["a".into()], vec!["m1".into()])
}

/// What is known after this full list.
pub fn with_snapshot(known: &Endpoints, entries: &[Value]) -> AppliedList {
    known.with_snapshot(read(entries).entries(), &labels())
}

/// The longest list, indented, with names twice as long as the protocol's and one malformed entry.
pub fn longest_list(version: u64, endpoint: &FakeEndpoint) -> String {
    let name = |number: usize| format!("s-{version:08x}{number:010x}");
    let mut entries: Vec<Value> =
        (0..LONGEST).map(|number| active(&name(number), endpoint.address)).collect();
    entries[LONGEST / 2] = json!({"name": 7});
    let text = serde_json::to_string_pretty(&snapshot(version, &entries)).expect("JSON");
    assert!((8 << 20..MAX_LIST_BYTES).contains(&text.len()), "{} bytes", text.len());
    text
}
