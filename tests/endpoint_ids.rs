//! Tests of the ids that are derived from the names of endpoints.

use edge_node::net::discovery::endpoint_id::endpoint_id;

/// The high and the low 32 bits of an id.
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
fn id_halves_match_published_hash_values() {
    // The expected values are published ones of FNV-1a and of one-at-a-time. If ids changed between builds,
    // nodes of different builds would disagree on them.
    assert_eq!(halves("").high, 0x811c_9dc5);
    assert_eq!(halves("a"), Halves { high: 0xe40c_292c, low: 0xca2e_9442 });
    assert_eq!(halves("foobar").high, 0xbf9c_f968);
    assert_eq!(halves("The quick brown fox jumps over the lazy dog").low, 0x519e_91f5);
}
