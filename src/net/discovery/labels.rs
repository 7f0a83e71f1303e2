//! Maps the names of zones and machine kinds on the endpoint list to the numbers used in the settings and the
//! decision engine.

use std::collections::BTreeMap;

/// Labels numbered in their order, from 0. A label that occurs twice has the number of its first occurrence.
#[derive(Debug, Clone)]
struct LabelNumbers {
    numbers: BTreeMap<String, u32>,
    unknown: u32,
}

impl LabelNumbers {
    fn new(labels: Vec<String>) -> Self {
        let unknown = labels.len() as u32;
        let mut numbers = BTreeMap::new();
        for (number, label) in (0..unknown).zip(labels) {
            numbers.entry(label).or_insert(number);
        }
        LabelNumbers { numbers, unknown }
    }

    fn number(&self, label: &str) -> u32 {
        self.numbers.get(label).copied().unwrap_or(self.unknown)
    }
}

/// The numbers of zones and machine kinds, as in the settings. All unknown zones share the number that
/// follows the last known one, and so do all unknown machine kinds.
#[derive(Debug, Clone)]
pub struct PlacementLabels {
    zones: LabelNumbers,
    machine_kinds: LabelNumbers,
}

impl PlacementLabels {
    /// Numbers the zones and the machine kinds in their order, from 0.
    pub fn new(zones: Vec<String>, machine_kinds: Vec<String>) -> Self {
        PlacementLabels { zones: LabelNumbers::new(zones), machine_kinds: LabelNumbers::new(machine_kinds) }
    }

    /// Returns the number of a zone.
    pub(super) fn zone(&self, name: &str) -> u32 {
        self.zones.number(name)
    }

    /// Returns the number of a machine kind.
    pub(super) fn machine_kind(&self, name: &str) -> u32 {
        self.machine_kinds.number(name)
    }
}
