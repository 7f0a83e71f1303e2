//! The ids of endpoints.

use edge_node::net::discovery::endpoint_id::endpoint_id;

/// The two halves of an id.
#[derive(Debug, PartialEq)]
struct Halves {
    high: u64,
    low: u64,
}

fn halves(name: &str) -> Halves {
    let id = endpoint_id(name).0;
    Halves { high: id >> 32, low: id & 0xffff_ffff }
}

#[test]
fn name_gives_the_same_id_everywhere() {
    // Published values of FNV-1a and of one-at-a-time. If ids changed from build to build, nodes would differ.
    assert_eq!(halves("").high, 0x811c_9dc5);
    assert_eq!(halves("a"), Halves { high: 0xe40c_292c, low: 0xca2e_9442 });
    assert_eq!(halves("foobar").high, 0xbf9c_f968);
    assert_eq!(halves("The quick brown fox jumps over the lazy dog").low, 0x519e_91f5);
}
