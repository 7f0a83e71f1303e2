//! Endpoint lists for the tests of the fakes.

use scale_bench::fakes::endpoint_list::{EndpointList, ListShape};

/// Returns the shape of a list with 3 zones and the shortest names.
pub fn list_shape(endpoints: u32, seed: u64) -> ListShape {
    ListShape { endpoints, seed, zones: 3, name_length: 10, port: 4000 }
}

pub fn endpoint_list(endpoints: u32, seed: u64) -> EndpointList {
    EndpointList::new(list_shape(endpoints, seed))
}
