//! Tests of the bound on the memory of responses of discovery that are received at one time.

use std::rc::Rc;

use edge_node::net::discovery::response_bytes::{ResponseBytes, MAX_RESPONSE_BYTES};

/// Guards against many slow responses that arrive together and take the node over its memory.
#[test]
fn responses_together_are_bounded_and_those_that_end_make_room() {
    let all = Rc::<ResponseBytes>::default();
    let half = vec![b' '; MAX_RESPONSE_BYTES / 2];
    let [mut first, mut second, mut third] = [all.buffer(), all.buffer(), all.buffer()];
    assert!(first.append(&half));
    assert!(second.append(&half));
    assert!(!third.append(b"x"), "expected no room for a further byte");
    assert!(third.is_empty());
    drop(first);
    assert!(third.append(b"x"));
    assert!(!third.append(&half), "expected room for less than half of the bound");
    assert_eq!(second.into_text().len(), half.len());
    assert!(third.append(&half));
    assert_eq!(third.len(), half.len() + 1);
    assert_eq!(third.into_text().len(), half.len() + 1);
    let mut last = all.buffer();
    assert!(last.append(&half) && last.append(&half), "expected all bytes to be free again");
}
