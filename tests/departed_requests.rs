//! How long the ids of requests whose client has left are remembered.

use edge_node::decision::RequestId;
use edge_node::net::departed_requests::DepartedRequests;

/// The largest number of ids that are remembered.
const MAX_IDS: u64 = 1024;

fn id(number: u64) -> RequestId {
    RequestId::from(format!("r{number}").as_str())
}

#[test]
fn id_is_remembered_until_the_deadline_of_its_request() {
    let mut departed = DepartedRequests::default();
    departed.add(id(1), 2_000);
    departed.add(id(2), 1_000);
    assert!(departed.contains(&id(1), 999) && departed.contains(&id(2), 999));
    assert!(departed.contains(&id(1), 1_000) && !departed.contains(&id(2), 1_000));
    assert!(!departed.contains(&id(1), 2_000) && !departed.contains(&id(3), 0));
}

/// Guards against memory that grows without end while clients send requests with long deadlines and leave.
#[test]
fn only_the_latest_ids_are_remembered() {
    let mut departed = DepartedRequests::default();
    for number in 0..=MAX_IDS {
        departed.add(id(number), u64::MAX);
    }
    assert!(!departed.contains(&id(0), 0));
    assert!(departed.contains(&id(1), 0) && departed.contains(&id(MAX_IDS), 0));
}
