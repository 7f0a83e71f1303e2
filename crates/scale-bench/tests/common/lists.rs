//! Endpoint lists of the tests.

use scale_bench::fakes::endpoint_list::{EndpointList, ListShape};

pub fn list_shape(endpoints: u32, seed: u64) -> ListShape {
    ListShape { endpoints, seed, zones: 3, name_length: 10, port: 4000 }
}

pub fn endpoint_list(endpoints: u32, seed: u64) -> EndpointList {
    EndpointList::new(list_shape(endpoints, seed))
}
