//! The model network: zones, regions, the delays between them and a region that may be cut off.

use edge_node::decision::Micros;

use super::scenario::Scenario;

/// The delays and reachability between zones.
pub struct Network {
    region_count: u32,
    delay_within_zone: Micros,
    delay_within_region: Micros,
    delay_between_regions: Micros,
    isolated_region: Option<u32>,
}

impl Network {
    /// Creates a network in which every zone reaches every other.
    pub fn new(scenario: &Scenario) -> Self {
        Network {
            region_count: scenario.regions,
            delay_within_zone: scenario.delay_zone_us,
            delay_within_region: scenario.delay_region_us,
            delay_between_regions: scenario.delay_far_us,
            isolated_region: None,
        }
    }

    /// The one-way delay between two zones, in microseconds.
    pub fn delay(&self, from_zone: u32, to_zone: u32) -> Micros {
        if from_zone == to_zone {
            self.delay_within_zone
        } else if self.same_region(from_zone, to_zone) {
            self.delay_within_region
        } else {
            self.delay_between_regions
        }
    }

    /// Whether two zones lie in one region.
    pub fn same_region(&self, one_zone: u32, other_zone: u32) -> bool {
        self.region(one_zone) == self.region(other_zone)
    }

    /// Whether traffic passes between two zones.
    pub fn reachable(&self, one_zone: u32, other_zone: u32) -> bool {
        let Some(isolated) = self.isolated_region else { return true };
        (self.region(one_zone) == isolated) == (self.region(other_zone) == isolated)
    }

    /// Cuts a region off from all others, or with `None` joins it to them again.
    pub fn isolate(&mut self, region: Option<u32>) {
        self.isolated_region = region;
    }

    fn region(&self, zone: u32) -> u32 {
        zone % self.region_count
    }
}
