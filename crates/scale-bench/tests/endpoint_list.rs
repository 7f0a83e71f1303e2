//! Tests of the endpoint list of the fake discovery agent.

mod common {
    pub mod lists;
}

use std::collections::{BTreeMap, BTreeSet};

use common::lists::{endpoint_list, list_shape};
use scale_bench::fakes::endpoint_list::{EndpointList, ListEntry, ListShape, Status};

fn by_name(entries: &[ListEntry]) -> BTreeMap<String, ListEntry> {
    entries.iter().map(|entry| (entry.name.clone(), entry.clone())).collect()
}

#[test]
fn endpoints_have_unique_names_and_unique_loopback_addresses() {
    let list = EndpointList::new(ListShape { name_length: 20, ..list_shape(46_000, 7) });
    let names: BTreeSet<_> = list.entries().iter().map(|entry| &entry.name).collect();
    let addresses: BTreeSet<_> = list.entries().iter().map(|entry| entry.address).collect();
    assert_eq!(names.len(), 46_000);
    assert_eq!(addresses.len(), 46_000);
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
    assert!(names.iter().all(|name| name.len() == 20));
}

/// Runs with the same seed can be compared only if they work on the same list and changes.
#[test]
fn same_seed_gives_the_same_list_and_changes() {
    let changed_list = |seed| {
        let mut list = endpoint_list(100, seed);
        for _ in 0..50 {
            list.make_next_change(1);
        }
        list.snapshot()
    };
    assert_eq!(changed_list(7), changed_list(7));
    assert_ne!(changed_list(7), changed_list(8));
}

/// A client that applies the delta from its version must not miss a change, however old its version is.
#[test]
fn delta_from_any_version_leads_to_the_current_list() {
    let mut list = endpoint_list(40, 3);
    let first_version = list.version();
    let mut versions = vec![(first_version, by_name(list.entries()))];
    for step in 0..300 {
        list.make_next_change(step);
        versions.push((list.version(), by_name(list.entries())));
    }
    let current = by_name(list.entries());
    assert!(current.len() >= 40);
    assert!(
        current.values().any(|entry| entry.started_at_ms > 0),
        "the changes should have started new endpoints"
    );
    for (version, mut entries) in versions {
        assert!(list.has_delta_from(version));
        let delta = list.delta_from(version);
        assert_eq!(delta.version, list.version());
        assert!(!delta.is_snapshot);
        for entry in delta.endpoints {
            if entry.status == Status::Removed {
                entries.remove(&entry.name);
            } else {
                entries.insert(entry.name.clone(), entry);
            }
        }
        assert_eq!(entries, current, "the delta from version {version} should lead to the current list");
    }
    list.replace_all();
    assert!(!list.has_delta_from(first_version));
    assert!(!list.has_delta_from(list.version() - 1));
    assert!(list.has_delta_from(list.version()));
    assert!(
        list.entries().iter().all(|entry| !current.contains_key(&entry.name)),
        "replace_all should keep no endpoint of the list before"
    );
}
