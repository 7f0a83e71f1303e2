//! What a connection to an endpoint holds of the node's descriptors and memory.

use crate::net::connection_memory::ConnectionReservation;
use crate::net::descriptor_budget::DescriptorPermit;

/// The permit for one connection to an endpoint. Dropping it returns what it holds.
pub(super) struct EndpointPermit {
    // The memory is returned first, since dropping the descriptor wakes those that wait for either.
    memory: ConnectionReservation,
    descriptor: DescriptorPermit,
}

impl EndpointPermit {
    pub(super) fn new(memory: ConnectionReservation, descriptor: DescriptorPermit) -> Self {
        EndpointPermit { memory, descriptor }
    }

    /// Returns the memory that the connection does not need between two requests.
    pub(super) fn rest(&self) {
        self.memory.rest();
        self.descriptor.notify_waiters();
    }

    /// Takes the memory for a further request. Returns `false` if there is not enough.
    pub(super) fn try_resume(&self) -> bool {
        self.memory.try_resume()
    }
}
