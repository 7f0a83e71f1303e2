//! Models the network: the delays between zones and regions, and a region that is cut off from the others.

use edge_node::decision::Micros;

use super::scenario::Scenario;

/// The delays between zones, and which zones can reach each other.
pub struct Network {
    region_count: u32,
    delay_within_zone: Micros,
    delay_within_region: Micros,
    delay_between_regions: Micros,
    /// The region that is cut off from all others, if any.
    isolated_region: Option<u32>,
}

impl Network {
    /// Creates a network in which all zones can reach each other.
    pub fn new(scenario: &Scenario) -> Self {
        Network {
            region_count: scenario.regions,
            delay_within_zone: scenario.delay_zone_us,
            delay_within_region: scenario.delay_region_us,
            delay_between_regions: scenario.delay_far_us,
            isolated_region: None,
        }
    }

    /// Returns the one-way delay between two zones, in microseconds.
    pub fn delay(&self, from_zone: u32, to_zone: u32) -> Micros {
        if from_zone == to_zone {
            self.delay_within_zone
        } else if self.same_region(from_zone, to_zone) {
            self.delay_within_region
        } else {
            self.delay_between_regions
        }
    }

    /// Returns whether two zones are in the same region.
    pub fn same_region(&self, one_zone: u32, other_zone: u32) -> bool {
        self.region(one_zone) == self.region(other_zone)
    }

    /// Returns whether traffic can pass between two zones.
    pub fn reachable(&self, one_zone: u32, other_zone: u32) -> bool {
        let Some(isolated) = self.isolated_region else { return true };
        (self.region(one_zone) == isolated) == (self.region(other_zone) == isolated)
    }

    /// Cuts a region off from all others. `None` reconnects the region that was cut off.
    pub fn isolate(&mut self, region: Option<u32>) {
        self.isolated_region = region;
    }

    /// Returns the region of a zone. Zones are assigned to the regions in turn.
    fn region(&self, zone: u32) -> u32 {
        zone % self.region_count
    }
}
