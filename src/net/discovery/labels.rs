//! Zones and kinds of machines: names on the endpoint list, numbers in the settings and the decisions.

use std::collections::BTreeMap;

/// Names numbered in their order, from 0; of two that are equal the first counts.
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

/// Zones and kinds of machines as the settings number them; all unknown ones have the next number.
#[derive(Debug, Clone)]
pub struct PlacementLabels {
    zones: LabelNumbers,
    machine_kinds: LabelNumbers,
}

impl PlacementLabels {
    /// Numbers these names in their order, from 0.
    pub fn new(zones: Vec<String>, machine_kinds: Vec<String>) -> Self {
        PlacementLabels { zones: LabelNumbers::new(zones), machine_kinds: LabelNumbers::new(machine_kinds) }
    }

    /// The number of a zone.
    pub(super) fn zone(&self, name: &str) -> u32 {
        self.zones.number(name)
    }

    /// The number of a kind of machine.
    pub(super) fn machine_kind(&self, name: &str) -> u32 {
        self.machine_kinds.number(name)
    }
}
