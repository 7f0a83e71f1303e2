//! Pauses between calls to a service that all nodes share.

use std::time::Duration;

use edge_node::net::discovery::backoff::Backoff;

#[test]
fn pauses_double_to_the_most_and_nodes_do_not_keep_step() {
    let (first, most) = (Duration::from_secs(1), Duration::from_secs(8));
    let mut ends = Vec::new();
    for seed in 0..100 {
        let mut backoff = Backoff::new(seed, first, most);
        let pauses: Vec<_> = (0..6).map(|_| backoff.next_pause()).collect();
        for (pause, nominal) in pauses.iter().zip([1, 2, 4, 8, 8, 8]) {
            let nominal = Duration::from_secs(nominal);
            assert!((nominal / 2..=nominal * 3 / 2).contains(pause), "{pause:?} for {nominal:?}");
        }
        ends.push(pauses.iter().sum::<Duration>());
        backoff.reset();
        assert!(backoff.next_pause() <= first * 3 / 2);
        assert!(backoff.random_part_of(first) <= first);
    }
    ends.sort();
    let (early, late) = (ends[10], ends[90]);
    assert!(late > early + Duration::from_secs(5), "most of the nodes within {:?}", late - early);
}
